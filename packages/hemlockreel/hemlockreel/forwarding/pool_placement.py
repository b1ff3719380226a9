"""Gives places at the replicas of one pool to the requests of all hosts.

A pool is one stage of a service. Its load is what was given and not freed, so
it needs no reports of the replicas. Their own answers stay decisive: one that
turns a request away gets no more until a place there is freed, or for
``FULL_S``.

Load: 128 hosts with 90 requests a second for 9 decode replicas of 8 places in
a burst. Each host by itself turned half of its requests away, and the busiest
replica had 2.6 times the mean.
"""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

from .. import running_stats
from . import instances
from . import pool_load
from . import pool_queue
from . import prefill_times

FULL_S = 0.25  # without news; a replica that crashed or is full in fact
# Of a plain replica's slots: requests that may wait there, as the news of a
# free slot takes a round trip to arrive.
QUEUE_SHARE = 0.2
MAX_AFTER_S = 10.0
# An organisation that holds more than this share of decode leaves some room at
# each replica to the others, which would otherwise wait until a request of its
# flood ends.
FLOOD_SHARE = 1 / 3
HEADROOM_SHARE = 0.15
# A request this many times as large as the mean needs room that requests of
# usual size would take bit by bit. Once one was refused, they leave one
# replica alone for so long, until such a request gets its place.
LARGE_FACTOR = 2.0
KEPT_S = 3.0
HOLD_TIME_GAIN = 0.05
SPEED_GAIN = 0.1


class Replica(NamedTuple):
    """A usable replica with room for ``places`` requests at once.

    ``memory_tokens`` is infinite for one without a model. ``pace`` is its
    speed relative to the typical replica.
    """

    id: str
    places: float
    memory_tokens: float = math.inf
    pace: float = 1.0


class Given(NamedTuple):
    """The place of ``waiting`` is at ``replica``."""

    waiting: pool_queue.Waiting
    replica: str


class Queued(NamedTuple):
    """``waiting`` waits for a place."""

    waiting: pool_queue.Waiting


class Refused(NamedTuple):
    """``waiting`` gets no place in time; there is room after ``after_s``."""

    waiting: pool_queue.Waiting
    after_s: float


Decision = Given | Queued | Refused


