"""Predicts when decode memory and prefill engines become free.

The length of an output is unknown beforehand, so the end of a single request
cannot be predicted. The rate at which memory is released can: by Little's law
it is the number of held KV blocks over the mean time that a block is held.
"""

from typing import NamedTuple

from . import engines
from . import messages
from . import queueing
from . import running_stats

# Assumed time that a request holds its memory, until some have been released.
INITIAL_HOLD_S = 10.0
PEAK_WINDOW_S = 30.0  # window of the interactive requests' peak memory
DEMAND_WINDOW_S = 20.0  # time constant of the demand
# Longest predicted wait, also returned when nothing that could be released is
# held and when there is no engine.
MAX_WAIT_S = 60.0


class UsableEngines(NamedTuple):
    """The engines that a request may be placed at, as of ``now``."""

    prefills: list[engines.PrefillEngine]
    decodes: list[engines.DecodeEngine]
    now: float


class Demand(NamedTuple):
    """The load that callers offer, whether it is granted or not.

    ``prefill`` and ``decode`` are the numbers of engines of each role that
    serving it would keep busy.
    """

    prefill: float
    decode: float


class Forecast:
    """Estimates that are learned from the requests of one shard."""

    def __init__(self):
        self.hold_s = running_stats.MovingAverage(INITIAL_HOLD_S, 0.02)
        self.kv_block_hold_s = running_stats.MovingAverage(
            INITIAL_HOLD_S, 0.02
        )
        self._peak = running_stats.WindowedPeak(PEAK_WINDOW_S)
        self._prefill_demand = running_stats.DecayingRate(DEMAND_WINDOW_S)
        self._decode_demand = running_stats.DecayingRate(DEMAND_WINDOW_S)

    def record_release(self, kv_blocks: int, held_s: float) -> None:
        """Records how long a request held its memory."""
        self.hold_s.add(held_s)
        self.kv_block_hold_s.add(held_s, kv_blocks)

    def record_offered_load(
        self, candidates: UsableEngines, kv_blocks: int, prefill_s: float
    ) -> None:
        """Adds a request to the demand, granted or not."""
        self._prefill_demand.add(prefill_s, candidates.now)
        per_engine = _total_kv_blocks(candidates) / max(
            len(candidates.decodes), 1
        )
        busy_s = kv_blocks * self.kv_block_hold_s.value / max(per_engine, 1)
        self._decode_demand.add(busy_s, candidates.now)

    def demand(self, now: float) -> Demand:
        """Returns the recent demand, see ``DEMAND_WINDOW_S``."""
        return Demand(
            self._prefill_demand.get(now), self._decode_demand.get(now)
        )

    def fastest_prefill_s(
        self,
        prefills: list[engines.PrefillEngine],
        request: messages.AdmissionRequest,
    ) -> float:
        """Returns the prefill time at the best replica, without queueing."""
        return min(
            (
                x.prefill_s(request.prompt_tokens, request.prefixes)
                for x in prefills
            ),
            default=engines.PREFILL_BASE_S,
        )

    def after_prefill_s(
        self, candidates: UsableEngines, request: messages.AdmissionRequest
    ) -> float:
        """Returns the shortest time from the prefill to the first token."""
        return min(
            (x.transfer_s(request.prompt_tokens) for x in candidates.prefills),
            default=engines.FIRST_STEP_S,
        )

    def cost_s(
        self, candidates: UsableEngines, kv_blocks: int, prefill_s: float
    ) -> float:
        """Returns the cost of a request: seconds of the whole shard.

        It is the larger of its share of the prefill engines' time and of the
        decode engines' memory.
        """
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
        """Returns how long a request for ``kv_blocks`` waits to be granted.

        ``backlog`` is served before it. The result is the longest of the
        waits for memory, for room in a decode batch and for a prefill engine.
        """
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
        """Returns the time until one replica has ``kv_blocks`` free."""
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
        """Returns the KV blocks that ``engine`` should free within a time."""
        return (
            engine.decoding_kv_blocks
            * wait_s
            / max(self.kv_block_hold_s.value, 1e-3)
        )

    def interactive_peak(self, held: int, now: float) -> float:
        """Returns the recent peak of the interactive requests' KV blocks.

        ``held`` is what they hold now.
        """
        self._peak.record(held, now)
        return self._peak.get(held, now)


def _total_kv_blocks(candidates: UsableEngines) -> int:
    return sum(x.total_kv_blocks for x in candidates.decodes)


def _release_time_s(missing: float, held: float, hold_s: float) -> float:
    """Returns the time until ``missing`` of the ``held`` units are released.

    ``hold_s`` is the mean time that a unit is held.
    """
    if missing <= 0:
        return 0.0
    if held <= 0:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, missing * hold_s / held)
