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

    def __init__(self, ask: messages.Ask, pieces: int, now: float):
        self.request = ask
        self.kv_blocks = pieces
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
            made = overcommit.Overcommit(pool.overcommit)
            self._placement.overcommit = made
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
        station = self.fleet.prefills.get(address)
        if station is not None:
            station.prefix_hints.apply_events(events)

    # Asks

    def submit(
        self, ask: messages.Ask, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants, queues or denies ``ask``.

        ``grant_id`` is the id of the grant, if it comes to one. Other asks
        may be decided along with it.
        """
        view = self._placement.usable_engines(ask, now)
        entry = self._estimate(ask, grant_id, view)
        reason = self._rejection(entry, view)
        if reason is not None:
            return [self._deny(entry, reason, now)]
        done: list[decisions.Decision] = []
        queue = self._queue_of(ask)
        if len(queue) >= self.pool.queue_limit:
            full = outcomes.Reason.OVERLOADED
            displaced = queue.evict_for(ask) or entry
            done.append(self._deny(displaced, full, now))
            if displaced is entry:
                return done
        queue.push(entry)
        return [*done, *self.decide(now)]

    def withdraw(self, request_id: str, attempt: int) -> None:
        """Forgets an ask that waits."""
        for queue in (self._interactive, self._deferrable):
            queue.remove((request_id, attempt))

    def decide(self, now: float) -> list[decisions.Decision]:
        """Grants or denies waiting asks after releases and time passed."""
        if not self.waiting:
            return []
        done: list[decisions.Decision] = []
        for queue in (self._interactive, self._deferrable):
            for entry in queue.pop_expired(now):
                done.append(self._deny(entry, outcomes.Reason.LATE, now))
        done.extend(self._grant_waiting(self._interactive, now))
        if not self._interactive:
            done.extend(self._grant_waiting(self._deferrable, now))
        return done

    # Progress of a grant

    def prefill_finished(
        self, grant_id: int, now: float, cached_tokens: int | None = None
    ) -> None:
        """Frees the prefill place of a grant."""
        place = self.reservations.get(grant_id)
        if place is None or not place.is_prefilling:
            return
        place.is_prefilling = False
        place.prefilled_at = now
        station = self._choices[grant_id].prefill
        prefixes = place.request.prefixes
        believed = station.cached_tokens(prefixes)
        if cached_tokens is None:
            cached_tokens = believed
        station.prefix_hints.adapt_capacity(believed, cached_tokens)
        ran_s = station.dequeue(grant_id, now)
        if ran_s is not None:
            station.update_speed(
                place.request.prompt_tokens - cached_tokens, ran_s
            )
        station.prefix_hints.add(prefixes)
        station.start_transfer(grant_id, place.request.prompt_tokens)
        station.record_success()

    def first_token(self, grant_id: int, now: float) -> None:
        """Notes that the first token of a grant has come."""
        place = self.reservations.get(grant_id)
        if place is None or place.first_token_at is not None:
            return
        self.prefill_finished(grant_id, now)
        place.first_token_at = now
        choice = self._choices[grant_id]
        # With memory granted ahead, the wait for it is a part of the time.
        took_s = None if choice.overcommitted else now - place.prefilled_at
        choice.prefill.end_transfer(
            grant_id, place.request.prompt_tokens, took_s
        )
        choice.decode.decoding_kv_blocks += place.kv_blocks
        choice.decode.record_success()
        place.sequence_seconds = choice.decode.adjust_running(1, now)

    def request_finished(
        self, grant_id: int, output_tokens: int, failed: bool, now: float
    ) -> None:
        """Notes how a grant ended; its memory is freed by the release."""
        place = self.reservations.get(grant_id)
        if place is None or place.is_finished:
            return
        place.is_finished = True
        prefill, decode = self._choices[grant_id][:2]
        if failed:
            (prefill if place.is_prefilling else decode).record_failure(now)
        elif (
            place.first_token_at is not None
            and output_tokens >= MIN_TIMED_TOKENS
        ):
            span_s = max(now - place.first_token_at, 1e-6)
            batch = (
                decode.adjust_running(0, now) - place.sequence_seconds
            ) / span_s
            decode.update_batch_model(batch, span_s / (output_tokens - 1))

    def release(self, grant_id: int, now: float) -> None:
        """Frees all that a grant holds."""
        place = self.reservations.pop(grant_id, None)
        if place is None:
            return
        choice = self._choices.pop(grant_id)
        deferrable = _is_deferrable(place.request)
        choice.decode.release(place.kv_blocks, deferrable, now)
        self._shares.adjust_held(place.request.organisation, -place.kv_blocks)
        if place.is_prefilling:
            choice.prefill.dequeue(grant_id, now)
        elif place.first_token_at is None:
            choice.prefill.end_transfer(
                grant_id, place.request.prompt_tokens, None
            )
            if choice.overcommitted:
                self._placement.overcommit.record_wasted(
                    place.request.prompt_tokens
                )
        else:
            choice.decode.decoding_kv_blocks -= place.kv_blocks
            choice.decode.adjust_running(-1, now)
            held_s = now - place.granted_at
            idle_s = place.first_token_at - place.granted_at
            self.forecast.record_release(place.kv_blocks, held_s)
            self._placement.overcommit.record_used(
                place.request.prompt_tokens, idle_s, held_s
            )

    # Sizes

    def needed_kv_blocks(self, ask: messages.Ask) -> int:
        """Returns the pieces of decode memory that ``ask`` may come to."""
        tokens = ask.prompt_tokens + ask.output_tokens
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

    def _queue_of(self, ask: messages.Ask) -> queueing.FairQueue:
        return self._deferrable if _is_deferrable(ask) else self._interactive

    def _estimate(
        self, ask: messages.Ask, grant_id: int, view: forecast.UsableEngines
    ) -> queueing.QueuedRequest:
        pieces = self.needed_kv_blocks(ask)
        prefill_s = self.forecast.fastest_prefill_s(view.prefills, ask)
        cost_s = self.forecast.cost_s(view, pieces, prefill_s)
        self.forecast.record_offered_load(view, pieces, prefill_s)
        self._shares.record_demand(
            ask.organisation, ask.weight, pieces, view.now
        )
        deadline = math.inf
        if ask.deadline_s:
            deadline = view.now + ask.deadline_s
        service_s = prefill_s + self.forecast.after_prefill_s(view, ask)
        if service_s > ask.deadline_s - self.pool.margin_ms / 1000:
            # No replica could be in time, so only the wait counts.
            service_s = ask.deadline_s * (1 - UNMEETABLE_WAIT_SHARE)
        slack_s = START_MARGIN_SHARE * self.pool.margin_ms / 1000
        give_up_at = queueing.latest_start(deadline, service_s, slack_s)
        return queueing.QueuedRequest(
            ask, grant_id, deadline, give_up_at, pieces, prefill_s, cost_s
        )

    def _rejection(
        self, entry: queueing.QueuedRequest, view: forecast.UsableEngines
    ) -> outcomes.Reason | None:
        """Returns why ``entry`` may not even wait, ``None`` if it may."""
        if not view.prefills or not view.decodes:
            return outcomes.Reason.NO_BACKEND
        if entry.kv_blocks > max(
            decode.total_kv_blocks for decode in view.decodes
        ):
            return outcomes.Reason.PROMPT_TOO_LONG
        ask = entry.request
        if _is_deferrable(ask) or not ask.deadline_s:
            return None
        ahead = self._interactive.backlog_before(ask, entry.cost_s)
        wait_s = self.forecast.wait_s(view, ahead, entry.kv_blocks)
        # The slack kept at the start is a part of the margin kept here.
        margin_s = (1 - START_MARGIN_SHARE) * self.pool.margin_ms / 1000
        if view.now + wait_s + margin_s > entry.start_by:
            return outcomes.Reason.LATE
        return None

    def _deny(
        self,
        entry: queueing.QueuedRequest,
        reason: outcomes.Reason,
        now: float,
    ) -> decisions.Denied:
        view = self._placement.usable_engines(entry.request, now)
        queued = self._queue_of(entry.request).backlog_before(
            entry.request, math.inf
        )
        backlog_s = self.forecast.wait_s(view, queued, 0, 0)
        name = entry.request.organisation
        floods = self._shares.is_flooding(
            name, self.fleet.capacity_kv_blocks, now
        )
        slots = self._flood_retries if floods else self._retries
        retry_s = slots.retry_after(backlog_s, entry.cost_s, now)
        return decisions.Denied(entry.request, reason, retry_s)

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
        claimed: set[str] = set()
        total = self.fleet.capacity_kv_blocks
        for entry in queue.heads(MAX_ORGANISATIONS_TRIED):
            name = entry.request.organisation
            floods = self._shares.is_flooding(name, total, now)
            if floods and not self._shares.may_hold(name, entry.kv_blocks):
                continue
            choice = self._placement.choose(entry, queue, claimed, floods, now)
            if choice is not None:
                queue.dequeue(entry)
                return self._grant(entry, choice, now)
            claim = self._placement.pick_reserved_decode(entry, claimed, now)
            if claim is None:
                return None
            claimed.add(claim)
        return None

    def _grant(
        self,
        entry: queueing.QueuedRequest,
        choice: placement.ReplicaChoice,
        now: float,
    ) -> decisions.Granted:
        grant_id = entry.grant_id
        self.reservations[grant_id] = Reservation(
            entry.request, entry.kv_blocks, now
        )
        self._choices[grant_id] = choice
        deferrable = _is_deferrable(entry.request)
        choice.prefill.enqueue(
            grant_id, choice.prefill_s, choice.low_priority, now
        )
        choice.decode.grant(entry.kv_blocks, deferrable, now)
        self._shares.adjust_held(entry.request.organisation, entry.kv_blocks)
        return decisions.Granted(
            entry.request,
            grant_id,
            choice.decode.address,
            choice.prefill.address,
        )


def _is_deferrable(ask: messages.Ask) -> bool:
    return ask.klass == placement.DEFERRABLE
