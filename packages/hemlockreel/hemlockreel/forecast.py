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

INITIAL_HOLD_S = (
    10.0  # time for which memory is held, before the first release
)
PEAK_WINDOW_S = 30.0
DEMAND_WINDOW_S = 20.0
MAX_WAIT_S = 60.0  # wait when nothing is held that could be released


class UsableEngines(NamedTuple):
    """The stations that an ask may use."""

    prefills: list[engines.PrefillEngine]
    decodes: list[engines.DecodeEngine]
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
        self.hold_s = running_stats.MovingAverage(INITIAL_HOLD_S, 0.02)
        self.kv_block_hold_s = running_stats.MovingAverage(
            INITIAL_HOLD_S, 0.02
        )
        self._peak = running_stats.WindowedPeak(PEAK_WINDOW_S)
        self._prefill_demand = running_stats.DecayingRate(DEMAND_WINDOW_S)
        self._decode_demand = running_stats.DecayingRate(DEMAND_WINDOW_S)

    def record_release(self, kv_blocks: int, held_s: float) -> None:
        """Takes in how long a request held its memory."""
        self.hold_s.add(held_s)
        self.kv_block_hold_s.add(held_s, kv_blocks)

    def record_offered_load(
        self, candidates: UsableEngines, kv_blocks: int, prefill_s: float
    ) -> None:
        """Counts an ask into the demand."""
        self._prefill_demand.add(prefill_s, candidates.now)
        per_engine = _total_kv_blocks(candidates) / max(
            len(candidates.decodes), 1
        )
        busy_s = kv_blocks * self.kv_block_hold_s.value / max(per_engine, 1)
        self._decode_demand.add(busy_s, candidates.now)

    def demand(self, now: float) -> Demand:
        """Returns the demand of the last while."""
        return Demand(
            self._prefill_demand.get(now), self._decode_demand.get(now)
        )

    def fastest_prefill_s(
        self, prefills: list[engines.PrefillEngine], request: messages.Ask
    ) -> float:
        """Returns the time of the prefill at the best replica, unqueued."""
        return min(
            (
                x.prefill_s(request.prompt_tokens, request.prefixes)
                for x in prefills
            ),
            default=engines.PREFILL_BASE_S,
        )

    def after_prefill_s(
        self, candidates: UsableEngines, request: messages.Ask
    ) -> float:
        """Returns the time from the end of a prefill to the first token."""
        return min(
            (x.transfer_s(request.prompt_tokens) for x in candidates.prefills),
            default=engines.FIRST_STEP_S,
        )

    def cost_s(
        self, candidates: UsableEngines, kv_blocks: int, prefill_s: float
    ) -> float:
        """Returns for how long an ask takes up the whole shard."""
        held_s = kv_blocks * self.kv_block_hold_s.value
        return max(
            prefill_s / max(len(candidates.prefills), 1),
            held_s / max(_total_kv_blocks(candidates), 1),
        )

    def wait_s(
        self,
        candidates: UsableEngines,
        backlog: queueing.Backlog,
        kv_blocks: int,
        requests: int = 1,
    ) -> float:
        """Returns the wait of an ask for ``pieces`` behind ``ahead``."""
        free = sum(max(0, x.free_kv_blocks) for x in candidates.decodes)
        held = sum(x.granted_kv_blocks for x in candidates.decodes)
        missing = backlog.kv_blocks + kv_blocks - free
        memory_s = _release_time_s(missing, held, self.kv_block_hold_s.value)
        if kv_blocks > 1:
            memory_s = max(
                memory_s, self._single_engine_wait_s(candidates, kv_blocks)
            )
        slots = sum(
            max(0, x.free_slots(candidates.now)) for x in candidates.decodes
        )
        running = sum(x.sequences for x in candidates.decodes)
        missing = backlog.requests + requests - slots
        slot_s = _release_time_s(missing, running, self.hold_s.value)
        queued_prefill_s = sum(
            x.idle_in_s(candidates.now) for x in candidates.prefills
        )
        queued_prefill_s = (queued_prefill_s + backlog.prefill_s) / max(
            len(candidates.prefills), 1
        )
        return max(memory_s, slot_s, queued_prefill_s)

    def _single_engine_wait_s(
        self, candidates: UsableEngines, kv_blocks: int
    ) -> float:
        """Returns the time until one replica has all of ``pieces`` free."""
        hold_s = self.kv_block_hold_s.value
        return min(
            (
                _release_time_s(
                    kv_blocks - x.free_kv_blocks, x.granted_kv_blocks, hold_s
                )
                for x in candidates.decodes
            ),
            default=MAX_WAIT_S,
        )

    def expected_releases(
        self, engine: engines.DecodeEngine, wait_s: float
    ) -> float:
        """Returns the pieces that a replica should free within a time."""
        return (
            engine.decoding_kv_blocks
            * wait_s
            / max(self.kv_block_hold_s.value, 1e-3)
        )

    def interactive_peak(self, held: int, now: float) -> float:
        """Returns the most pieces that interactive requests held of late."""
        self._peak.record(held, now)
        return self._peak.get(held, now)


def _total_kv_blocks(candidates: UsableEngines) -> int:
    return sum(x.total_kv_blocks for x in candidates.decodes)


def _release_time_s(missing: float, held: float, hold_s: float) -> float:
    """Returns the time until ``lacking`` of what is held is released."""
    if missing <= 0:
        return 0.0
    if held <= 0:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, missing * hold_s / held)
