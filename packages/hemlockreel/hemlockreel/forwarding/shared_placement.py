"""Shares one view of the load of each pool among all hosts.

A pool is one stage of a service. One host, chosen by rendezvous, gives the
places in it: see :mod:`pool_placement`. A host that needs a place asks it, and
tells it when the place is free again. Each host reports the places it holds
once a second, from which a new giver learns what its predecessor knew.

An answer changes the order of the replicas that a host has selected itself,
never the rules for them. Without an answer the host goes by its own view, so
the loss of a message or of the giver, or two givers at once, cost quality
only.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from .. import rendezvous
from . import active_deployment
from . import instances
from . import pool_load
from . import pool_placement
from . import pool_queue
from . import replica_health
from . import replica_pace

REPORT_S = 1.0
# How long a host that did not answer isn't asked again. The pause
# doubles while the host stays silent, as each ask costs a request its wait.
SILENT_S = 0.5
MAX_SILENT_S = 8.0
LOG_PERIOD_S = 1.0  # for each pool

PoolKey = tuple[str, instances.Stage]


class PlaceRequested(NamedTuple):
    """A worker needs the place ``key`` at a replica.

    The reply is an :class:`Answer`. The members are those of
    ``messages.PlaceAsked``.
    """

    request_id: str
    key: str
    number: int
    service: str
    stage: instances.Stage
    tokens: int
    priority: int
    organisation: str
    wait_s: float
    exclude: tuple[str, ...] = ()
    refused: str = ""
    is_full: bool = False


class Answer(NamedTuple):
    """The reply to the request ``number`` for the place ``key``.

    ``replicas`` are to be tried in this order. If they are ``None``, the
    request waits in the queue or, with ``after_s``, is refused. If they are
    empty, the worker goes by its own view.
    """

    key: str
    number: int
    replicas: tuple[str, ...] | None = ()
    after_s: float | None = None


class PlaceUsed(NamedTuple):
    """A worker uses ``replica``, whatever it was given for ``key``."""

    key: str
    replica: str
    service: str
    stage: instances.Stage
    tokens: int
    organisation: str


class PlaceEnded(NamedTuple):
    """A worker needs the place ``key`` no more, or waits for it no more."""

    key: str
    succeeded: bool = False


class PlaceUnanswered(NamedTuple):
    """The host that gives the places of a pool has not answered in time."""

    service: str
    stage: instances.Stage


class Held(NamedTuple):
    """A place that this host has asked for.

    ``replica`` is empty until it is given. ``request_id`` is empty once the
    worker has decided by itself. ``number`` is that of the last ask, or 0
    then; answers to others are ignored.
    """

    request_id: str
    pool: PoolKey
    replica: str
    tokens: int
    organisation: str
    since: float
    number: int = 0


class Silence(NamedTuple):
    """A host that did not answer isn't asked until ``until``.

    The pause before that was ``pause_s``, or 0 if it has answered since.
    """

    until: float
    pause_s: float


class State:
    """The places of this host's requests, and the pools that it gives.

    ``is_shared`` is set if the platform's settings want shared places.
    ``silent`` maps a host that did not answer to its last pause.
    """

    def __init__(self):
        self.is_shared = False
        self.held: dict[str, Held] = {}
        self.silent: dict[str, Silence] = {}
        self.pools: dict[PoolKey, pool_placement.Pool] = {}
        self.next_report = 0.0
        self.logged_at: dict[PoolKey, float] = {}
        self.givers: dict[PoolKey, str] = {}
        self.givers_version: tuple[int, bool] = (-1, False)


def giver(board: boards.Board, pool: PoolKey) -> str:
    """Returns the host that gives the places of a pool."""
    state = board.state(State)
    table = membership.table(board)
    version = (table.version, table.draining)
    if state.givers_version != version:
        state.givers = {}
        state.givers_version = version
    found = state.givers.get(pool)
    if found is None:
        service, stage = pool
        members = membership.live_members(board)
        hosts = [each.host for each in members if not each.draining]
        found = rendezvous.rank(
            f"places/{service}/{stage.value}",
            hosts or [board.identity.host],
        )[0]
        state.givers[pool] = found
    return found


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles places; all other events yield nothing."""
    return ()


# The host that needs a place


