"""The deployment that is in force at this host.

Its version only increases: an older one that is read later is ignored. The
organisations may be those of a newer version that a peer has passed on.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import membership
from . import deployments
from . import organisations


class DeploymentRead(NamedTuple):
    """A version of the deployment was read from the store."""

    deployment: deployments.Deployment


class State:
    """The deployment in force, ``None`` before the first.

    ``organisations_version`` is that which its organisations are from.
    """

    def __init__(self):
        self.current: deployments.Deployment | None = None
        self.organisations_version = 0


def current(board: boards.Board) -> deployments.Deployment | None:
    """Returns the deployment in force, ``None`` before the first."""
    return board.state(State).current


def organisations_version(board: boards.Board) -> int:
    """Returns the version that the organisations in force are from."""
    return board.state(State).organisations_version


def replace_organisations(
    board: boards.Board,
    found: tuple[organisations.Organisation, ...],
    version: int,
) -> bool:
    """Replaces the organisations of the deployment in force by newer ones.

    Returns false if there is no deployment or if they are not newer.
    """
    state = board.state(State)
    if state.current is None or version <= state.organisations_version:
        return False
    state.current = state.current._replace(organisations=found)
    state.organisations_version = version
    return True


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles new versions; all other events yield nothing."""
    return ()


@handle.register
def _deployment_read(
    event: DeploymentRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    found = event.deployment
    before = state.current.version if state.current else 0
    fields = {"version": found.version, "before": before}
    if found.version <= before:
        yield actions.Log("deployment_ignored", fields)
        return
    if state.current and found.version < state.organisations_version:
        found = found._replace(organisations=state.current.organisations)
    else:
        state.organisations_version = found.version
    state.current = found
    membership.table(board).configuration = found.version
    yield actions.Count("configuration_changes")
    yield actions.Log(
        "deployment_in_force", {**fields, "routes": len(found.routes)}
    )
