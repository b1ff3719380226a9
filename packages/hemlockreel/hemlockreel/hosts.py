"""The platform's host list: which replicas live, and which are leaving."""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import events
from . import replicas

READ_PERIOD_S = 1.0


class State:
    """The last list that was read, and when."""

    def __init__(self):
        self.replicas: dict[str, replicas.Replica] = {}
        self.read_at: float | None = None
        self.next_read = 0.0


def get(board: boards.Board, service: str) -> list[replicas.Replica]:
    """Returns the known replicas of ``service`` in this daemon's region."""
    region = board.identity.region
    return [
        replica
        for replica in board.state(State).replicas.values()
        if replica.service == service and replica.region == region
    ]


def age(board: boards.Board, now: float) -> float:
    """Returns the age of the list in seconds, infinite before the first."""
    read_at = board.state(State).read_at
    return float("inf") if read_at is None else now - read_at


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the host list; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if now < state.next_read:
        return
    state.next_read = now + READ_PERIOD_S
    yield actions.ListHosts()


@handle.register
def _listed(
    event: events.HostsListed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.hosts is None:
        yield actions.Count("host_list_failures")
        return
    state = board.state(State)
    state.replicas = {replica.address: replica for replica in event.hosts}
    state.read_at = now
