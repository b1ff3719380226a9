"""The admission queue and the reservations of one model shard.

The ledger decides which admission request gets which engines and when. It
reserves a slot in a prefill engine's queue and the KV blocks of a decode
engine together, so that a finished prefill finds memory to continue in.
Requests that do not fit yet wait in a queue; those whose first token would
come too late are denied at once. Messages and leases are handled elsewhere,
see :mod:`hemlockreel.grants`.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import math

from . import decisions
from . import declared_objects
from . import fair_shares
from . import fleet
from . import forecast
from . import messages
from . import outcomes
from . import overcommit
from . import placement
from . import queueing
from . import replicas
from . import retry_schedule
from . import role_balance

# When the first organisation's request does not fit, this many organisations
# in all are tried for a smaller one.
MAX_ORGANISATIONS_TRIED = 4
# Share of the first-token target that a request may wait when no replica can
# meet the target for its prompt.
UNMEETABLE_WAIT_SHARE = 0.5
# Share of the pool's margin that must be left when the prefill starts. The
# whole margin must be left when the request joins the queue.
START_MARGIN_SHARE = 0.25
# The time between tokens of a shorter output is too noisy to learn from.
MIN_TIMED_TOKENS = 8


class Reservation:
    """The resources that one grant holds, and the progress of its request.

    The times are ``None`` until the event has been reported.
    ``sequence_seconds`` is the decode engine's integral of running sequences
    at the first token, see :meth:`engines.DecodeEngine.adjust_running`.
    """

    def __init__(
        self, request: messages.AdmissionRequest, kv_blocks: int, now: float
    ):
        self.request = request
        self.kv_blocks = kv_blocks
        self.granted_at = now
        self.is_prefilling = True
        self.prefilled_at: float | None = None
        self.first_token_at: float | None = None
        self.sequence_seconds = 0.0
        self.is_finished = False


class Ledger:
    """The reservations and the waiting requests of one model shard.

    All times are in seconds on the caller's monotonic clock.
    """

    def __init__(self, pool: declared_objects.ModelPool):
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
        """The number of requests in both queues."""
        return len(self._interactive) + len(self._deferrable)

    # Configuration, replicas and reports of engines

    def set_pool(self, pool: declared_objects.ModelPool) -> None:
        """Applies a changed configuration of the pool."""
        if pool == self.pool:
            return
        if pool.overcommit != self.pool.overcommit:
            replacement = overcommit.Overcommit(pool.overcommit)
            self._placement.overcommit = replacement
        self.pool = pool
        self.fleet.set_pool(pool)

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Replaces the list of live and leaving replicas of the shard."""
        self.fleet.set_replicas(members)

    def set_retiring(self, addresses: frozenset[str]) -> None:
        """Stops granting on replicas that are about to change.

        The controller of the region retires a replica before it changes the
        role or version.
        """
        self.fleet.set_retiring(addresses)

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Applies an engine's load report, see docs/design/protocols.md."""
        self.fleet.set_load(address, load, now)

    def set_cache_events(self, address: str, events: Iterable[dict]) -> None:
        """Applies a prefill engine's cache events.

        Their format is in docs/design/protocols.md.
        """
        engine = self.fleet.prefills.get(address)
        if engine is not None:
            engine.prefix_hints.apply_events(events)

    # Requests

    def submit(
        self, request: messages.AdmissionRequest, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants, queues or denies ``request``; returns all decisions made.

        ``grant_id`` is used if the request is granted, at once or later. The
        decisions may include other waiting requests, and one that a full
        queue evicts. The list is empty when the request has to wait.
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
        """Removes a waiting request; does nothing if it is not queued."""
        for queue in (self._interactive, self._deferrable):
            queue.remove((request_id, attempt))

    def decide(self, now: float) -> list[decisions.Decision]:
        """Grants or denies waiting requests; returns the decisions.

        Must be called after a release, a report and as time passes. Deferrable
        requests are granted only when no interactive request waits.
        """
        if not self.waiting:
            return []
        decided: list[decisions.Decision] = []
        for queue in (self._interactive, self._deferrable):
            for queued in queue.pop_expired(now):
                decided.append(
                    self._deny(
                        queued, outcomes.Reason.FIRST_TOKEN_TOO_LATE, now
                    )
                )
        decided.extend(self._grant_waiting(self._interactive, now))
        if not self._interactive:
            decided.extend(self._grant_waiting(self._deferrable, now))
        return decided

    # Progress of a grant

    def prefill_finished(
        self, grant_id: int, now: float, cached_tokens: int | None = None
    ) -> None:
        """Frees the prefill slot of a grant and counts its KV transfer.

        ``cached_tokens`` is how much of the prompt the engine found in its
        cache, ``None`` if it did not report it.
        """
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
        run_time_s = engine.dequeue(grant_id, now)
        if run_time_s is not None:
            engine.update_speed(
                reservation.request.prompt_tokens - cached_tokens, run_time_s
            )
        engine.prefix_hints.add(prefixes)
        engine.start_transfer(grant_id, reservation.request.prompt_tokens)
        engine.record_success()

    def first_token(self, grant_id: int, now: float) -> None:
        """Records the first token, with which the KV transfer is complete."""
        reservation = self.reservations.get(grant_id)
        if reservation is None or reservation.first_token_at is not None:
            return
        self.prefill_finished(grant_id, now)
        reservation.first_token_at = now
        choice = self._choices[grant_id]
        # With overcommitted memory the time also contains the wait for free
        # KV blocks, so it is no sample of the transfer speed.
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
        """Updates the engine's statistics when a request finishes.

        The reservation is kept until :meth:`release`, since the engine may
        still hold the memory.
        """
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
            batch_size = (
                decode.adjust_running(0, now) - reservation.sequence_seconds
            ) / span_s
            decode.update_batch_model(batch_size, span_s / (output_tokens - 1))

    def release(self, grant_id: int, now: float) -> None:
        """Frees everything that a grant holds."""
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

    # Sizes and load

    def needed_kv_blocks(self, request: messages.AdmissionRequest) -> int:
        """Returns the KV blocks for the prompt and the longest output."""
        tokens = request.prompt_tokens + request.output_tokens
        return -(-tokens // self.pool.piece_tokens)

    def free_kv_blocks(self, address: str) -> int:
        """Returns the KV blocks at ``address`` that are not granted."""
        return self.fleet.decodes[address].free_kv_blocks

    def shard_load(self, now: float) -> role_balance.ShardLoad:
        """Returns the load by role, the input of :mod:`role_balance`."""
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

    def _queue_of(
        self, request: messages.AdmissionRequest
    ) -> queueing.FairQueue:
        return (
            self._deferrable if _is_deferrable(request) else self._interactive
        )

    def _estimate(
        self,
        request: messages.AdmissionRequest,
        grant_id: int,
        candidates: forecast.UsableEngines,
    ) -> queueing.QueuedRequest:
        """Returns ``request`` with its size, cost and latest start.

        Also counts it into the demand of the shard and its organisation.
        """
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
            # No replica can meet the target for so long a prompt, so only the
            # time in the queue is limited.
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
        """Returns the reason to deny at once, ``None`` if it may wait."""
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
        # ``start_by`` already contains the margin for the start.
        margin_s = (1 - START_MARGIN_SHARE) * self.pool.margin_ms / 1000
        if candidates.now + wait_s + margin_s > queued.start_by:
            return outcomes.Reason.FIRST_TOKEN_TOO_LATE
        return None

    def _deny(
        self,
        queued: queueing.QueuedRequest,
        reason: outcomes.Reason,
        now: float,
    ) -> decisions.Denied:
        """Returns a denial with the time after which to retry.

        Flooding organisations have a schedule of their own, so that their
        retries do not delay those of the others.
        """
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
        """Grants waiting requests of one class until none fits."""
        while queue:
            granted = self._grant_next(queue, now)
            if granted is None:
                return
            yield granted

    def _grant_next(
        self, queue: queueing.FairQueue, now: float
    ) -> decisions.Granted | None:
        """Grants the first request that fits, ``None`` if none does.

        Requests are tried in the order of :meth:`queueing.FairQueue.heads`.
        For each that does not fit a decode replica is reserved, which the
        requests after it may not use.
        """
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


def _is_deferrable(request: messages.AdmissionRequest) -> bool:
    return request.priority_class == placement.DEFERRABLE
