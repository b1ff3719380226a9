"""The planned stop of a host that forwards requests.

Callers keep an answer about addresses, some of them for several times its
time to live, and use open connections until they are told to close them. So
a stopping host goes on serving while its answers say that the connection
closes, then refuses what could not end in time, and at last closes.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership

# Shares of the grace between the request to stop and the end by force.
STREAM_CUTOFF_SHARE = 0.35  # a stream that begins later may not end in time
REQUEST_CUTOFF_SHARE = 0.7  # callers have left the host by then
EXIT_SHARE = 0.95  # what still runs then ends with the process


class State:
    """How far the stop has come; ``asked_at`` is ``None`` before it.

    ``grace_s`` is the time that the platform leaves between the two signals.
    """

    def __init__(self):
        self.grace_s = 8.0
        self.requested_at: float | None = None
        self.has_left = False


class Phase(NamedTuple):
    """What a host still takes; ``stopping`` ends kept connections."""

    stopping: bool = False
    accepts_streams: bool = True
    accepts_requests: bool = True


def phase(board: boards.Board, now: float) -> Phase:
    """Returns what this host still takes at ``now``."""
    state = board.state(State)
    if state.requested_at is None:
        return Phase()
    elapsed_share = (now - state.requested_at) / state.grace_s
    return Phase(
        True,
        elapsed_share < STREAM_CUTOFF_SHARE,
        elapsed_share < REQUEST_CUTOFF_SHARE,
    )


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the stop; all others yield nothing."""
    return ()


@handle.register
def _drain_requested(
    event: events.DrainAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.requested_at is not None:
        return
    state.requested_at = now
    membership.table(board).draining = True
    yield actions.Log("draining", {"host": board.identity.host})


@handle.register
def _callers_counted(
    event: events.CallersCounted, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Leaves when nothing is left to be done, or the grace is used up."""
    state = board.state(State)
    if state.has_left or phase(board, now).accepts_requests:
        return
    late = now >= state.requested_at + EXIT_SHARE * state.grace_s
    if event.active and not late:
        return
    state.has_left = True
    if event.active:
        yield actions.Log("cut_by_stop", {"requests": event.active})
    yield from membership.leave(board)
    yield actions.Exit()
