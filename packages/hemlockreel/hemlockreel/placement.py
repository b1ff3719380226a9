"""Chooses the prefill and decode replica of a request.

A request is placed only when a prefill engine can take it and a decode engine
has the KV blocks, or should have them by the time the prefill is done.
"""

from collections.abc import Set
import math
from typing import NamedTuple

from . import engines
from . import fleet as fleets
from . import forecast as forecasts
from . import messages
from . import overcommit as overcommits
from . import queueing

DEFERRABLE = "deferrable"
MAX_QUEUED_PREFILLS = 2  # per engine, including the running one
MAX_TRANSFERS = 3  # concurrent KV transfers from one prefill engine
PREFILL_RESULT_TTL_S = 0.8  # how long a prefill result may wait for memory
# Share of a shard's memory that deferrable requests leave free.
DEFERRABLE_HEADROOM_SHARE = 0.1


class ReplicaChoice(NamedTuple):
    """The replicas for a request.

    ``overcommitted`` is true when the decode memory is not free yet.
    ``low_priority`` requests leave some prefill engines to the others.
    ``prefill_s`` is the expected time of the prefill, without queueing.
    """

    prefill: engines.PrefillEngine
    decode: engines.DecodeEngine
    overcommitted: bool
    low_priority: bool
    prefill_s: float


