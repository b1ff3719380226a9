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
LINE_LIMIT = 2  # prefills at one engine, the running one included
TRANSFER_LIMIT = 3  # transfers under way from one prefill engine
RESULT_TTL_S = 0.8  # time for which a prefill result waits for memory
HEADROOM_SHARE = 0.1  # share of memory that deferrable asks leave free


class Choice(NamedTuple):
    """The replicas for an ask; ``ahead`` when the memory is not free yet."""

    prefill: engines.Prefill
    decode: engines.Decode
    ahead: bool
    yields: bool
    work_s: float


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

    def view(self, ask: messages.Ask, now: float) -> forecasts.View:
        """Returns the stations that ``ask`` may use."""
        return forecasts.View(
            self.fleet.usable_prefills(ask.exclude, now),
            self.fleet.usable_decodes(ask.exclude, now),
            now,
        )

    def find(
        self,
        entry: queueing.Entry,
        queue: queueing.FairQueue,
        claimed: Set[str],
        floods: bool,
        now: float,
    ) -> Choice | None:
        """Returns the replicas for ``entry``, ``None`` while there are none.

        ``queue`` is the one that ``entry`` waits in. The decode replicas in
        ``claimed`` are kept for asks that go before it.
        ``floods`` says that its organisation asks for far too much.
        """
        view = self.view(entry.ask, now)
        yields = floods or entry.ask.klass == DEFERRABLE
        prefill = self._pick_prefill(entry.ask, yields, view)
        if prefill is None:
            return None
        work_s = prefill.work_s(entry.ask.prompt_tokens, entry.ask.prefixes)
        unclaimed = [x for x in view.decodes if x.address not in claimed]
        usable = [x for x in unclaimed if x.room(now) > 0]
        ahead = False
        if entry.ask.klass == DEFERRABLE:
            decode = self._pick_deferrable(entry, usable, now)
        else:
            decode = _pick_free(entry, usable)
        if decode is None and entry.ask.klass != DEFERRABLE:
            ahead = True
            lead_s = prefill.free_in(now) + work_s
            queued = queue.ahead(entry.ask, math.inf)
            pressure = self.forecast.wait_s(view, queued, 0, 0)
            pressure /= max(entry.ask.deadline_s, 1e-3)
            share = self.overcommit.share(pressure, entry.ask.prompt_tokens)
            decode = self._pick_ahead(entry, unclaimed, share, lead_s, now)
        if decode is None:
            return None
        return Choice(prefill, decode, ahead, yields, work_s)

    def claim(
        self, entry: queueing.Entry, claimed: Set[str], now: float
    ) -> str | None:
        """Returns the decode replica to keep for an ask that must wait.

        Memory that comes free there is not taken by smaller asks behind it,
        which would otherwise keep a large ask waiting for good.
        """
        open_to = [
            station
            for station in self.fleet.usable_decodes(entry.ask.exclude, now)
            if station.address not in claimed and not station.slow
        ]
        best = max(open_to, key=lambda x: x.free, default=None)
        return None if best is None else best.address

    def _pick_prefill(
        self, ask: messages.Ask, yields: bool, view: forecasts.View
    ) -> engines.Prefill | None:
        """Returns the replica by way of which the first token comes first.

        A cached prefix shortens the prefill and a line delays it, so a
        prefix that many share does not overload one replica.
        """
        usable = [
            station
            for station in view.prefills
            if len(station.line) < LINE_LIMIT
            and len(station.transfers) < TRANSFER_LIMIT
        ]
        if yields:
            usable = _leave_prefills(usable, view)
        return min(
            usable,
            key=lambda x: (
                x.free_in(view.now) + x.work_s(ask.prompt_tokens, ask.prefixes)
            ),
            default=None,
        )

    def _pick_ahead(
        self,
        entry: queueing.Entry,
        unclaimed: list[engines.Decode],
        share: float,
        lead_s: float,
        now: float,
    ) -> engines.Decode | None:
        """Returns a replica that should have the memory in time."""
        if share <= 0:
            return None
        wait_s = lead_s + RESULT_TTL_S
        best = None
        best_free = entry.pieces - 1
        for station in unclaimed:
            expected = share * self.forecast.releases(station, wait_s)
            free = station.free + int(expected)
            room = station.room(now) + int(expected)
            if free > best_free and room > 0 and not station.slow:
                best, best_free = station, free
        return best

    def _pick_deferrable(
        self,
        entry: queueing.Entry,
        usable: list[engines.Decode],
        now: float,
    ) -> engines.Decode | None:
        """Returns a replica that has memory beyond what others may need."""
        decodes = self.fleet.decodes.values()
        held = sum(x.granted - x.deferrable for x in decodes)
        peak = self.forecast.interactive_peak(held, now)
        total = sum(x.total for x in decodes)
        reserve = peak - held + HEADROOM_SHARE * total
        free = sum(x.free for x in usable)
        if free - entry.pieces < reserve:
            return None
        return _pick_free(entry, [x for x in usable if not x.slow])


def _pick_free(
    entry: queueing.Entry, usable: list[engines.Decode]
) -> engines.Decode | None:
    """Returns the least full replica that has the memory now."""
    fits = [x for x in usable if x.free >= entry.pieces]
    return min(fits, key=_fullness, default=None)


def _fullness(station: engines.Decode) -> float:
    """Returns how far the batch of a replica is filled."""
    return station.count / max(station.cap, 1)


def _ready_in(
    station: engines.Prefill, ask: messages.Ask, now: float
) -> float:
    """Returns the time until the first token by way of a replica."""
    lead_s = station.free_in(now)
    lead_s += station.work_s(ask.prompt_tokens, ask.prefixes)
    return lead_s + station.transfer_s(ask.prompt_tokens, lead_s)


def _leave_prefills(
    usable: list[engines.Prefill], view: forecasts.View
) -> list[engines.Prefill]:
    """Leaves half of the replicas, and the last idle one, to other asks."""
    running = sum(x.yielding for x in view.prefills)
    if running >= max(1, len(view.prefills) // 2):
        return []
    idle = [station for station in usable if not station.line]
    return idle if len(idle) > 1 or len(view.prefills) == 1 else []
