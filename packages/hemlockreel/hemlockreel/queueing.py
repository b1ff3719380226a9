"""The queue of requests: fair between organisations, earliest deadline first.

Between organisations the queue applies start-time fair queueing: each one has
a virtual time that rises by the cost of its requests over its weight, and the
one with the lowest virtual time goes first. Within an organisation the request
with the earliest deadline goes first.
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
    """A waiting request.

    ``deadline`` is the time by which its first token is due, ``start_by`` the
    last time at which its prefill may start to meet it. ``cost_s`` is the time
    for which it occupies the whole shard, ``prefill_s`` the expected time of
    its prefill.
    """

    def __init__(
        self,
        request: messages.AdmissionRequest,
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
        """The request id and the attempt."""
        return self.request.request_id, self.request.attempt


class Backlog:
    """The work that is served before some request."""

    def __init__(self):
        self.requests = 0.0
        self.kv_blocks = 0.0
        self.prefill_s = 0.0


class _OrganisationQueue:
    """The waiting requests of one organisation and their totals.

    Removed requests stay in ``heap`` until they reach its top.
    ``order_number`` is the number of the organisation's valid item in the
    order of the queue; older items are skipped.
    """

    def __init__(self, name: str):
        self.name = name
        self.weight = 1.0
        self.virtual_time = 0.0
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.requests = 0
        self.kv_blocks = 0
        self.prefill_s = 0.0
        self.cost_s = 0.0
        self.order_number = -1

    def adjust_totals(self, queued: QueuedRequest, sign: int) -> None:
        """Adds a request to the totals, or removes it if ``sign`` is -1."""
        self.requests += sign
        self.kv_blocks += sign * queued.kv_blocks
        self.prefill_s += sign * queued.prefill_s
        self.cost_s += sign * queued.cost_s

    def head(self) -> QueuedRequest | None:
        """Returns the request with the earliest deadline, if any."""
        while self.heap and not self.heap[0][2].is_queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class FairQueue:
    """The waiting requests of one class, also counted in ``shares``."""

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
        """Adds a request."""
        name = queued.request.organisation
        organisation = self._organisations.get(name)
        if organisation is None:
            self._forget_idle()
            organisation = self._organisations[name] = _OrganisationQueue(name)
        organisation.weight = max(queued.request.weight, MIN_WEIGHT)
        if not organisation.requests:
            # An organisation earns no credit while it has no requests.
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
        """Yields the next requests of up to ``limit`` organisations.

        The first one is next to be served; the others may use capacity that
        does not suffice for it.
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
        """Removes a request that is served and charges its organisation."""
        organisation = self._organisations[queued.request.organisation]
        self._virtual_time = max(self._virtual_time, organisation.virtual_time)
        organisation.virtual_time += queued.cost_s / organisation.weight
        self.remove(queued.key)
        self._push_order(organisation)

    def remove(self, key: tuple[str, int]) -> QueuedRequest | None:
        """Removes a request without charging; ``None`` if it is not queued."""
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
        """Removes and yields the requests that can no longer start in time."""
        while self._expiry and self._expiry[0][0] <= now:
            _, _, queued = heapq.heappop(self._expiry)
            if queued.is_queued:
                self.remove(queued.key)
                yield queued

    def evict_for(
        self, request: messages.AdmissionRequest
    ) -> QueuedRequest | None:
        """Removes a request of another organisation to make room.

        It is the one with the latest deadline of the organisation with the
        most waiting requests by weight. ``None`` if that has no more than the
        organisation of ``request`` would have.
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

    def backlog_before(
        self, request: messages.AdmissionRequest, cost_s: float
    ) -> Backlog:
        """Returns the work that is served before ``request`` if it joins now.

        That is all of its own organisation and the fair share of each other
        one: as much cost, by weight, as the own one has waiting, ``cost_s``
        included.
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
        """Pushes a new item of the organisation, which voids older ones."""
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
        """Drops idle organisations when there are too many.

        Those with a virtual time ahead of the queue's are kept, as they would
        otherwise be forgiven what they are charged.
        """
        if len(self._organisations) < MAX_IDLE_ORGANISATIONS:
            return
        self._organisations = {
            name: organisation
            for name, organisation in self._organisations.items()
            if organisation.requests
            or organisation.virtual_time > self._virtual_time
        }


def latest_start(deadline: float, service_s: float, slack_s: float) -> float:
    """Returns the last time at which a request can start in time.

    >>> latest_start(10.0, 0.5, 0.25)
    9.25
    """
    if deadline == math.inf:
        return math.inf
    return deadline - service_s - slack_s
