"""The graceful stop of this daemon.

A draining daemon is announced to all members, which leave it out of the
addresses that they return to callers. It accepts new requests until every
address that a caller may have cached has expired, and exits when the last
request has finished. The design is explained in docs/design/drain.md.
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

ADDRESS_TTL_S = 5.0  # how long callers cache the addresses in a response
# Until all members know of the drain and return this daemon to no caller.
MEMBERSHIP_SPREAD_S = 2.0
# The longest wait, after the last request, for claims, cancels and grants that
# other daemons take over if they are not settled by then.
MAX_SETTLE_S = 5.0


class State:
    """The progress of the drain.

    ``closes_at`` is the time from which new requests are refused, ``None``
    before the drain. ``idle_at`` is the time since which the daemon has had no
    request, ``None`` while it has one.
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
    """Handles the events of the drain; ignores all others."""
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
    """Leaves the membership and exits once all requests have finished."""
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
    """Returns whether no claim, cancel or grant awaits a response."""
    return grants.is_idle(board) and not claims.is_recording(board)
