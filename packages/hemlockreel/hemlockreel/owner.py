"""The owner of a shard: answers asks and keeps the grants it gave.

Ownership is soft. Two daemons may both believe for a second that they own a
shard; engines refuse what does not fit, and nothing is lost.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards
from . import call_ledger
from . import cancels
from . import configuration
from . import decisions
from . import events
from . import hosts
from . import ledger
from . import messages
from . import objects
from . import outcomes
from . import shards

LEASE_S = 2.5  # a grant lapses this long after its entry's last heartbeat
LOAD_PERIOD_S = 0.5
RETRY_AFTER_S = 1.0


class Held(NamedTuple):
    """A grant that this daemon gave, and when its lease lapses."""

    shard: str
    decision: decisions.Granted
    lease_until: float


class Waiting(NamedTuple):
    """An ask in a queue, and when it lapses unless it is repeated."""

    shard: str
    ask: messages.Ask
    lapses_at: float


class State:
    """The ledgers, grants and waiting asks of this owner."""

    def __init__(self):
        self.ledgers: dict[str, ledger.Ledger | call_ledger.CallLedger] = {}
        self.held: dict[int, Held] = {}
        self.by_request: dict[tuple[str, int], int] = {}
        self.waiting: dict[tuple[str, int], Waiting] = {}
        self.granted = 0
        self.next_load = 0.0


def grants_of(state: State, entry: str, epoch: int) -> list[int]:
    """Returns the grants that the run ``epoch`` of ``entry`` holds."""
    return [
        grant_id
        for grant_id, held in state.held.items()
        if held.decision.ask.sender == entry
        and held.decision.ask.epoch == epoch
    ]


def digest(grant_ids: Iterable[int]) -> int:
    """Returns a number of 63 bits that stands for a set of grants."""
    total = 0
    for grant_id in grant_ids:
        total ^= (grant_id * 0x9E3779B97F4A7C15) & (2**63 - 1)
    return total


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of a shard's owner; all others yield nothing."""
    return ()


# Asks


