"""Graceful shutdown of a host that forwards requests.

Callers cache the list of addresses, some for several times its time to live,
and reuse open connections until a response tells them to close. So a host
that shuts down first keeps serving and marks each response as the last on its
connection, then refuses requests that could not finish in time. It exits when
no request is active; those that still are when the grace period is nearly over
are given up and answered as such before the exit.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from . import deployments

# Shares of the grace period, which lasts from the request to stop until the
# platform kills the process.
STREAM_CUTOFF_SHARE = 0.35  # a stream that starts later may not finish
REQUEST_CUTOFF_SHARE = 0.7  # callers have moved to other hosts by then
# Before the end of the grace period. Active requests are given up, which
# leaves time to answer them, and then the process exits, which takes 0.3 s.
GIVE_UP_S = 0.9
EXIT_S = 0.5
# Of the latency objective: what a request that may be repeated may take.
EXPECTED_OBJECTIVES = 4.0
# A host exits when no request has arrived for this long. One that was sent
# just before its caller heard of the stop may still be on its way.
QUIET_S = 0.3


class State:
    """The progress of the shutdown; ``requested_at`` is ``None`` before it.

    ``grace_s`` is the time that the platform leaves between its request to
    stop and the kill signal. ``has_left`` is set once the host has left the
    membership.
    """

    def __init__(self):
        self.grace_s = 8.0
        self.requested_at: float | None = None
        self.has_left = False


class Phase(NamedTuple):
    """What a host still accepts.

    While ``stopping``, each response closes its connection.
    """

    stopping: bool = False
    accepts_streams: bool = True
    accepts_requests: bool = True


def phase(board: boards.Board, now: float) -> Phase:
    """Returns what this host still accepts at ``now``."""
    state = board.state(State)
    if state.requested_at is None:
        return Phase()
    elapsed_share = (now - state.requested_at) / state.grace_s
    return Phase(
        True,
        elapsed_share < STREAM_CUTOFF_SHARE,
        elapsed_share < REQUEST_CUTOFF_SHARE,
    )


def gives_up_at(board: boards.Board) -> float:
    """Returns when active requests are given up; infinite without a stop."""
    state = board.state(State)
    if state.requested_at is None:
        return math.inf
    return state.requested_at + state.grace_s - GIVE_UP_S


def can_finish(
    route: deployments.Route, limit_s: float, left_s: float
) -> bool:
    """Returns whether a request may begin ``left_s`` before it is given up.

    One that may not be repeated needs its whole time limit of ``limit_s``, so
    that a planned stop never leaves it without an answer.
    """
    if route.repeatable:
        limit_s = min(limit_s, EXPECTED_OBJECTIVES * route.objective_s)
    return limit_s <= left_s


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles the events of a shutdown; all others yield nothing."""
    return ()


@handle.register
def _drain_requested(
    event: events.DrainRequested, board: boards.Board, now: float
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
    """Exits when no request is active or the grace period is nearly over."""
    state = board.state(State)
    if state.has_left or phase(board, now).accepts_requests:
        return
    is_grace_over = now >= state.requested_at + state.grace_s - EXIT_S
    is_quiet = not event.active and event.quiet_s >= QUIET_S
    if not is_quiet and not is_grace_over:
        return
    state.has_left = True
    if event.active:
        yield actions.Log("cut_by_stop", {"requests": event.active})
    yield from membership.announce_leave(board)
    yield actions.Exit()
