"""The queue of asks: fair between organisations, earliest deadline first.

Between organisations the queue keeps start-time fair queueing: each has a
virtual time that rises by the cost of its asks over its weight, and the
lowest goes first. Within an organisation the earliest deadline goes first.
"""

from collections.abc import Iterator
import heapq
import itertools
import math

from . import fair_shares
from . import messages

MIN_WEIGHT = 0.001
MAX_IDLE_ORGANISATIONS = 1024


class Entry:
    """An ask that waits.

    ``deadline`` is the time at which its first token must be there,
    ``give_up_at`` the last time at which starting it makes sense. ``cost`` is
    its share of the pool in seconds, ``prefill_s`` the time of its prefill.
    """

    def __init__(
        self,
        ask: messages.Ask,
        grant_id: int,
        deadline: float,
        give_up_at: float,
        pieces: int,
        prefill_s: float,
        cost: float,
    ):
        self.ask = ask
        self.grant_id = grant_id
        self.deadline = deadline
        self.give_up_at = give_up_at
        self.pieces = pieces
        self.prefill_s = prefill_s
        self.cost = cost
        self.queued = False

    @property
    def key(self) -> tuple[str, int]:
        """The request and the attempt."""
        return self.ask.request_id, self.ask.attempt


class Ahead:
    """The work that is served before some ask."""

    def __init__(self):
        self.asks = 0.0
        self.pieces = 0.0
        self.prefill_s = 0.0


class _Organisation:
    """The waiting asks of one organisation."""

    def __init__(self, name: str):
        self.name = name
        self.weight = 1.0
        self.virtual = 0.0
        self.heap: list[tuple[float, int, Entry]] = []
        self.asks = 0
        self.pieces = 0
        self.prefill_s = 0.0
        self.cost = 0.0
        self.mark = -1  # number of its valid mark in the queue's order

    def count(self, entry: Entry, sign: int) -> None:
        """Adds an entry to the sums, or takes it out."""
        self.asks += sign
        self.pieces += sign * entry.pieces
        self.prefill_s += sign * entry.prefill_s
        self.cost += sign * entry.cost

    def head(self) -> Entry | None:
        """Returns the entry with the earliest deadline."""
        while self.heap and not self.heap[0][2].queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class FairQueue:
    """Waiting asks of one class, counted into ``shares`` as well."""

    def __init__(self, share_counts: fair_shares.Shares):
        self._shares = share_counts
        self._entries: dict[tuple[str, int], Entry] = {}
        self._organisations: dict[str, _Organisation] = {}
        self._order: list[tuple[float, int, _Organisation]] = []
        self._expiry: list[tuple[float, int, Entry]] = []
        self._virtual = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: Entry) -> None:
        """Adds an entry."""
        name = entry.ask.organisation
        organisation = self._organisations.get(name)
        if organisation is None:
            self._forget_idle()
            organisation = self._organisations[name] = _Organisation(name)
        organisation.weight = max(entry.ask.weight, MIN_WEIGHT)
        if not organisation.asks:
            # Time without asks gives no credit for later.
            organisation.virtual = max(organisation.virtual, self._virtual)
            self._mark(organisation)
        number = next(self._numbers)
        heapq.heappush(organisation.heap, (entry.deadline, number, entry))
        heapq.heappush(self._expiry, (entry.give_up_at, number, entry))
        self._entries[entry.key] = entry
        entry.queued = True
        self._shares.wait(name, entry.ask.weight, entry.pieces)
        organisation.count(entry, 1)

    def heads(self, limit: int) -> Iterator[Entry]:
        """Yields the next entries of up to ``limit`` organisations.

        The first one is due; the others may take what it cannot use.
        """
        while self._order and not self._valid(self._order[0]):
            heapq.heappop(self._order)
        if limit == 1:
            first = self._order[:1]
        else:
            valid = filter(self._valid, self._order)
            first = heapq.nsmallest(limit, valid)
        for _, _, organisation in first:
            entry = organisation.head()
            if entry is not None:
                yield entry

    def take(self, entry: Entry) -> None:
        """Takes out an entry that is served, and charges its organisation."""
        organisation = self._organisations[entry.ask.organisation]
        self._virtual = max(self._virtual, organisation.virtual)
        organisation.virtual += entry.cost / organisation.weight
        self.remove(entry.key)
        self._mark(organisation)

    def remove(self, key: tuple[str, int]) -> Entry | None:
        """Takes out an entry without charging for it."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        entry.queued = False
        name = entry.ask.organisation
        self._organisations[name].count(entry, -1)
        self._shares.wait(name, entry.ask.weight, -entry.pieces)
        return entry

    def expire(self, now: float) -> Iterator[Entry]:
        """Takes out the entries for which it is too late to start."""
        while self._expiry and self._expiry[0][0] <= now:
            _, _, entry = heapq.heappop(self._expiry)
            if entry.queued:
                self.remove(entry.key)
                yield entry

    def displace(self, ask: messages.Ask) -> Entry | None:
        """Takes out the last entry of an organisation that uses far more.

        ``None`` when no organisation has more asks waiting, by weight, than
        that of ``ask`` would have.
        """
        waiting = [x for x in self._organisations.values() if x.asks]
        most = max(waiting, key=lambda x: x.asks / x.weight, default=None)
        own = self._organisations.get(ask.organisation)
        own_asks = 0 if own is None else own.asks
        if most is None or most is own:
            return None
        if most.asks / most.weight <= (own_asks + 1) / max(
            ask.weight, MIN_WEIGHT
        ):
            return None
        last = max(x for x in most.heap if x[2].queued)[2]
        return self.remove(last.key)

    def ahead(self, ask: messages.Ask, cost: float) -> Ahead:
        """Returns what is served before ``ask`` if it joins now.

        Of another organisation only its fair share counts: as much, by
        weight, as the own organisation has waiting.
        """
        found = Ahead()
        own = self._organisations.get(ask.organisation)
        own_cost = cost + (0.0 if own is None else own.cost)
        per_weight = own_cost / max(ask.weight, MIN_WEIGHT)
        for organisation in self._organisations.values():
            if not organisation.asks:
                continue
            share = 1.0
            if organisation is not own and organisation.cost > 0:
                fair = per_weight * organisation.weight
                share = min(1.0, fair / organisation.cost)
            found.asks += share * organisation.asks
            found.pieces += share * organisation.pieces
            found.prefill_s += share * organisation.prefill_s
        return found

    def _mark(self, organisation: _Organisation) -> None:
        """Puts an organisation into the order, in place of its old mark."""
        organisation.mark = next(self._numbers)
        mark = (organisation.virtual, organisation.mark, organisation)
        heapq.heappush(self._order, mark)

    def _valid(self, mark: tuple[float, int, _Organisation]) -> bool:
        _, number, organisation = mark
        return organisation.mark == number and organisation.asks > 0

    def _forget_idle(self) -> None:
        """Drops organisations without asks when there are many."""
        if len(self._organisations) < MAX_IDLE_ORGANISATIONS:
            return
        self._organisations = {
            name: organisation
            for name, organisation in self._organisations.items()
            if organisation.asks or organisation.virtual > self._virtual
        }


def start_by(deadline: float, service_s: float, slack_s: float) -> float:
    """Returns the last time at which an ask can start and still be in time.

    >>> start_by(10.0, 0.5, 0.25)
    9.25
    """
    if deadline == math.inf:
        return math.inf
    return deadline - service_s - slack_s
