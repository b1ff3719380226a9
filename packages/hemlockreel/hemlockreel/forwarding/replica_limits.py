"""Limits that replicas name for the requests of all hosts together.

A replica in need states in its answers how many requests a second it takes. A
host that hears of it tells all others, so that they know before they send. One
host, chosen by rendezvous, gives the permits for a replica: a request to it
takes one message each way. A share for each host would leave most of a small
limit unused, and a limit that each host applies by itself would be exceeded.

Without an answer of the host that gives the permits, a request goes to another
replica. A host that has just become the one to give them starts with none in
hand, so that it and its predecessor together stay near the limit.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import membership
from .. import messages
from .. import rendezvous
from . import instances

# A replica that takes less still gets a request now and then, as only an
# answer shows that the limit has ended.
MIN_RATE = 0.1  # requests a second
MAX_RATE = 1e6  # a higher limit is none
BURST_S = 0.25  # of the limit, that may be sent at once after a pause
# Answers may arrive in another order than they were sent, and some were sent
# before the limit was named.
SETTLE_S = 1.0
FORGET_S = 60.0  # after the last permit; the next limit starts anew


class LimitStated(NamedTuple):
    """An answer of the run ``born`` of the replica ``id`` was received.

    ``rate`` is the limit that it names in requests a second, ``None`` for
    none.
    """

    id: str
    born: int
    rate: float | None


class PermitRequested(NamedTuple):
    """A worker wants to make ``calls`` calls to the replica ``id``.

    The reply is a :class:`Permit`.
    """

    request_id: str
    number: int
    id: str
    max_wait_s: float
    calls: int = 1


class Permit(NamedTuple):
    """The reply to the permit request ``number``; see ``PermitGiven``."""

    number: int
    granted: bool
    after_s: float


class Limit(NamedTuple):
    """The limit of the run ``born``; ``since`` is the time it was heard."""

    born: int
    rate: float
    since: float


class Bucket(NamedTuple):
    """What may be sent to a replica at ``at``; negative if it is lent."""

    permits: float
    at: float


class State:
    """The limits by replica id, and the buckets that this host fills."""

    def __init__(self):
        self.limits: dict[str, Limit] = {}
        self.buckets: dict[tuple[str, int], Bucket] = {}


def limited(board: boards.Board) -> frozenset[str]:
    """Returns the ids of the replicas that name a limit."""
    state = board.state(State)
    if not state.limits:
        return frozenset()
    known = board.state(instances.State).instances
    return frozenset(
        id
        for id, limit in state.limits.items()
        if id in known and known[id].born == limit.born
    )


def parse_rate(text: str) -> float | None:
    """Returns the limit in a header's value, ``None`` if it is none.

    >>> parse_rate("3.4"), parse_rate("-1"), parse_rate("nan")
    (3.4, None, None)
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate <= MAX_RATE else None


def _giver(board: boards.Board, id: str) -> str:
    hosts = [each.host for each in membership.live_members(board)]
    return rendezvous.rank(f"permits/{id}", hosts)[0]


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles limits and permits; all other events yield nothing."""
    return ()


@handle.register
def _limit_stated(
    event: LimitStated, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = state.limits.get(event.id)
    if known is not None and known.born != event.born:
        known = None
    before = None if known is None else known.rate
    if before == event.rate:
        return
    if known is not None and now - known.since < SETTLE_S:
        return
    yield from _apply(state, event, now)
    news = messages.ReplicaLimited(
        **board.sender_fields,
        replica=event.id,
        born=event.born,
        rate=event.rate,
    )
    yield from membership.broadcast(board, news)


@handle.register
def _replica_limited(
    event: messages.ReplicaLimited, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    stated = LimitStated(event.replica, event.born, event.rate)
    state = board.state(State)
    known = state.limits.get(event.replica)
    if known is None or (known.born, known.rate) != stated[1:]:
        yield from _apply(state, stated, now)


def _apply(
    state: State, event: LimitStated, now: float
) -> Iterable[actions.Action]:
    if event.rate is None:
        known = state.limits.get(event.id)
        if known is not None and known.born == event.born:
            del state.limits[event.id]
    else:
        state.limits[event.id] = Limit(event.born, event.rate, now)
    yield actions.Count("replica_limits")
    fields = {"replica": event.id, "rate": event.rate}
    yield actions.Log("replica_limited", fields)


@handle.register
def _permit_requested(
    event: PermitRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    limit = board.state(State).limits.get(event.id)
    if limit is None or event.id not in limited(board):
        permit = Permit(event.number, True, 0.0)
        yield actions.Reply(event.request_id, permit)
        return
    asked = messages.PermitAsked(
        **board.sender_fields,
        key=f"{event.request_id}/{event.number}",
        replica=event.id,
        born=limit.born,
        rate=limit.rate,
        max_wait_s=event.max_wait_s,
        calls=event.calls,
    )
    yield actions.Send(_giver(board, event.id), asked)


@handle.register
def _permit_asked(
    event: messages.PermitAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = state.limits.get(event.replica)
    rate = event.rate
    if known is not None and known.born == event.born:
        rate = min(rate, known.rate)
    rate = max(rate, MIN_RATE)
    key = (event.replica, event.born)
    bucket = state.buckets.get(key, Bucket(0.0, now))
    permits = min(
        bucket.permits + (now - bucket.at) * rate, max(1.0, rate * BURST_S)
    )
    after_s = max(0.0, (1.0 - permits) / rate)
    granted = after_s <= event.max_wait_s
    calls = max(1, event.calls) if granted else 0
    state.buckets[key] = Bucket(permits - calls, now)
    if len(state.buckets) > 1:
        _forget_old(state, now)
    given = messages.PermitGiven(
        **board.sender_fields, key=event.key, granted=granted, after_s=after_s
    )
    yield actions.Send(event.sender, given)


def _forget_old(state: State, now: float) -> None:
    old = [k for k, each in state.buckets.items() if now - each.at > FORGET_S]
    for key in old:
        del state.buckets[key]


@handle.register
def _permit_given(
    event: messages.PermitGiven, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    request_id, _, number = event.key.rpartition("/")
    after_s = event.after_s if math.isfinite(event.after_s) else 0.0
    permit = Permit(int(number), event.granted, after_s)
    yield actions.Reply(request_id, permit)


def forget(state: State, id: str) -> None:
    """Drops the limit of a removed replica."""
    state.limits.pop(id, None)
