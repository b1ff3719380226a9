"""The deployment that is in force at this host.

Its version only increases: an older one that is read later is ignored.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import membership
from . import deployments


class DeploymentRead(NamedTuple):
    """A version of the deployment was read from the store."""

    deployment: deployments.Deployment


class State:
    """The deployment in force, ``None`` before the first."""

    def __init__(self):
        self.current: deployments.Deployment | None = None


def current(board: boards.Board) -> deployments.Deployment | None:
    """Returns the deployment in force, ``None`` before the first."""
    return board.state(State).current


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
    state.current = found
    membership.table(board).configuration = found.version
    yield actions.Count("configuration_changes")
    yield actions.Log(
        "deployment_in_force", {**fields, "routes": len(found.routes)}
    )
