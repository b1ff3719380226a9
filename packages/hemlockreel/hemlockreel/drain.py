"""The graceful stop of this daemon.

It leaves the address answers at once and tells all members. It takes new
requests until no caller can hold an answer that names it any more, and ends
when the last request has. The reasons are in docs/design/drain.md.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import claims
from . import entry
from . import events
from . import grants
from . import membership

ADDRESS_TTL_S = 5.0  # how long callers keep an answer about addresses
MEMBERSHIP_SPREAD_S = (
    2.0  # until all members leave this daemon out of their answers
)
MAX_SETTLE_S = 5.0  # for claims, cancels and grants that others take over


class State:
    """How far the stop has come; all times are ``None`` before it.

    ``closes_at`` is when the daemon stops taking requests, ``idle_at`` when
    it had no request any more.
    """

    def __init__(self):
        self.closes_at: float | None = None
        self.idle_at: float | None = None
        self.left = False


def is_closed(board: boards.Board, now: float) -> bool:
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
def _drain_requested(
    event: events.DrainRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.closes_at is not None:
        return
    state.closes_at = now + ADDRESS_TTL_S + MEMBERSHIP_SPREAD_S
    membership.table(board).draining = True
    yield actions.Log("draining", {"host": board.identity.host})


@handle.register
def _callers_counted(
    event: events.CallersCounted, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Leaves when nothing is left to be done."""
    state = board.state(State)
    if state.left or not is_closed(board, now):
        return
    if event.active or board.state(entry.State).requests:
        state.idle_at = None
        return
    if state.idle_at is None:
        state.idle_at = now
    if _is_settled(board) or now >= state.idle_at + MAX_SETTLE_S:
        state.left = True
        yield from membership.announce_leave(board)
        yield actions.Exit()


def _is_settled(board: boards.Board) -> bool:
    """Returns whether no claim, cancel or grant waits for somebody else."""
    return grants.is_idle(board) and not claims.is_recording(board)
