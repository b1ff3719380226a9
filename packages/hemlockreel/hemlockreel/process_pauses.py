"""Detects that this process was paused, and when it resumed.

After a pause the daemon's timers have expired, and responses are lost: its
peers have closed their connections and dropped what they sent meanwhile.
Silence therefore means nothing until the peers have had time to reconnect.
This controller runs first, so that the others see a pause in the same tick.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any

from . import actions
from . import board as boards
from . import events

# A gap of this length between two ticks is a pause. The daemon's loop sends a
# tick about every 0.1 s.
MIN_PAUSE_S = 1.0
# Also enough for a member that died during the pause to be removed, even when
# another daemon suspected it (probes.FALLBACK_REMOVAL_DELAY_S).
RECONNECT_GRACE_S = 3.0


class State:
    """The times of the last tick and of the end of the last pause.

    ``ended_pause_s`` is the length of the pause that the last tick ended, 0
    if it ended none.
    """

    def __init__(self):
        self.last_tick: float | None = None
        self.ended_pause_s = 0.0
        self.resumed_at = -math.inf


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles ticks; ignores all other events."""
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
    """Returns the length of the pause that this tick ended, 0 if none."""
    return board.state(State).ended_pause_s


def is_reconnecting(board: boards.Board, now: float) -> bool:
    """Returns whether peers may still be reconnecting after a pause."""
    return now < board.state(State).resumed_at + RECONNECT_GRACE_S
