"""Which replicas an ask is placed at, if there is room for it now."""

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
MAX_QUEUED_PREFILLS = 2  # prefills at one engine, the running one included
MAX_TRANSFERS = 3  # transfers under way from one prefill engine
PREFILL_RESULT_TTL_S = 0.8  # time for which a prefill result waits for memory
DEFERRABLE_HEADROOM_SHARE = (
    0.1  # share of memory that deferrable asks leave free
)


class ReplicaChoice(NamedTuple):
    """The replicas for an ask; ``ahead`` when the memory is not free yet."""

    prefill: engines.PrefillEngine
    decode: engines.DecodeEngine
    overcommitted: bool
    low_priority: bool
    prefill_s: float


class Placement:
    """Chooses replicas for asks."""

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
        self, ask: messages.Ask, now: float
    ) -> forecasts.UsableEngines:
        """Returns the stations that ``ask`` may use."""
        return forecasts.UsableEngines(
            self.fleet.usable_prefills(ask.exclude, now),
            self.fleet.usable_decodes(ask.exclude, now),
            now,
        )

    def choose(
        self,
        entry: queueing.QueuedRequest,
        queue: queueing.FairQueue,
        claimed: Set[str],
        floods: bool,
        now: float,
    ) -> ReplicaChoice | None:
        """Returns the replicas for ``entry``, ``None`` while there are none.

        ``queue`` is the one that ``entry`` waits in. The decode replicas in
        ``claimed`` are kept for asks that go before it.
        ``floods`` says that its organisation asks for far too much.
        """
        view = self.usable_engines(entry.request, now)
        yields = floods or entry.request.klass == DEFERRABLE
        prefill = self._pick_prefill(entry.request, yields, view)
        if prefill is None:
            return None
        work_s = prefill.prefill_s(
            entry.request.prompt_tokens, entry.request.prefixes
        )
        unclaimed = [x for x in view.decodes if x.address not in claimed]
        usable = [x for x in unclaimed if x.free_slots(now) > 0]
        ahead = False
        if entry.request.klass == DEFERRABLE:
            decode = self._pick_deferrable(entry, usable, now)
        else:
            decode = _pick_with_free_memory(entry, usable)
        if decode is None and entry.request.klass != DEFERRABLE:
            ahead = True
            lead_s = prefill.idle_in_s(now) + work_s
            queued = queue.backlog_before(entry.request, math.inf)
            pressure = self.forecast.wait_s(view, queued, 0, 0)
            pressure /= max(entry.request.deadline_s, 1e-3)
            share = self.overcommit.share(
                pressure, entry.request.prompt_tokens
            )
            decode = self._pick_overcommitted(
                entry, unclaimed, share, lead_s, now
            )
        if decode is None:
            return None
        return ReplicaChoice(prefill, decode, ahead, yields, work_s)

    def pick_reserved_decode(
        self, entry: queueing.QueuedRequest, claimed: Set[str], now: float
    ) -> str | None:
        """Returns the decode replica to keep for an ask that must wait.

        Memory that comes free there is not taken by smaller asks behind it,
        which would otherwise keep a large ask waiting for good.
        """
        open_to = [
            station
            for station in self.fleet.usable_decodes(
                entry.request.exclude, now
            )
            if station.address not in claimed and not station.is_too_slow
        ]
        best = max(open_to, key=lambda x: x.free_kv_blocks, default=None)
        return None if best is None else best.address

    def _pick_prefill(
        self, ask: messages.Ask, yields: bool, view: forecasts.UsableEngines
    ) -> engines.PrefillEngine | None:
        """Returns the replica by way of which the first token comes first.

        A cached prefix shortens the prefill and a line delays it, so a
        prefix that many share does not overload one replica.
        """
        usable = [
            station
            for station in view.prefills
            if len(station.prefill_queue) < MAX_QUEUED_PREFILLS
            and len(station.transfers) < MAX_TRANSFERS
        ]
        if yields:
            usable = _prefills_for_low_priority(usable, view)
        return min(
            usable,
            key=lambda x: (
                x.idle_in_s(view.now)
                + x.prefill_s(ask.prompt_tokens, ask.prefixes)
            ),
            default=None,
        )

    def _pick_overcommitted(
        self,
        entry: queueing.QueuedRequest,
        unclaimed: list[engines.DecodeEngine],
        share: float,
        lead_s: float,
        now: float,
    ) -> engines.DecodeEngine | None:
        """Returns a replica that should have the memory in time."""
        if share <= 0:
            return None
        wait_s = lead_s + PREFILL_RESULT_TTL_S
        best = None
        best_free = entry.kv_blocks - 1
        for station in unclaimed:
            expected = share * self.forecast.expected_releases(station, wait_s)
            free = station.free_kv_blocks + int(expected)
            room = station.free_slots(now) + int(expected)
            if free > best_free and room > 0 and not station.is_too_slow:
                best, best_free = station, free
        return best

    def _pick_deferrable(
        self,
        entry: queueing.QueuedRequest,
        usable: list[engines.DecodeEngine],
        now: float,
    ) -> engines.DecodeEngine | None:
        """Returns a replica that has memory beyond what others may need."""
        decodes = self.fleet.decodes.values()
        held = sum(
            x.granted_kv_blocks - x.deferrable_kv_blocks for x in decodes
        )
        peak = self.forecast.interactive_peak(held, now)
        total = sum(x.total_kv_blocks for x in decodes)
        reserve = peak - held + DEFERRABLE_HEADROOM_SHARE * total
        free = sum(x.free_kv_blocks for x in usable)
        if free - entry.kv_blocks < reserve:
            return None
        return _pick_with_free_memory(
            entry, [x for x in usable if not x.is_too_slow]
        )


def _pick_with_free_memory(
    entry: queueing.QueuedRequest, usable: list[engines.DecodeEngine]
) -> engines.DecodeEngine | None:
    """Returns the least full replica that has the memory now."""
    fits = [x for x in usable if x.free_kv_blocks >= entry.kv_blocks]
    return min(fits, key=_fullness, default=None)


def _fullness(station: engines.DecodeEngine) -> float:
    """Returns how far the batch of a replica is filled."""
    return station.sequences / max(station.max_sequences, 1)


def _first_token_in_s(
    station: engines.PrefillEngine, ask: messages.Ask, now: float
) -> float:
    """Returns the time until the first token by way of a replica."""
    lead_s = station.idle_in_s(now)
    lead_s += station.prefill_s(ask.prompt_tokens, ask.prefixes)
    return lead_s + station.transfer_s(ask.prompt_tokens, lead_s)


def _prefills_for_low_priority(
    usable: list[engines.PrefillEngine], view: forecasts.UsableEngines
) -> list[engines.PrefillEngine]:
    """Leaves half of the replicas, and the last idle one, to other asks."""
    running = sum(x.low_priority_count for x in view.prefills)
    if running >= max(1, len(view.prefills) // 2):
        return []
    idle = [station for station in usable if not station.prefill_queue]
    return idle if len(idle) > 1 or len(view.prefills) == 1 else []