@handle.register
def _place_requested(
    event: PlaceRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    pool = (event.service, event.stage)
    host = giver(board, pool)
    silence = state.silent.get(host)
    is_silent = silence is not None and silence.until > now
    if not state.is_shared or is_silent:
        yield actions.Count("placement_fallbacks")
        yield actions.Reply(event.request_id, Answer(event.key, event.number))
        return
    known = state.held.get(event.key)
    state.held[event.key] = Held(
        event.request_id,
        pool,
        "" if known is None or event.refused else known.replica,
        event.tokens,
        event.organisation,
        now if known is None else known.since,
        event.number,
    )
    asked = messages.PlaceAsked(
        **board.sender_fields,
        key=event.key,
        number=event.number,
        service=event.service,
        stage=event.stage.value,
        tokens=event.tokens,
        priority=event.priority,
        organisation=event.organisation,
        wait_s=event.wait_s,
        exclude=_unwanted(board, event, now),
        refused=event.refused,
        full=event.is_full,
    )
    yield actions.Send(host, asked)


def _unwanted(
    board: boards.Board, event: PlaceRequested, now: float
) -> tuple[str, ...]:
    """Returns the replicas that this host can't use now."""
    health = board.state(replica_health.State)
    known = board.state(instances.State)
    unreached = {
        each.id
        for each in instances.usable(known, event.service, now, event.stage)
        if replica_health.is_in_connect_backoff(health, each.id, now)
    }
    return tuple(sorted(unreached.union(event.exclude)))


def _asked(
    board: boards.Board,
    event: messages.PlaceGiven | messages.PlaceQueued | messages.PlaceRefused,
    now: float,
) -> Held | None:
    """Returns what an answer is for, ``None`` if its ask isn't the last one.

    Any answer shortens the pause of a host that was silent to the first one.
    A place that was given for an earlier ask isn't freed: the last one has
    the same key, and the giver answers it with the place.
    """
    state = board.state(State)
    silence = state.silent.get(event.sender)
    if silence is not None:
        until = min(silence.until, now + SILENT_S)
        state.silent[event.sender] = Silence(until, 0.0)
    known = state.held.get(event.key)
    if known is None or known.number != event.number:
        return None
    return known


@handle.register
def _place_given(
    event: messages.PlaceGiven, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    known = _asked(board, event, now)
    if known is None:
        return
    if event.replicas:
        held = board.state(State).held
        held[event.key] = known._replace(replica=event.replicas[0])
    yield actions.Reply(
        known.request_id, Answer(event.key, event.number, event.replicas)
    )


@handle.register
def _place_queued(
    event: messages.PlaceQueued, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    known = _asked(board, event, now)
    if known is not None:
        queued = Answer(event.key, event.number, None)
        yield actions.Reply(known.request_id, queued)


@handle.register
def _place_refused(
    event: messages.PlaceRefused, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    known = _asked(board, event, now)
    if known is not None:
        del board.state(State).held[event.key]
        after_s = event.after_s if math.isfinite(event.after_s) else 0.0
        refused = Answer(event.key, event.number, None, max(0.0, after_s))
        yield actions.Reply(known.request_id, refused)


@handle.register
def _place_used(
    event: PlaceUsed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = state.held.get(event.key)
    if not state.is_shared or (
        known is not None and known.replica == event.replica
    ):
        return
    pool = (event.service, event.stage)
    state.held[event.key] = Held(
        "", pool, event.replica, event.tokens, event.organisation, now
    )
    yield from _report(board, pool, [event.key], now)


@handle.register
def _place_ended(
    event: PlaceEnded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    known = board.state(State).held.pop(event.key, None)
    if known is None:
        return
    service, stage = known.pool
    freed = messages.PlaceFreed(
        **board.sender_fields,
        key=event.key,
        service=service,
        stage=stage.value,
        succeeded=event.succeeded,
    )
    yield actions.Send(giver(board, known.pool), freed)


@handle.register
def _place_unanswered(
    event: PlaceUnanswered, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    host = giver(board, (event.service, event.stage))
    silent = board.state(State).silent
    known = silent.get(host)
    # Those that asked before the pause are no news.
    if known is None or known.until <= now:
        last_s = 0.0 if known is None else known.pause_s
        pause_s = min(max(SILENT_S, 2 * last_s), MAX_SILENT_S)
        silent[host] = Silence(now + pause_s, pause_s)
    yield actions.Count("placement_fallbacks")


def _report(
    board: boards.Board, pool: PoolKey, keys: Iterable[str], now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    service, stage = pool
    places = [
        messages.HeldPlace(
            key, each.replica, each.tokens, each.organisation, now - each.since
        )
        for key in keys
        if (each := state.held[key]).replica
    ]
    if places:
        held = messages.PlacesHeld(
            **board.sender_fields,
            service=service,
            stage=stage.value,
            places=places,
        )
        yield actions.Send(giver(board, pool), held)


# The host that gives the places


def _pool(
    board: boards.Board, pool: PoolKey, now: float
) -> pool_placement.Pool:
    """Returns the pool with its replicas as they are now."""
    state = board.state(State)
    service, stage = pool
    found = state.pools.get(pool)
    if found is None:
        found = pool_placement.Pool(stage, board.rng)
        state.pools[pool] = found
    listed = board.state(instances.State)
    memory_tokens = _memory_tokens(board, service)
    found.replicas = tuple(
        pool_placement.Replica(
            each.id,
            replica_pace.places(board, each, now),
            memory_tokens,
            replica_pace.pace(board, each, now),
        )
        for each in instances.usable(listed, service, now, stage)
    )
    return found


def _memory_tokens(board: boards.Board, service: str) -> float:
    deployment = active_deployment.current(board)
    known = None if deployment is None else deployment.services.get(service)
    if known is None or known.engine is None:
        return math.inf
    return known.engine.memory_tokens


def _stage(name: str) -> instances.Stage | None:
    """Returns the stage of a message, ``None`` if a later build named it."""
    try:
        return instances.Stage(name)
    except ValueError:
        return None


@handle.register
def _place_asked(
    event: messages.PlaceAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    stage = _stage(event.stage)
    if stage is None:
        return
    key = (event.service, stage)
    pool = _pool(board, key, now)
    wanted = [
        each.id for each in pool.replicas if each.id not in event.exclude
    ]
    if not wanted:
        given = messages.PlaceGiven(
            **board.sender_fields,
            key=event.key,
            number=event.number,
            replicas=(),
        )
        yield actions.Send(event.sender, given)
        return
    wait_s = event.wait_s if math.isfinite(event.wait_s) else 0.0
    asked = pool_queue.Waiting(
        event.key,
        event.sender,
        event.number,
        max(0, event.tokens),
        event.priority,
        event.organisation,
        now,
        now + wait_s,
        event.exclude,
    )
    decisions = pool.ask(asked, event.refused, event.full, now)
    yield from _answer(board, key, decisions, now)


@handle.register
def _place_freed(
    event: messages.PlaceFreed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    stage = _stage(event.stage)
    key = (event.service, stage)
    if stage is None or key not in board.state(State).pools:
        return
    pool = _pool(board, key, now)
    decisions = pool.free(event.key, event.succeeded, now)
    yield from _answer(board, key, decisions, now)


@handle.register
def _places_held(
    event: messages.PlacesHeld, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    stage = _stage(event.stage)
    if stage is None:
        return
    key = (event.service, stage)
    pool = _pool(board, key, now)
    for each in event.places:
        age_s = each.age_s if math.isfinite(each.age_s) else 0.0
        place = pool_load.Place(
            each.replica,
            max(0, each.tokens),
            each.organisation,
            now - max(0.0, age_s),
            now,
        )
        yield from _answer(board, key, pool.confirm(each.key, place), now)


def _answer(
    board: boards.Board,
    key: PoolKey,
    decisions: Iterable[pool_placement.Decision],
    now: float,
) -> Iterable[actions.Action]:
    for each in decisions:
        waiting = each.waiting
        fields = {
            **board.sender_fields,
            "key": waiting.key,
            "number": waiting.number,
        }
        message: messages.Message
        if isinstance(each, pool_placement.Given):
            yield actions.Count("places_given")
            message = messages.PlaceGiven(**fields, replicas=(each.replica,))
        elif isinstance(each, pool_placement.Queued):
            yield actions.Count("places_queued")
            message = messages.PlaceQueued(**fields)
        else:
            yield actions.Count("places_refused")
            yield from _log(board, key, each, now)
            message = messages.PlaceRefused(**fields, after_s=each.after_s)
        yield actions.Send(waiting.host, message)


def _log(
    board: boards.Board,
    key: PoolKey,
    refused: pool_placement.Refused,
    now: float,
) -> Iterable[actions.Action]:
    """Logs a refusal and what the pool held, for each pool once a second."""
    state = board.state(State)
    if now - state.logged_at.get(key, -math.inf) < LOG_PERIOD_S:
        return
    state.logged_at[key] = now
    fields = {
        **describe(state.pools[key]),
        "service": key[0],
        "stage": key[1].value,
        "wanted": refused.waiting.tokens,
        "waited_ms": round((now - refused.waiting.asked_at) * 1000),
        "after_ms": round(refused.after_s * 1000),
    }
    yield actions.Log("place_refused", fields)


def describe(pool: pool_placement.Pool) -> dict[str, Any]:
    """Returns what a pool holds, for logs and the status."""
    return {
        "waiting": len(pool.queue.waiting),
        "given": pool.given,
        "refused": pool.refused,
        "held": {
            each.id: (pool.load.requests(each.id), pool.load.tokens(each.id))
            for each in pool.replicas
        },
    }


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if not state.is_shared:
        return
    if now >= state.next_report:
        state.next_report = now + REPORT_S
        _prune(board, now)
        by_pool: dict[PoolKey, list[str]] = {}
        for key, each in state.held.items():
            by_pool.setdefault(each.pool, []).append(key)
        for pool, keys in by_pool.items():
            yield from _report(board, pool, keys, now)
    for key in list(state.pools):
        if state.pools[key].is_idle and giver(board, key) != (
            board.identity.host
        ):
            del state.pools[key]
            continue
        decisions = _pool(board, key, now).tick(now)
        yield from _answer(board, key, decisions, now)


def _prune(board: boards.Board, now: float) -> None:
    """Forgets the silence of hosts that left, and when old logs were."""
    state = board.state(State)
    if state.silent:
        live = {each.host for each in membership.live_members(board)}
        for host in state.silent.keys() - live:
            if state.silent[host].until <= now:
                del state.silent[host]
    for key, at in list(state.logged_at.items()):
        if now - at >= LOG_PERIOD_S:
            del state.logged_at[key]
