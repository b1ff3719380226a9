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

BYPASS = 4  # organisations whose next ask may use what the first one cannot
HOPELESS_WAIT = 0.5  # share of the target that a too long prompt may wait
GRANT_SLACK = 0.25  # share of the pool's margin kept when a prefill starts
MIN_GAP_TOKENS = 8  # shorter answers tell too little of the gap


class Place:
    """What one grant holds."""

    def __init__(self, ask: messages.Ask, pieces: int, now: float):
        self.ask = ask
        self.pieces = pieces
        self.granted_at = now
        self.prefilling = True
        self.prefilled_at: float | None = None
        self.first_at: float | None = None
        self.batch_s = 0.0
        self.ended = False


class Ledger:
    """The places of one shard.

    All times are in seconds on the caller's monotonic clock.
    """

    def __init__(self, pool: objects.ModelPool):
        self.pool = pool
        self.fleet = fleet.Fleet(pool)
        self.forecast = forecast.Forecast()
        self._returns = retry_schedule.ReturnSlots()
        self._flood_returns = retry_schedule.ReturnSlots()
        self.places: dict[int, Place] = {}
        self._choices: dict[int, placement.Choice] = {}
        self._shares = fair_shares.Shares()
        self._interactive = queueing.FairQueue(self._shares)
        self._deferrable = queueing.FairQueue(fair_shares.Shares())
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
            station.hints.apply(events)

    # Asks

    def submit(
        self, ask: messages.Ask, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants, queues or denies ``ask``.

        ``grant_id`` is the id of the grant, if it comes to one. Other asks
        may be decided along with it.
        """
        view = self._placement.view(ask, now)
        entry = self._entry(ask, grant_id, view)
        reason = self._reject(entry, view)
        if reason is not None:
            return [self._deny(entry, reason, now)]
        done: list[decisions.Decision] = []
        queue = self._queue_of(ask)
        if len(queue) >= self.pool.queue_limit:
            full = outcomes.Reason.OVERLOADED
            displaced = queue.displace(ask) or entry
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
            for entry in queue.expire(now):
                done.append(self._deny(entry, outcomes.Reason.LATE, now))
        done.extend(self._serve(self._interactive, now))
        if not self._interactive:
            done.extend(self._serve(self._deferrable, now))
        return done

    # Progress of a grant

    def prefilled(
        self, grant_id: int, now: float, cached_tokens: int | None = None
    ) -> None:
        """Frees the prefill place of a grant."""
        place = self.places.get(grant_id)
        if place is None or not place.prefilling:
            return
        place.prefilling = False
        place.prefilled_at = now
        station = self._choices[grant_id].prefill
        prefixes = place.ask.prefixes
        believed = station.cached_tokens(prefixes)
        if cached_tokens is None:
            cached_tokens = believed
        station.hints.correct(believed, cached_tokens)
        ran_s = station.leave(grant_id, now)
        if ran_s is not None:
            station.learn(place.ask.prompt_tokens - cached_tokens, ran_s)
        station.hints.add(prefixes)
        station.start_transfer(grant_id, place.ask.prompt_tokens)
        station.worked()

    def first_token(self, grant_id: int, now: float) -> None:
        """Notes that the first token of a grant has come."""
        place = self.places.get(grant_id)
        if place is None or place.first_at is not None:
            return
        self.prefilled(grant_id, now)
        place.first_at = now
        choice = self._choices[grant_id]
        # With memory granted ahead, the wait for it is a part of the time.
        took_s = None if choice.ahead else now - place.prefilled_at
        choice.prefill.end_transfer(grant_id, place.ask.prompt_tokens, took_s)
        choice.decode.decoding += place.pieces
        choice.decode.worked()
        place.batch_s = choice.decode.run(1, now)

    def ended(
        self, grant_id: int, output_tokens: int, failed: bool, now: float
    ) -> None:
        """Notes how a grant ended; its memory is freed by the release."""
        place = self.places.get(grant_id)
        if place is None or place.ended:
            return
        place.ended = True
        prefill, decode = self._choices[grant_id][:2]
        if failed:
            (prefill if place.prefilling else decode).failed(now)
        elif place.first_at is not None and output_tokens >= MIN_GAP_TOKENS:
            span_s = max(now - place.first_at, 1e-6)
            batch = (decode.run(0, now) - place.batch_s) / span_s
            decode.learn(batch, span_s / (output_tokens - 1))

    def release(self, grant_id: int, now: float) -> None:
        """Frees all that a grant holds."""
        place = self.places.pop(grant_id, None)
        if place is None:
            return
        choice = self._choices.pop(grant_id)
        deferrable = _deferrable(place.ask)
        choice.decode.release(place.pieces, deferrable, now)
        self._shares.hold(place.ask.organisation, -place.pieces)
        if place.prefilling:
            choice.prefill.leave(grant_id, now)
        elif place.first_at is None:
            choice.prefill.end_transfer(
                grant_id, place.ask.prompt_tokens, None
            )
            if choice.ahead:
                self._placement.overcommit.wasted(place.ask.prompt_tokens)
        else:
            choice.decode.decoding -= place.pieces
            choice.decode.run(-1, now)
            held_s = now - place.granted_at
            idle_s = place.first_at - place.granted_at
            self.forecast.released(place.pieces, held_s)
            self._placement.overcommit.served(
                place.ask.prompt_tokens, idle_s, held_s
            )

    # Sizes

    def need(self, ask: messages.Ask) -> int:
        """Returns the pieces of decode memory that ``ask`` may come to."""
        tokens = ask.prompt_tokens + ask.output_tokens
        return -(-tokens // self.pool.piece_tokens)

    def free(self, address: str) -> int:
        """Returns the pieces that are not granted at ``address``."""
        return self.fleet.decodes[address].free

    def shape(self, now: float) -> role_balance.Shape:
        """Returns what the balance of roles depends on."""
        demand = self.forecast.demand(now)
        prefills = self.fleet.usable_prefills((), now)
        decodes = self.fleet.usable_decodes((), now)
        return role_balance.Shape(
            {x.address: len(x.line) for x in prefills},
            {x.address: x.granted for x in decodes},
            demand.prefill,
            demand.decode,
            self.fleet.changing,
        )

    # Admission

    def _queue_of(self, ask: messages.Ask) -> queueing.FairQueue:
        return self._deferrable if _deferrable(ask) else self._interactive

    def _entry(
        self, ask: messages.Ask, grant_id: int, view: forecast.View
    ) -> queueing.Entry:
        pieces = self.need(ask)
        prefill_s = self.forecast.prefill_s(view.prefills, ask)
        cost_s = self.forecast.cost_s(view, pieces, prefill_s)
        self.forecast.offered(view, pieces, prefill_s)
        self._shares.ask(ask.organisation, ask.weight, pieces, view.now)
        deadline = math.inf
        if ask.deadline_s:
            deadline = view.now + ask.deadline_s
        service_s = prefill_s + self.forecast.after_prefill_s(view, ask)
        if service_s > ask.deadline_s - self.pool.margin_ms / 1000:
            # No replica could be in time, so only the wait counts.
            service_s = ask.deadline_s * (1 - HOPELESS_WAIT)
        slack_s = GRANT_SLACK * self.pool.margin_ms / 1000
        give_up_at = queueing.start_by(deadline, service_s, slack_s)
        return queueing.Entry(
            ask, grant_id, deadline, give_up_at, pieces, prefill_s, cost_s
        )

    def _reject(
        self, entry: queueing.Entry, view: forecast.View
    ) -> outcomes.Reason | None:
        """Returns why ``entry`` may not even wait, ``None`` if it may."""
        if not view.prefills or not view.decodes:
            return outcomes.Reason.NO_BACKEND
        if entry.pieces > max(decode.total for decode in view.decodes):
            return outcomes.Reason.PROMPT_TOO_LONG
        ask = entry.ask
        if _deferrable(ask) or not ask.deadline_s:
            return None
        ahead = self._interactive.ahead(ask, entry.cost)
        wait_s = self.forecast.wait_s(view, ahead, entry.pieces)
        # The slack kept at the start is a part of the margin kept here.
        margin_s = (1 - GRANT_SLACK) * self.pool.margin_ms / 1000
        if view.now + wait_s + margin_s > entry.give_up_at:
            return outcomes.Reason.LATE
        return None

    def _deny(
        self, entry: queueing.Entry, reason: outcomes.Reason, now: float
    ) -> decisions.Denied:
        view = self._placement.view(entry.ask, now)
        queued = self._queue_of(entry.ask).ahead(entry.ask, math.inf)
        backlog_s = self.forecast.wait_s(view, queued, 0, 0)
        name = entry.ask.organisation
        floods = self._shares.floods(name, self.fleet.pieces, now)
        slots = self._flood_returns if floods else self._returns
        retry_s = slots.retry_after(backlog_s, entry.cost, now)
        return decisions.Denied(entry.ask, reason, retry_s)

    # Grants

    def _serve(
        self, queue: queueing.FairQueue, now: float
    ) -> Iterator[decisions.Decision]:
        """Grants the waiting asks of one class while there is room."""
        while queue:
            granted = self._serve_one(queue, now)
            if granted is None:
                return
            yield granted

    def _serve_one(
        self, queue: queueing.FairQueue, now: float
    ) -> decisions.Granted | None:
        claimed: set[str] = set()
        total = self.fleet.pieces
        for entry in queue.heads(BYPASS):
            name = entry.ask.organisation
            floods = self._shares.floods(name, total, now)
            if floods and not self._shares.allows(name, entry.pieces):
                continue
            choice = self._placement.find(entry, queue, claimed, floods, now)
            if choice is not None:
                queue.take(entry)
                return self._grant(entry, choice, now)
            claim = self._placement.claim(entry, claimed, now)
            if claim is None:
                return None
            claimed.add(claim)
        return None

    def _grant(
        self, entry: queueing.Entry, choice: placement.Choice, now: float
    ) -> decisions.Granted:
        grant_id = entry.grant_id
        self.places[grant_id] = Place(entry.ask, entry.pieces, now)
        self._choices[grant_id] = choice
        deferrable = _deferrable(entry.ask)
        choice.prefill.enter(grant_id, choice.work_s, choice.yields, now)
        choice.decode.grant(entry.pieces, deferrable, now)
        self._shares.hold(entry.ask.organisation, entry.pieces)
        return decisions.Granted(
            entry.ask,
            grant_id,
            choice.decode.address,
            choice.prefill.address,
        )


def _deferrable(ask: messages.Ask) -> bool:
    return ask.klass == placement.DEFERRABLE
