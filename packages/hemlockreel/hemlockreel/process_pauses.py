"""Whether this daemon stood still, and how long ago it came back.

A daemon that was paused finds its timers expired and the answers to its
questions lost: its peers dropped their connections to it, and what they sent
meanwhile. Nothing may be concluded from silence until they have had time to
connect again. It goes before all other controllers.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any

from . import actions
from . import board as boards
from . import events

MIN_PAUSE_S = 1.0  # between ticks; ten times the period of the daemon's loop
# A member that died during the pause is known to be dead by then, even when
# its accuser is another daemon (probes.FALLBACK_S).
RECONNECT_GRACE_S = 3.0


class State:
    """The last tick, and the end of the last pause."""

    def __init__(self):
        self.last_tick: float | None = None
        self.ended_pause_s = 0.0
        self.resumed_at = -math.inf


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles ticks; all other events yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    gap_s = 0.0 if state.last_tick is None else now - state.last_tick
    state.last_tick = now
    state.ended_pause_s = gap_s if gap_s >= MIN_PAUSE_S else 0.0
    if state.ended_pause_s:
        state.resumed_at = now
        yield actions.Log("paused", {"seconds": round(gap_s, 3)})


def ended_pause_s(board: boards.Board) -> float:
    """Returns how long the pause took that this tick ended, 0 without one."""
    return board.state(State).ended_pause_s


def is_reconnecting(board: boards.Board, now: float) -> bool:
    """Returns whether the silence of a member tells nothing yet."""
    return now < board.state(State).resumed_at + RECONNECT_GRACE_S