@handle.register
def _ask(
    event: messages.Ask, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    key = (event.request_id, event.attempt)
    grant_id = state.by_request.get(key)
    if grant_id is not None:
        yield _grant_message(board, state.held[grant_id].decision, now)
        return
    waiting = state.waiting.get(key)
    if waiting is not None:
        state.waiting[key] = waiting._replace(lapses_at=now + LEASE_S)
        yield _queued(board, event)
        return
    book = _open(board, event.shard, now)
    if book is None:
        reason = outcomes.Reason.NO_BACKEND
        denied = decisions.Denied(event, reason, RETRY_AFTER_S)
        yield from _announce(board, event.shard, denied, now)
        return
    state.granted += 1
    # The owner's epoch makes the id unique among all runs of all owners.
    grant_id = (board.identity.epoch << 32) | state.granted
    state.waiting[key] = Waiting(event.shard, event, now + LEASE_S)
    for decision in book.submit(event, grant_id, now):
        yield from _announce(board, event.shard, decision, now)
    if key in state.waiting:
        yield _queued(board, event)


@handle.register
def _withdraw(
    event: messages.Withdraw, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    key = (event.request_id, event.attempt)
    waiting = state.waiting.pop(key, None)
    if waiting is not None:
        state.ledgers[waiting.shard].withdraw(*key)
    grant_id = state.by_request.get(key)
    if grant_id is not None:
        yield from _drop(board, grant_id, now)


def _open(
    board: boards.Board, shard: str, now: float
) -> ledger.Ledger | call_ledger.CallLedger | None:
    """Returns the ledger of ``shard``, brought up to date.

    ``None`` when the shard has no replica or no configuration.
    """
    state = board.state(State)
    service = shard.partition("@")[0]
    members = shards.get(board, service).get(shard)
    found = configuration.current(board)
    if not members or found is None:
        return None
    book = state.ledgers.get(shard)
    pool = _pool_of(found, service)
    if book is None:
        if pool is not None:
            book = ledger.Ledger(pool)
        else:
            book = call_ledger.CallLedger(_max_in_flight(found, service))
        state.ledgers[shard] = book
    if pool is not None and isinstance(book, ledger.Ledger):
        book.set_pool(pool)
    book.set_replicas(members)
    return book


def _pool_of(
    found: configuration.Configuration, service: str
) -> objects.ModelPool | None:
    for pool in found.modelpools.values():
        if pool.service == service:
            return pool
    return None


def _max_in_flight(found: configuration.Configuration, service: str) -> int:
    limits = [
        route.max_in_flight
        for route in found.routes.values()
        if route.service == service
    ]
    return min(limits, default=objects.Route.max_in_flight)


def _announce(
    board: boards.Board, shard: str, decision: decisions.Decision, now: float
) -> Iterable[actions.Action]:
    """Records ``decision`` and tells it to the entry that asked."""
    state = board.state(State)
    ask = decision.ask
    key = (ask.request_id, ask.attempt)
    state.waiting.pop(key, None)
    if isinstance(decision, decisions.Granted):
        state.held[decision.grant_id] = Held(shard, decision, now + LEASE_S)
        state.by_request[key] = decision.grant_id
        yield actions.Count("grants")
        yield _grant_message(board, decision, now)
    else:
        yield actions.Count("denials", 1, (decision.reason.value,))
        refusal = messages.Refusal(
            sender=board.identity.host,
            epoch=board.identity.epoch,
            request_id=ask.request_id,
            attempt=ask.attempt,
            reason=decision.reason.value,
            retry_after_s=decision.retry_after_s,
        )
        yield actions.Send(ask.sender, refusal)
    if ask.traceparent:
        fields = {"request_id": ask.request_id, "shard": shard}
        yield actions.Span("decision", ask.traceparent, now, now, fields)


def _grant_message(
    board: boards.Board, decision: decisions.Granted, now: float
) -> actions.Send:
    grant = messages.Grant(
        sender=board.identity.host,
        epoch=board.identity.epoch,
        request_id=decision.ask.request_id,
        attempt=decision.ask.attempt,
        grant_id=decision.grant_id,
        replica=decision.replica,
        prefill=decision.prefill,
        list_age_s=hosts.age(board, now),
    )
    return actions.Send(decision.ask.sender, grant)


def _queued(board: boards.Board, ask: messages.Ask) -> actions.Send:
    queued = messages.Queued(
        sender=board.identity.host,
        epoch=board.identity.epoch,
        request_id=ask.request_id,
        attempt=ask.attempt,
    )
    return actions.Send(ask.sender, queued)


# Progress of a grant


@handle.register
def _prefilled(
    event: messages.Prefilled, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    book = _ledger_of(board, event.grant_id)
    if isinstance(book, ledger.Ledger):
        book.prefilled(event.grant_id, now)
        yield from _decide(board, now)


@handle.register
def _first_token(
    event: messages.FirstToken, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    book = _ledger_of(board, event.grant_id)
    if isinstance(book, ledger.Ledger):
        book.first_token(event.grant_id, now)
        yield from _decide(board, now)


@handle.register
def _release(
    event: messages.Release, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.clean:
        yield from _free(board, event.grant_id, now)
    else:
        yield from _drop(board, event.grant_id, now)


def _ledger_of(
    board: boards.Board, grant_id: int
) -> ledger.Ledger | call_ledger.CallLedger | None:
    state = board.state(State)
    held = state.held.get(grant_id)
    return None if held is None else state.ledgers[held.shard]


def _free(
    board: boards.Board, grant_id: int, now: float
) -> Iterable[actions.Action]:
    """Frees a grant whose request the backend server no longer holds."""
    state = board.state(State)
    held = state.held.pop(grant_id, None)
    if held is None:
        return
    ask = held.decision.ask
    state.by_request.pop((ask.request_id, ask.attempt), None)
    state.ledgers[held.shard].release(grant_id, now)
    yield from _decide(board, now)


def _drop(
    board: boards.Board, grant_id: int, now: float
) -> Iterable[actions.Action]:
    """Takes a grant back: cancels its request, then frees its memory."""
    held = board.state(State).held.get(grant_id)
    if held is None:
        return
    if not held.decision.prefill:
        yield from _free(board, grant_id, now)
        return
    request_id = held.decision.ask.request_id
    for address in (held.decision.replica, held.decision.prefill):
        yield from cancels.start(board, address, request_id, grant_id, now)


def _decide(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Announces what the ledgers decide about waiting asks."""
    for shard, book in list(board.state(State).ledgers.items()):
        for decision in book.decide(now):
            yield from _announce(board, shard, decision, now)


# Leases


@handle.register
def _heartbeat(
    event: messages.Heartbeat, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    grants = grants_of(state, event.sender, event.epoch)
    for grant_id in grants:
        held = state.held[grant_id]
        state.held[grant_id] = held._replace(lease_until=now + LEASE_S)
    if len(grants) != event.count or digest(grants) != event.digest:
        mismatch = messages.HeartbeatMismatch(
            sender=board.identity.host,
            epoch=board.identity.epoch,
            count=len(grants),
        )
        yield actions.Send(event.sender, mismatch)


@handle.register
def _grant_list(
    event: messages.GrantList, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    listed = set(event.grant_ids)
    held = set(grants_of(state, event.sender, event.epoch))
    for grant_id in held - listed:
        yield from _drop(board, grant_id, now)
    gone = sorted(listed - held)
    if gone:
        revoked = messages.Revoked(
            sender=board.identity.host,
            epoch=board.identity.epoch,
            grant_ids=gone,
        )
        yield actions.Send(event.sender, revoked)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    lapsed = [
        grant_id
        for grant_id, held in state.held.items()
        if held.lease_until < now
    ]
    for grant_id in lapsed:
        yield actions.Count("lapsed_grants")
        yield from _drop(board, grant_id, now)
    for key, waiting in list(state.waiting.items()):
        if waiting.lapses_at < now:
            del state.waiting[key]
            state.ledgers[waiting.shard].withdraw(*key)
    for shard in list(state.ledgers):
        _open(board, shard, now)
    yield from cancels.retry(board, now)
    yield from _decide(board, now)
    if now >= state.next_load:
        state.next_load = now + LOAD_PERIOD_S
        yield from _ask_load(board)


def _ask_load(board: boards.Board) -> Iterable[actions.Action]:
    """Reads the load of the replicas of all shards that are owned here."""
    found = configuration.current(board)
    if found is None:
        return
    for pool in found.modelpools.values():
        for shard, members in shards.get(board, pool.service).items():
            owners = shards.rank_owners(board, shard)
            if owners and owners[0] != board.identity.host:
                continue
            for replica in members:
                call_id = f"load/{shard}"
                yield actions.CallEngine(call_id, replica.address, "load")


@handle.register
def _engine_answered(
    event: events.EngineAnswered, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.operation == "cancel":
        for grant_id in cancels.confirm(board, event):
            yield from _free(board, grant_id, now)
        return
    if event.operation != "load" or event.status != 200:
        return
    shard = event.call_id.removeprefix("load/")
    book = board.state(State).ledgers.get(shard) or _open(board, shard, now)
    if isinstance(book, ledger.Ledger):
        book.set_load(event.address, event.body, now)
        yield from _decide(board, now)
