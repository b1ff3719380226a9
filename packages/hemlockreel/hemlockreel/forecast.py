"""When memory and prefill places come free, as far as can be foretold.

The length of an answer is not known beforehand, so the end of one request
cannot be foretold, only the rate at which requests end: by Little's law the
held pieces over the mean time for which a piece is held.
"""

from typing import NamedTuple

from . import engines
from . import messages
from . import queueing
from . import running_stats

HOLD_S = 10.0  # time for which memory is held, before the first release
PEAK_WINDOW_S = 30.0
DEMAND_WINDOW_S = 20.0
NO_RATE_WAIT_S = 60.0  # wait when nothing is held that could be released


class View(NamedTuple):
    """The stations that an ask may use."""

    prefills: list[engines.Prefill]
    decodes: list[engines.Decode]
    now: float


class Demand(NamedTuple):
    """What callers ask for, served or not, per second.

    ``prefill`` and ``decode`` are the busy engines that it would take.
    """

    prefill: float
    decode: float


class Forecast:
    """What is learned from the requests of a shard."""

    def __init__(self):
        self.hold_s = running_stats.Average(HOLD_S, 0.02)
        self.piece_hold_s = running_stats.Average(HOLD_S, 0.02)
        self._peak = running_stats.Peak(PEAK_WINDOW_S)
        self._prefill_demand = running_stats.Rate(DEMAND_WINDOW_S)
        self._decode_demand = running_stats.Rate(DEMAND_WINDOW_S)

    def released(self, pieces: int, held_s: float) -> None:
        """Takes in how long a request held its memory."""
        self.hold_s.add(held_s)
        self.piece_hold_s.add(held_s, pieces)

    def offered(self, view: View, pieces: int, prefill_s: float) -> None:
        """Counts an ask into the demand."""
        self._prefill_demand.add(prefill_s, view.now)
        per_engine = _total(view) / max(len(view.decodes), 1)
        busy_s = pieces * self.piece_hold_s.value / max(per_engine, 1)
        self._decode_demand.add(busy_s, view.now)

    def demand(self, now: float) -> Demand:
        """Returns the demand of the last while."""
        return Demand(
            self._prefill_demand.get(now), self._decode_demand.get(now)
        )

    def prefill_s(
        self, prefills: list[engines.Prefill], ask: messages.Ask
    ) -> float:
        """Returns the time of the prefill at the best replica, unqueued."""
        return min(
            (x.work_s(ask.prompt_tokens, ask.prefixes) for x in prefills),
            default=engines.PREFILL_BASE_S,
        )

    def after_prefill_s(self, view: View, ask: messages.Ask) -> float:
        """Returns the time from the end of a prefill to the first token."""
        return min(
            (x.transfer_s(ask.prompt_tokens) for x in view.prefills),
            default=engines.FIRST_STEP_S,
        )

    def cost_s(self, view: View, pieces: int, prefill_s: float) -> float:
        """Returns for how long an ask takes up the whole shard."""
        held_s = pieces * self.piece_hold_s.value
        return max(
            prefill_s / max(len(view.prefills), 1),
            held_s / max(_total(view), 1),
        )

    def wait_s(
        self, view: View, ahead: queueing.Ahead, pieces: int, asks: int = 1
    ) -> float:
        """Returns the wait of an ask for ``pieces`` behind ``ahead``."""
        free = sum(max(0, x.free) for x in view.decodes)
        held = sum(x.granted for x in view.decodes)
        lacking = ahead.pieces + pieces - free
        memory_s = _time_for(lacking, held, self.piece_hold_s.value)
        if pieces > 1:
            memory_s = max(memory_s, self._soonest_s(view, pieces))
        slots = sum(max(0, x.room(view.now)) for x in view.decodes)
        running = sum(x.count for x in view.decodes)
        lacking = ahead.asks + asks - slots
        slot_s = _time_for(lacking, running, self.hold_s.value)
        line_s = sum(x.free_in(view.now) for x in view.prefills)
        line_s = (line_s + ahead.prefill_s) / max(len(view.prefills), 1)
        return max(memory_s, slot_s, line_s)

    def _soonest_s(self, view: View, pieces: int) -> float:
        """Returns the time until one replica has all of ``pieces`` free."""
        hold_s = self.piece_hold_s.value
        return min(
            (
                _time_for(pieces - x.free, x.granted, hold_s)
                for x in view.decodes
            ),
            default=NO_RATE_WAIT_S,
        )

    def releases(self, station: engines.Decode, wait_s: float) -> float:
        """Returns the pieces that a replica should free within a time."""
        return station.decoding * wait_s / max(self.piece_hold_s.value, 1e-3)

    def interactive_peak(self, held: int, now: float) -> float:
        """Returns the most pieces that interactive requests held of late."""
        self._peak.note(held, now)
        return self._peak.get(held, now)


def _total(view: View) -> int:
    return sum(x.total for x in view.decodes)


def _time_for(lacking: float, held: float, hold_s: float) -> float:
    """Returns the time until ``lacking`` of what is held is released."""
    if lacking <= 0:
        return 0.0
    if held <= 0:
        return NO_RATE_WAIT_S
    return min(NO_RATE_WAIT_S, lacking * hold_s / held)