class Pool:
    """The places of one stage of a service, as the host that gives them knows.

    ``replicas`` are its usable replicas at present.
    """

    def __init__(self, stage: instances.Stage, rng: random.Random):
        self.stage = stage
        self.load = pool_load.PoolLoad()
        self.queue = pool_queue.PoolQueue()
        self.replicas: Sequence[Replica] = ()
        self.given = 0
        self.refused = 0
        self._rng = rng
        self._full_until: dict[str, float] = {}
        self._speeds: dict[str, running_stats.MovingAverage] = {}
        self._large_tokens = 0
        self._kept_until = -math.inf
        self._hold_s: running_stats.MovingAverage | None = None

    @property
    def is_idle(self) -> bool:
        """Whether it holds nothing that another host could not learn."""
        return not self.load.places and not self.queue.waiting

    def ask(
        self,
        asked: pool_queue.Waiting,
        refused: str,
        is_full: bool,
        now: float,
    ) -> list[Decision]:
        """Answers a request for a place, and others as far as that frees room.

        ``refused`` is the replica that was given before and could not be used.
        """
        if refused:
            self.load.take(asked.key)
            if is_full:
                self._full_until[refused] = now + FULL_S
            else:
                # This host can't reach it; others may.
                asked = asked._replace(exclude=(*asked.exclude, refused))
        known = self.load.places.get(asked.key)
        if known is not None and known.replica not in asked.exclude:
            self.load.confirm(asked.key, known._replace(seen_at=now))
            return [Given(asked, known.replica)]
        self.load.take(asked.key)
        before = self.queue.waiting.get(asked.key)
        if before is not None:
            asked = asked._replace(asked_at=before.asked_at)
        self.queue.waiting[asked.key] = asked
        if _is_repeat(asked, before) and not refused and now < asked.until:
            # What it waits for is served when it comes, so the order of those
            # that wait isn't needed.
            return [Queued(asked)]
        decisions = self.serve(now)
        if asked.key not in self.queue.waiting:
            return decisions
        after_s = self._waits(now).get(asked.key, 0.0)
        if self._is_hopeless(asked, after_s, now):
            return [*decisions, self._refuse(asked, after_s, now)]
        return [*decisions, Queued(asked)]

    def free(self, key: str, succeeded: bool, now: float) -> list[Decision]:
        """Frees a place, or withdraws the request that waits for it."""
        self.queue.waiting.pop(key, None)
        place = self.load.take(key)
        if place is None:
            return []
        self._full_until.pop(place.replica, None)
        if succeeded:
            self._learn(place, now - place.since)
        return self.serve(now)

    def confirm(self, key: str, place: pool_load.Place) -> list[Decision]:
        """Notes a place that a host reports to hold.

        The report may be older than an ask for the same place that waits. It
        is if the ask can't be for that replica; else this answers the ask.
        """
        waiting = self.queue.waiting.get(key)
        if waiting is not None and (
            place.replica in waiting.exclude
            or place.seen_at < self._full_until.get(place.replica, -math.inf)
        ):
            return []
        self.queue.waiting.pop(key, None)
        self.load.confirm(key, place)
        return [] if waiting is None else [Given(waiting, place.replica)]

    def tick(self, now: float) -> list[Decision]:
        """Drops what has expired and refuses what can't be in time."""
        self.load.expire(now)
        self._full_until = {
            id: until for id, until in self._full_until.items() if until > now
        }
        self._forget_speeds()
        decisions = self.serve(now)
        waits = self._waits(now)
        for each in list(self.queue.waiting.values()):
            if self._is_hopeless(each, waits[each.key], now):
                decisions.append(self._refuse(each, waits[each.key], now))
        return decisions

    def serve(self, now: float) -> list[Decision]:
        """Gives places to those that wait, in their order.

        A request that finds no room keeps the replica that has most of it:
        those behind it may use the others only. So large ones get room too.
        """
        decisions: list[Decision] = []
        while self.queue.waiting:
            served = self._serve_first(now)
            if served is None:
                break
            decisions.append(served)
        return decisions

    def _serve_first(self, now: float) -> Given | None:
        """Gives a place to the first that there is room for."""
        if not self._has_any_room(now):
            return None
        kept: set[str] = set()
        for_large = self._kept_for_large(now)
        for each in self.queue.ordered(self.load, self.capacity):
            is_large = each.tokens >= self._large_tokens
            others = kept if is_large else kept | for_large
            found = self._choose(each, others, now)
            if found is not None:
                if is_large:
                    self._kept_until = now
                self.queue.take(each)
                ahead = self.load.tokens(found)
                place = pool_load.Place(
                    found, each.tokens, each.organisation, now, now, ahead
                )
                self.load.put(each.key, place)
                self.given += 1
                return Given(each, found)
            most = self._most_room(each, others)
            if most is not None:
                kept.add(most)
            if len(kept) >= len(self.replicas):
                break
        return None

    def _has_any_room(self, now: float) -> bool:
        """Returns whether some replica has room for the smallest request.

        Most often none has while requests wait, and their order isn't needed.
        """
        smallest = min(
            self.queue.waiting.values(), key=lambda each: each.tokens
        )._replace(until=math.inf)
        return any(
            now >= self._full_until.get(replica.id, now)
            and self._has_room(replica, smallest, now)
            for replica in self.replicas
        )

    def _kept_for_large(self, now: float) -> set[str]:
        """Returns the replica that only a large request may use now."""
        if now >= self._kept_until or len(self.replicas) < 2:
            return set()
        emptiest = min(
            self.replicas, key=lambda each: self.load.tokens(each.id)
        )
        return {emptiest.id}

    @property
    def capacity(self) -> float:
        """The cost of all places of the pool."""
        if self.stage is instances.Stage.DECODE:
            return sum(each.memory_tokens for each in self.replicas)
        if self.stage is instances.Stage.PLAIN:
            return sum(each.places for each in self.replicas)
        return math.inf

    def busy_s(self, replica: str) -> float:
        """Returns how long a prefill replica takes for what it holds."""
        return self._prefill_s(replica, 0)

    # Room

    def _choose(
        self, each: pool_queue.Waiting, kept: set[str], now: float
    ) -> str | None:
        """Returns the least loaded replica with room, ``None`` if none."""
        limit = 1 - HEADROOM_SHARE if self._is_flooding(each) else math.inf
        best: tuple[float, float, str] | None = None
        for replica in self.replicas:
            if replica.id in each.exclude or replica.id in kept:
                continue
            if now < self._full_until.get(replica.id, now):
                continue
            if not self._has_room(replica, each, now):
                continue
            load = self._load_with(replica, each.tokens)
            if load > limit:
                continue
            rank = (load, self._rng.random(), replica.id)
            if best is None or rank < best:
                best = rank
        return None if best is None else best[2]

    def _is_flooding(self, each: pool_queue.Waiting) -> bool:
        """Returns whether an organisation takes much of what others share.

        That matters only where places are held for long.
        """
        if self.stage is not instances.Stage.DECODE:
            return False
        wants = self.load.held_by(each.organisation)
        wants += pool_load.cost(each.tokens)
        return (
            wants > FLOOD_SHARE * self.capacity
            and len(self.load.holders()) > 1
        )

    def _has_room(
        self, replica: Replica, each: pool_queue.Waiting, now: float
    ) -> bool:
        if self.stage is instances.Stage.PREFILL:
            # Prompts are processed one after the other, so the queue at the
            # replica is as good as one here while they are in time.
            taken_s = self._prefill_s(replica.id, each.tokens)
            return now + taken_s <= each.until
        held = self.load.requests(replica.id)
        if self.stage is instances.Stage.PLAIN:
            extra = max(1.0, QUEUE_SHARE * replica.places)
            return held + 1 <= replica.places + extra
        tokens = self.load.tokens(replica.id) + each.tokens
        return held + 1 <= replica.places and tokens <= replica.memory_tokens

    def _load_with(self, replica: Replica, tokens: int) -> float:
        """Returns the load of a replica with a request of ``tokens`` more."""
        if self.stage is instances.Stage.PREFILL:
            return self._prefill_s(replica.id, tokens)
        places = (self.load.requests(replica.id) + 1) / max(replica.places, 1)
        held = self.load.tokens(replica.id) + tokens
        share = max(places, held / max(replica.memory_tokens, 1))
        # Of a slow replica, the same share takes longer to become free.
        return share / replica.pace

    def _most_room(
        self, each: pool_queue.Waiting, kept: set[str]
    ) -> str | None:
        found = [
            (self._load_with(replica, 0), replica.id)
            for replica in self.replicas
            if replica.id not in kept and replica.id not in each.exclude
        ]
        return min(found)[1] if found else None

    def _prefill_s(self, replica: str, tokens: int) -> float:
        known = self._speeds.get(replica)
        speed = known.value if known else prefill_times.DEFAULT_TOKENS_PER_S
        return (self.load.tokens(replica) + tokens) / speed

    # Prediction

    def _learn(self, place: pool_load.Place, seconds: float) -> None:
        if self.stage is instances.Stage.PREFILL:
            self._learn_speed(place, seconds)
        elif self._hold_s is None:
            self._hold_s = running_stats.MovingAverage(seconds, HOLD_TIME_GAIN)
        else:
            self._hold_s.add(seconds)

    def _learn_speed(self, place: pool_load.Place, seconds: float) -> None:
        """Learns the speed of a prefill replica from one prompt.

        Those ahead of it were processed in the same time.
        """
        if place.tokens < prefill_times.MIN_TOKENS or seconds <= 0:
            return
        speed = (place.ahead + place.tokens) / seconds
        known = self._speeds.get(place.replica)
        if known is None:
            self._speeds[place.replica] = running_stats.MovingAverage(
                speed, SPEED_GAIN
            )
        else:
            known.add(speed)

    def _forget_speeds(self) -> None:
        """Forgets the speeds of replicas that left."""
        # An empty list says that it is late, not that all have left.
        if self.replicas and len(self._speeds) > len(self.replicas):
            present = {each.id for each in self.replicas}
            for id in self._speeds.keys() - present:
                del self._speeds[id]

    def _waits(self, now: float) -> dict[str, float]:
        """Returns the predicted seconds until each of the waiting is served.

        Places are freed at the rate of what is held over the mean time that
        one is held.
        """
        ordered = self.queue.ordered(self.load, self.capacity)
        if self.stage is instances.Stage.PREFILL:
            shortest = min(
                (self.busy_s(each.id) for each in self.replicas), default=0.0
            )
            return {each.key: shortest for each in ordered}
        held = self.load.total_cost
        if self._hold_s is None or not held:
            return {each.key: 0.0 for each in ordered}
        rate = held / max(self._hold_s.value, 0.001)
        result = {}
        ahead = 0.0
        for each in ordered:
            ahead += pool_load.cost(each.tokens)
            result[each.key] = min(ahead / rate, MAX_AFTER_S)
        return result

    def _is_hopeless(
        self, each: pool_queue.Waiting, after_s: float, now: float
    ) -> bool:
        if now >= each.until:
            return True
        if self.stage is instances.Stage.PREFILL:
            return True
        return now + after_s > each.until and not self.queue.is_only_one(each)

    def _refuse(
        self, each: pool_queue.Waiting, after_s: float, now: float
    ) -> Refused:
        self.queue.waiting.pop(each.key, None)
        self.refused += 1
        count = max(len(self.load.places), 1)
        if each.tokens > LARGE_FACTOR * self.load.total_cost / count:
            self._large_tokens = each.tokens
            self._kept_until = now + KEPT_S
        return Refused(each, after_s)


def _is_repeat(
    asked: pool_queue.Waiting, before: pool_queue.Waiting | None
) -> bool:
    """Returns whether ``asked`` wants the same as what waits already."""
    return before is not None and asked == before._replace(
        number=asked.number, until=asked.until
    )
