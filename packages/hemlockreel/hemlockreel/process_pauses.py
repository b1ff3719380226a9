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

PAUSE_S = 1.0  # between ticks; ten times the period of the daemon's loop
# A member that died during the pause is known to be dead by then, even when
# its accuser is another daemon (probes.FALLBACK_S).
SETTLE_S = 3.0


class State:
    """The last tick, and the end of the last pause."""

    def __init__(self):
        self.last_tick: float | None = None
        self.paused_s = 0.0
        self.back_at = -math.inf


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
    state.paused_s = gap_s if gap_s >= PAUSE_S else 0.0
    if state.paused_s:
        state.back_at = now
        yield actions.Log("paused", {"seconds": round(gap_s, 3)})


def paused_s(board: boards.Board) -> float:
    """Returns how long the pause took that this tick ended, 0 without one."""
    return board.state(State).paused_s


def settling(board: boards.Board, now: float) -> bool:
    """Returns whether the silence of a member tells nothing yet."""
    return now < board.state(State).back_at + SETTLE_S
