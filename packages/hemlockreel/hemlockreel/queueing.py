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


class QueuedRequest:
    """An ask that waits.

    ``deadline`` is the time at which its first token must be there,
    ``give_up_at`` the last time at which starting it makes sense. ``cost`` is
    its share of the pool in seconds, ``prefill_s`` the time of its prefill.
    """

    def __init__(
        self,
        request: messages.Ask,
        grant_id: int,
        deadline: float,
        start_by: float,
        kv_blocks: int,
        prefill_s: float,
        cost_s: float,
    ):
        self.request = request
        self.grant_id = grant_id
        self.deadline = deadline
        self.start_by = start_by
        self.kv_blocks = kv_blocks
        self.prefill_s = prefill_s
        self.cost_s = cost_s
        self.is_queued = False

    @property
    def key(self) -> tuple[str, int]:
        """The request and the attempt."""
        return self.request.request_id, self.request.attempt


class Backlog:
    """The work that is served before some ask."""

    def __init__(self):
        self.requests = 0.0
        self.kv_blocks = 0.0
        self.prefill_s = 0.0


class _OrganisationQueue:
    """The waiting asks of one organisation."""

    def __init__(self, name: str):
        self.name = name
        self.weight = 1.0
        self.virtual_time = 0.0
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.requests = 0
        self.kv_blocks = 0
        self.prefill_s = 0.0
        self.cost_s = 0.0
        self.order_number = -1  # number of its valid mark in the queue's order

    def adjust_totals(self, queued: QueuedRequest, sign: int) -> None:
        """Adds an entry to the sums, or takes it out."""
        self.requests += sign
        self.kv_blocks += sign * queued.kv_blocks
        self.prefill_s += sign * queued.prefill_s
        self.cost_s += sign * queued.cost_s

    def head(self) -> QueuedRequest | None:
        """Returns the entry with the earliest deadline."""
        while self.heap and not self.heap[0][2].is_queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class FairQueue:
    """Waiting asks of one class, counted into ``shares`` as well."""

    def __init__(self, shares: fair_shares.FairShares):
        self._shares = shares
        self._queued: dict[tuple[str, int], QueuedRequest] = {}
        self._organisations: dict[str, _OrganisationQueue] = {}
        self._order: list[tuple[float, int, _OrganisationQueue]] = []
        self._expiry: list[tuple[float, int, QueuedRequest]] = []
        self._virtual_time = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, queued: QueuedRequest) -> None:
        """Adds an entry."""
        name = queued.request.organisation
        organisation = self._organisations.get(name)
        if organisation is None:
            self._forget_idle()
            organisation = self._organisations[name] = _OrganisationQueue(name)
        organisation.weight = max(queued.request.weight, MIN_WEIGHT)
        if not organisation.requests:
            # Time without asks gives no credit for later.
            organisation.virtual_time = max(
                organisation.virtual_time, self._virtual_time
            )
            self._push_order(organisation)
        number = next(self._numbers)
        heapq.heappush(organisation.heap, (queued.deadline, number, queued))
        heapq.heappush(self._expiry, (queued.start_by, number, queued))
        self._queued[queued.key] = queued
        queued.is_queued = True
        self._shares.adjust_waiting(
            name, queued.request.weight, queued.kv_blocks
        )
        organisation.adjust_totals(queued, 1)

    def heads(self, limit: int) -> Iterator[QueuedRequest]:
        """Yields the next entries of up to ``limit`` organisations.

        The first one is due; the others may take what it cannot use.
        """
        while self._order and not self._is_current(self._order[0]):
            heapq.heappop(self._order)
        if limit == 1:
            first = self._order[:1]
        else:
            current = filter(self._is_current, self._order)
            first = heapq.nsmallest(limit, current)
        for _, _, organisation in first:
            queued = organisation.head()
            if queued is not None:
                yield queued

    def dequeue(self, queued: QueuedRequest) -> None:
        """Takes out an entry that is served, and charges its organisation."""
        organisation = self._organisations[queued.request.organisation]
        self._virtual_time = max(self._virtual_time, organisation.virtual_time)
        organisation.virtual_time += queued.cost_s / organisation.weight
        self.remove(queued.key)
        self._push_order(organisation)

    def remove(self, key: tuple[str, int]) -> QueuedRequest | None:
        """Takes out an entry without charging for it."""
        queued = self._queued.pop(key, None)
        if queued is None:
            return None
        queued.is_queued = False
        name = queued.request.organisation
        self._organisations[name].adjust_totals(queued, -1)
        self._shares.adjust_waiting(
            name, queued.request.weight, -queued.kv_blocks
        )
        return queued

    def pop_expired(self, now: float) -> Iterator[QueuedRequest]:
        """Takes out the entries for which it is too late to start."""
        while self._expiry and self._expiry[0][0] <= now:
            _, _, queued = heapq.heappop(self._expiry)
            if queued.is_queued:
                self.remove(queued.key)
                yield queued

    def evict_for(self, request: messages.Ask) -> QueuedRequest | None:
        """Takes out the last entry of an organisation that uses far more.

        ``None`` when no organisation has more asks waiting, by weight, than
        that of ``ask`` would have.
        """
        waiting = [x for x in self._organisations.values() if x.requests]
        most = max(waiting, key=lambda x: x.requests / x.weight, default=None)
        own = self._organisations.get(request.organisation)
        own_requests = 0 if own is None else own.requests
        if most is None or most is own:
            return None
        if most.requests / most.weight <= (own_requests + 1) / max(
            request.weight, MIN_WEIGHT
        ):
            return None
        last = max(x for x in most.heap if x[2].is_queued)[2]
        return self.remove(last.key)

    def backlog_before(self, request: messages.Ask, cost_s: float) -> Backlog:
        """Returns what is served before ``ask`` if it joins now.

        Of another organisation only its fair share counts: as much, by
        weight, as the own organisation has waiting.
        """
        backlog = Backlog()
        own = self._organisations.get(request.organisation)
        own_cost_s = cost_s + (0.0 if own is None else own.cost_s)
        per_weight = own_cost_s / max(request.weight, MIN_WEIGHT)
        for organisation in self._organisations.values():
            if not organisation.requests:
                continue
            share = 1.0
            if organisation is not own and organisation.cost_s > 0:
                fair = per_weight * organisation.weight
                share = min(1.0, fair / organisation.cost_s)
            backlog.requests += share * organisation.requests
            backlog.kv_blocks += share * organisation.kv_blocks
            backlog.prefill_s += share * organisation.prefill_s
        return backlog

    def _push_order(self, organisation: _OrganisationQueue) -> None:
        """Puts an organisation into the order, in place of its old mark."""
        organisation.order_number = next(self._numbers)
        item = (
            organisation.virtual_time,
            organisation.order_number,
            organisation,
        )
        heapq.heappush(self._order, item)

    def _is_current(self, item: tuple[float, int, _OrganisationQueue]) -> bool:
        _, number, organisation = item
        return (
            organisation.order_number == number and organisation.requests > 0
        )

    def _forget_idle(self) -> None:
        """Drops organisations without asks when there are many."""
        if len(self._organisations) < MAX_IDLE_ORGANISATIONS:
            return
        self._organisations = {
            name: organisation
            for name, organisation in self._organisations.items()
            if organisation.requests
            or organisation.virtual_time > self._virtual_time
        }


def latest_start(deadline: float, service_s: float, slack_s: float) -> float:
    """Returns the last time at which an ask can start and still be in time.

    >>> latest_start(10.0, 0.5, 0.25)
    9.25
    """
    if deadline == math.inf:
        return math.inf
    return deadline - service_s - slack_s
