"""The graceful stop of this daemon."""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import entry
from . import events
from . import grants
from . import membership

HANDOVER_S = 5.0  # the longest wait for others to take the grants over
ADDRESS_TTL_S = 5.0  # how long callers keep an answer about addresses


class State:
    """When the daemon stops taking requests, ``None`` while it serves."""

    def __init__(self):
        self.closes_at: float | None = None


def closed(board: boards.Board, now: float) -> bool:
    """Returns whether new requests are refused."""
    closes_at = board.state(State).closes_at
    return closes_at is not None and now >= closes_at


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the drain; all others yield nothing."""
    return ()


@handle.register
def _asked(
    event: events.DrainAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.closes_at is not None:
        return
    state.closes_at = now + ADDRESS_TTL_S
    membership.table(board).draining = True
    yield actions.Log("draining", {"host": board.identity.host})


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if not closed(board, now) or board.state(entry.State).requests:
        return
    over_at = board.state(State).closes_at + HANDOVER_S
    if grants.is_idle(board) or now >= over_at:
        yield from membership.leave(board)
        yield actions.Exit()