class Placement:
    """Chooses replicas for the requests of one shard."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        forecast: forecasts.Forecast,
        overcommit: overcommits.Overcommit,
    ):
        self.fleet = fleet
        self.forecast = forecast
        self.overcommit = overcommit

    def usable_engines(
        self, request: messages.AdmissionRequest, now: float
    ) -> forecasts.UsableEngines:
        """Returns the engines that ``request`` may be placed at."""
        return forecasts.UsableEngines(
            self.fleet.usable_prefills(request.exclude, now),
            self.fleet.usable_decodes(request.exclude, now),
            now,
        )

    def choose(
        self,
        queued: queueing.QueuedRequest,
        queue: queueing.FairQueue,
        reserved: Set[str],
        flooding: bool,
        now: float,
    ) -> ReplicaChoice | None:
        """Returns the replicas for ``queued``, ``None`` if it must wait.

        ``queue`` is the queue that it waits in. The decode replicas in
        ``reserved`` are kept for requests that go before it. ``flooding`` is
        true if its organisation is, see :mod:`fair_shares`.
        """
        candidates = self.usable_engines(queued.request, now)
        low_priority = flooding or queued.request.priority_class == DEFERRABLE
        prefill = self._pick_prefill(queued.request, low_priority, candidates)
        if prefill is None:
            return None
        prefill_s = prefill.prefill_s(
            queued.request.prompt_tokens, queued.request.prefixes
        )
        unreserved = [
            x for x in candidates.decodes if x.address not in reserved
        ]
        usable = [x for x in unreserved if x.free_slots(now) > 0]
        overcommitted = False
        if queued.request.priority_class == DEFERRABLE:
            decode = self._pick_deferrable(queued, usable, now)
        else:
            decode = _pick_with_free_memory(queued, usable)
        if decode is None and queued.request.priority_class != DEFERRABLE:
            overcommitted = True
            prefill_done_in_s = prefill.idle_in_s(now) + prefill_s
            backlog = queue.backlog_before(queued.request, math.inf)
            pressure = self.forecast.wait_s(candidates, backlog, 0, 0)
            pressure /= max(queued.request.deadline_s, 1e-3)
            share = self.overcommit.share(
                pressure, queued.request.prompt_tokens
            )
            decode = self._pick_overcommitted(
                queued, unreserved, share, prefill_done_in_s, now
            )
        if decode is None:
            return None
        return ReplicaChoice(
            prefill, decode, overcommitted, low_priority, prefill_s
        )

    def pick_reserved_decode(
        self, queued: queueing.QueuedRequest, reserved: Set[str], now: float
    ) -> str | None:
        """Returns the decode replica to reserve for a request that must wait.

        Smaller requests behind it get no memory there. Otherwise they would
        take each block that is released, and a large request would starve.
        """
        available = [
            engine
            for engine in self.fleet.usable_decodes(
                queued.request.exclude, now
            )
            if engine.address not in reserved and not engine.is_too_slow
        ]
        best = max(available, key=lambda x: x.free_kv_blocks, default=None)
        return None if best is None else best.address

    def _pick_prefill(
        self,
        request: messages.AdmissionRequest,
        low_priority: bool,
        candidates: forecasts.UsableEngines,
    ) -> engines.PrefillEngine | None:
        """Returns the replica at which the prefill would finish first.

        A cached prefix shortens the prefill and a queue delays it, so a
        widely shared prefix does not overload the one replica that caches it.
        """
        usable = [
            engine
            for engine in candidates.prefills
            if len(engine.prefill_queue) < MAX_QUEUED_PREFILLS
            and len(engine.transfers) < MAX_TRANSFERS
        ]
        if low_priority:
            usable = _prefills_for_low_priority(usable, candidates)
        return min(
            usable,
            key=lambda x: (
                x.idle_in_s(candidates.now)
                + x.prefill_s(request.prompt_tokens, request.prefixes)
            ),
            default=None,
        )

    def _pick_overcommitted(
        self,
        queued: queueing.QueuedRequest,
        unreserved: list[engines.DecodeEngine],
        share: float,
        prefill_done_in_s: float,
        now: float,
    ) -> engines.DecodeEngine | None:
        """Returns a replica that should have enough memory in time.

        ``share`` is the part of the expected releases that is counted as
        free, see :mod:`overcommit`.
        """
        if share <= 0:
            return None
        wait_s = prefill_done_in_s + PREFILL_RESULT_TTL_S
        best = None
        best_free = queued.kv_blocks - 1
        for engine in unreserved:
            expected = share * self.forecast.expected_releases(engine, wait_s)
            free = engine.free_kv_blocks + int(expected)
            room = engine.free_slots(now) + int(expected)
            if free > best_free and room > 0 and not engine.is_too_slow:
                best, best_free = engine, free
        return best

    def _pick_deferrable(
        self,
        queued: queueing.QueuedRequest,
        usable: list[engines.DecodeEngine],
        now: float,
    ) -> engines.DecodeEngine | None:
        """Returns a replica with memory that interactive requests don't need.

        The recent peak of the interactive requests and a headroom stay free.
        """
        decodes = self.fleet.decodes.values()
        held = sum(
            x.granted_kv_blocks - x.deferrable_kv_blocks for x in decodes
        )
        peak = self.forecast.interactive_peak(held, now)
        total = sum(x.total_kv_blocks for x in decodes)
        reserve = peak - held + DEFERRABLE_HEADROOM_SHARE * total
        free = sum(x.free_kv_blocks for x in usable)
        if free - queued.kv_blocks < reserve:
            return None
        return _pick_with_free_memory(
            queued, [x for x in usable if not x.is_too_slow]
        )


def _pick_with_free_memory(
    queued: queueing.QueuedRequest, usable: list[engines.DecodeEngine]
) -> engines.DecodeEngine | None:
    """Returns the least filled replica that has the memory free now."""
    fitting = [x for x in usable if x.free_kv_blocks >= queued.kv_blocks]
    return min(fitting, key=_fullness, default=None)


def _fullness(engine: engines.DecodeEngine) -> float:
    """Returns the filled share of an engine's batch."""
    return engine.sequences / max(engine.max_sequences, 1)


def _first_token_in_s(
    engine: engines.PrefillEngine,
    request: messages.AdmissionRequest,
    now: float,
) -> float:
    """Returns the time until the first token with a prefill at ``engine``."""
    prefill_done_in_s = engine.idle_in_s(now)
    prefill_done_in_s += engine.prefill_s(
        request.prompt_tokens, request.prefixes
    )
    return prefill_done_in_s + engine.transfer_s(
        request.prompt_tokens, prefill_done_in_s
    )


def _prefills_for_low_priority(
    usable: list[engines.PrefillEngine], candidates: forecasts.UsableEngines
) -> list[engines.PrefillEngine]:
    """Returns the idle replicas that a low-priority request may use.

    Low-priority requests occupy at most half of the replicas and not the last
    idle one, so that other requests find a prefill engine at once.
    """
    running = sum(x.low_priority_count for x in candidates.prefills)
    if running >= max(1, len(candidates.prefills) // 2):
        return []
    idle = [engine for engine in usable if not engine.prefill_queue]
    return idle if len(idle) > 1 or len(candidates.prefills) == 1 else []
