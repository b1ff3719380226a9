"""Places at the replicas of one model shard: who holds what.

The ledger grants a prefill place and the decode memory of a request
together, when the prefill starts. Asks that cannot be served at once wait in
a queue, and those whose first token would come too late are denied at once.
It knows nothing of messages or leases.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import math

from . import decisions
from . import fair_shares
from . import fleet
from . import forecast
from . import messages
from . import objects
from . import outcomes
from . import overcommit
from . import placement
from . import queueing
from . import replicas
from . import retry_schedule
from . import role_balance

MAX_ORGANISATIONS_TRIED = (
    4  # organisations whose next ask may use what the first one cannot
)
UNMEETABLE_WAIT_SHARE = (
    0.5  # share of the target that a too long prompt may wait
)
START_MARGIN_SHARE = (
    0.25  # share of the pool's margin kept when a prefill starts
)
MIN_TIMED_TOKENS = 8  # shorter answers tell too little of the gap


class Reservation:
    """What one grant holds."""

    def __init__(self, request: messages.Ask, kv_blocks: int, now: float):
        self.request = request
        self.kv_blocks = kv_blocks
        self.granted_at = now
        self.is_prefilling = True
        self.prefilled_at: float | None = None
        self.first_token_at: float | None = None
        self.sequence_seconds = 0.0
        self.is_finished = False


class Ledger:
    """The places of one shard.

    All times are in seconds on the caller's monotonic clock.
    """

    def __init__(self, pool: objects.ModelPool):
        self.pool = pool
        self.fleet = fleet.Fleet(pool)
        self.forecast = forecast.Forecast()
        self._retries = retry_schedule.RetrySchedule()
        self._flood_retries = retry_schedule.RetrySchedule()
        self.reservations: dict[int, Reservation] = {}
        self._choices: dict[int, placement.ReplicaChoice] = {}
        self._shares = fair_shares.FairShares()
        self._interactive = queueing.FairQueue(self._shares)
        self._deferrable = queueing.FairQueue(fair_shares.FairShares())
        self._placement = placement.Placement(
            self.fleet, self.forecast, overcommit.Overcommit(pool.overcommit)
        )

    @property
    def waiting(self) -> int:
        """The number of asks that wait."""
        return len(self._interactive) + len(self._deferrable)

    # What is known of the outside

    def set_pool(self, pool: objects.ModelPool) -> None:
        """Takes over a changed configuration of the pool."""
        if pool == self.pool:
            return
        if pool.overcommit != self.pool.overcommit:
            replacement = overcommit.Overcommit(pool.overcommit)
            self._placement.overcommit = replacement
        self.pool = pool
        self.fleet.set_pool(pool)

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Takes over the live and leaving replicas of the shard."""
        self.fleet.set_replicas(members)

    def set_retiring(self, addresses: frozenset[str]) -> None:
        """Gives no new work to replicas that are to change their role."""
        self.fleet.set_retiring(addresses)

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Takes over a load report, see docs/design/protocols.md."""
        self.fleet.set_load(address, load, now)

    def set_cache_events(self, address: str, events: Iterable[dict]) -> None:
        """Takes over cache events, see docs/design/protocols.md."""
        engine = self.fleet.prefills.get(address)
        if engine is not None:
            engine.prefix_hints.apply_events(events)

    # Asks

    def submit(
        self, request: messages.Ask, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants, queues or denies ``ask``.

        ``grant_id`` is the id of the grant, if it comes to one. Other asks
        may be decided along with it.
        """
        candidates = self._placement.usable_engines(request, now)
        queued = self._estimate(request, grant_id, candidates)
        reason = self._rejection(queued, candidates)
        if reason is not None:
            return [self._deny(queued, reason, now)]
        decided: list[decisions.Decision] = []
        queue = self._queue_of(request)
        if len(queue) >= self.pool.queue_limit:
            full = outcomes.Reason.OVERLOADED
            evicted = queue.evict_for(request) or queued
            decided.append(self._deny(evicted, full, now))
            if evicted is queued:
                return decided
        queue.push(queued)
        return [*decided, *self.decide(now)]

    def withdraw(self, request_id: str, attempt: int) -> None:
        """Forgets an ask that waits."""
        for queue in (self._interactive, self._deferrable):
            queue.remove((request_id, attempt))

    def decide(self, now: float) -> list[decisions.Decision]:
        """Grants or denies waiting asks after releases and time passed."""
        if not self.waiting:
            return []
        decided: list[decisions.Decision] = []
        for queue in (self._interactive, self._deferrable):
            for queued in queue.pop_expired(now):
                decided.append(self._deny(queued, outcomes.Reason.LATE, now))
        decided.extend(self._grant_waiting(self._interactive, now))
        if not self._interactive:
            decided.extend(self._grant_waiting(self._deferrable, now))
        return decided

    # Progress of a grant

    def prefill_finished(
        self, grant_id: int, now: float, cached_tokens: int | None = None
    ) -> None:
        """Frees the prefill place of a grant."""
        reservation = self.reservations.get(grant_id)
        if reservation is None or not reservation.is_prefilling:
            return
        reservation.is_prefilling = False
        reservation.prefilled_at = now
        engine = self._choices[grant_id].prefill
        prefixes = reservation.request.prefixes
        expected = engine.cached_tokens(prefixes)
        if cached_tokens is None:
            cached_tokens = expected
        engine.prefix_hints.adapt_capacity(expected, cached_tokens)
        ran_s = engine.dequeue(grant_id, now)
        if ran_s is not None:
            engine.update_speed(
                reservation.request.prompt_tokens - cached_tokens, ran_s
            )
        engine.prefix_hints.add(prefixes)
        engine.start_transfer(grant_id, reservation.request.prompt_tokens)
        engine.record_success()

    def first_token(self, grant_id: int, now: float) -> None:
        """Notes that the first token of a grant has come."""
        reservation = self.reservations.get(grant_id)
        if reservation is None or reservation.first_token_at is not None:
            return
        self.prefill_finished(grant_id, now)
        reservation.first_token_at = now
        choice = self._choices[grant_id]
        # With memory granted ahead, the wait for it is a part of the time.
        took_s = (
            None if choice.overcommitted else now - reservation.prefilled_at
        )
        choice.prefill.end_transfer(
            grant_id, reservation.request.prompt_tokens, took_s
        )
        choice.decode.decoding_kv_blocks += reservation.kv_blocks
        choice.decode.record_success()
        reservation.sequence_seconds = choice.decode.adjust_running(1, now)

    def request_finished(
        self, grant_id: int, output_tokens: int, failed: bool, now: float
    ) -> None:
        """Notes how a grant ended; its memory is freed by the release."""
        reservation = self.reservations.get(grant_id)
        if reservation is None or reservation.is_finished:
            return
        reservation.is_finished = True
        prefill, decode = self._choices[grant_id][:2]
        if failed:
            (prefill if reservation.is_prefilling else decode).record_failure(
                now
            )
        elif (
            reservation.first_token_at is not None
            and output_tokens >= MIN_TIMED_TOKENS
        ):
            span_s = max(now - reservation.first_token_at, 1e-6)
            batch = (
                decode.adjust_running(0, now) - reservation.sequence_seconds
            ) / span_s
            decode.update_batch_model(batch, span_s / (output_tokens - 1))

    def release(self, grant_id: int, now: float) -> None:
        """Frees all that a grant holds."""
        reservation = self.reservations.pop(grant_id, None)
        if reservation is None:
            return
        choice = self._choices.pop(grant_id)
        deferrable = _is_deferrable(reservation.request)
        choice.decode.release(reservation.kv_blocks, deferrable, now)
        self._shares.adjust_held(
            reservation.request.organisation, -reservation.kv_blocks
        )
        if reservation.is_prefilling:
            choice.prefill.dequeue(grant_id, now)
        elif reservation.first_token_at is None:
            choice.prefill.end_transfer(
                grant_id, reservation.request.prompt_tokens, None
            )
            if choice.overcommitted:
                self._placement.overcommit.record_wasted(
                    reservation.request.prompt_tokens
                )
        else:
            choice.decode.decoding_kv_blocks -= reservation.kv_blocks
            choice.decode.adjust_running(-1, now)
            held_s = now - reservation.granted_at
            idle_s = reservation.first_token_at - reservation.granted_at
            self.forecast.record_release(reservation.kv_blocks, held_s)
            self._placement.overcommit.record_used(
                reservation.request.prompt_tokens, idle_s, held_s
            )

    # Sizes

    def needed_kv_blocks(self, request: messages.Ask) -> int:
        """Returns the pieces of decode memory that ``ask`` may come to."""
        tokens = request.prompt_tokens + request.output_tokens
        return -(-tokens // self.pool.piece_tokens)

    def free_kv_blocks(self, address: str) -> int:
        """Returns the pieces that are not granted at ``address``."""
        return self.fleet.decodes[address].free_kv_blocks

    def shard_load(self, now: float) -> role_balance.ShardLoad:
        """Returns what the balance of roles depends on."""
        demand = self.forecast.demand(now)
        prefills = self.fleet.usable_prefills((), now)
        decodes = self.fleet.usable_decodes((), now)
        return role_balance.ShardLoad(
            {x.address: len(x.prefill_queue) for x in prefills},
            {x.address: x.granted_kv_blocks for x in decodes},
            demand.prefill,
            demand.decode,
            self.fleet.is_role_change_pending,
        )

    # Admission

    def _queue_of(self, request: messages.Ask) -> queueing.FairQueue:
        return (
            self._deferrable if _is_deferrable(request) else self._interactive
        )

    def _estimate(
        self,
        request: messages.Ask,
        grant_id: int,
        candidates: forecast.UsableEngines,
    ) -> queueing.QueuedRequest:
        kv_blocks = self.needed_kv_blocks(request)
        prefill_s = self.forecast.fastest_prefill_s(
            candidates.prefills, request
        )
        cost_s = self.forecast.cost_s(candidates, kv_blocks, prefill_s)
        self.forecast.record_offered_load(candidates, kv_blocks, prefill_s)
        self._shares.record_demand(
            request.organisation, request.weight, kv_blocks, candidates.now
        )
        deadline = math.inf
        if request.deadline_s:
            deadline = candidates.now + request.deadline_s
        service_s = prefill_s + self.forecast.after_prefill_s(
            candidates, request
        )
        if service_s > request.deadline_s - self.pool.margin_ms / 1000:
            # No replica could be in time, so only the wait counts.
            service_s = request.deadline_s * (1 - UNMEETABLE_WAIT_SHARE)
        slack_s = START_MARGIN_SHARE * self.pool.margin_ms / 1000
        start_by = queueing.latest_start(deadline, service_s, slack_s)
        return queueing.QueuedRequest(
            request, grant_id, deadline, start_by, kv_blocks, prefill_s, cost_s
        )

    def _rejection(
        self,
        queued: queueing.QueuedRequest,
        candidates: forecast.UsableEngines,
    ) -> outcomes.Reason | None:
        """Returns why ``entry`` may not even wait, ``None`` if it may."""
        if not candidates.prefills or not candidates.decodes:
            return outcomes.Reason.NO_BACKEND
        if queued.kv_blocks > max(
            decode.total_kv_blocks for decode in candidates.decodes
        ):
            return outcomes.Reason.PROMPT_TOO_LONG
        request = queued.request
        if _is_deferrable(request) or not request.deadline_s:
            return None
        backlog = self._interactive.backlog_before(request, queued.cost_s)
        wait_s = self.forecast.wait_s(candidates, backlog, queued.kv_blocks)
        # The slack kept at the start is a part of the margin kept here.
        margin_s = (1 - START_MARGIN_SHARE) * self.pool.margin_ms / 1000
        if candidates.now + wait_s + margin_s > queued.start_by:
            return outcomes.Reason.LATE
        return None

    def _deny(
        self,
        queued: queueing.QueuedRequest,
        reason: outcomes.Reason,
        now: float,
    ) -> decisions.Denied:
        candidates = self._placement.usable_engines(queued.request, now)
        backlog = self._queue_of(queued.request).backlog_before(
            queued.request, math.inf
        )
        backlog_s = self.forecast.wait_s(candidates, backlog, 0, 0)
        name = queued.request.organisation
        flooding = self._shares.is_flooding(
            name, self.fleet.capacity_kv_blocks, now
        )
        retries = self._flood_retries if flooding else self._retries
        retry_s = retries.retry_after(backlog_s, queued.cost_s, now)
        return decisions.Denied(queued.request, reason, retry_s)

    # Grants

    def _grant_waiting(
        self, queue: queueing.FairQueue, now: float
    ) -> Iterator[decisions.Decision]:
        """Grants the waiting asks of one class while there is room."""
        while queue:
            granted = self._grant_next(queue, now)
            if granted is None:
                return
            yield granted

    def _grant_next(
        self, queue: queueing.FairQueue, now: float
    ) -> decisions.Granted | None:
        reserved: set[str] = set()
        total = self.fleet.capacity_kv_blocks
        for queued in queue.heads(MAX_ORGANISATIONS_TRIED):
            name = queued.request.organisation
            flooding = self._shares.is_flooding(name, total, now)
            if flooding and not self._shares.may_hold(name, queued.kv_blocks):
                continue
            choice = self._placement.choose(
                queued, queue, reserved, flooding, now
            )
            if choice is not None:
                queue.dequeue(queued)
                return self._grant(queued, choice, now)
            address = self._placement.pick_reserved_decode(
                queued, reserved, now
            )
            if address is None:
                return None
            reserved.add(address)
        return None

    def _grant(
        self,
        queued: queueing.QueuedRequest,
        choice: placement.ReplicaChoice,
        now: float,
    ) -> decisions.Granted:
        grant_id = queued.grant_id
        self.reservations[grant_id] = Reservation(
            queued.request, queued.kv_blocks, now
        )
        self._choices[grant_id] = choice
        deferrable = _is_deferrable(queued.request)
        choice.prefill.enqueue(
            grant_id, choice.prefill_s, choice.low_priority, now
        )
        choice.decode.grant(queued.kv_blocks, deferrable, now)
        self._shares.adjust_held(queued.request.organisation, queued.kv_blocks)
        return decisions.Granted(
            queued.request,
            grant_id,
            choice.decode.address,
            choice.prefill.address,
        )


def _is_deferrable(request: messages.Ask) -> bool:
    return request.klass == placement.DEFERRABLE
