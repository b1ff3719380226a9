"""The grants of this daemon as the owner of shards.

Here a decision of a ledger becomes a grant with a lease, and a grant that is
taken back becomes cancels and, once they are confirmed, free memory.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from . import actions
from . import board as boards
from . import call_ledger
from . import cancels
from . import configuration
from . import decisions
from . import hosts
from . import leases
from . import ledger
from . import messages
from . import objects
from . import shards

# Both parts of a grant id fit into 63 bits, as the digest of a heartbeat does.
# With 590 daemons and 390 starts a day, two live runs share an origin once in
# 400 years; at 32 grants a second the count lasts for 97 days, and then runs
# into the origin of another run, which costs one needless question a grant.
ORIGIN_BITS = 35
COUNT_BITS = 28

Book = ledger.Ledger | call_ledger.CallLedger


class Waiting(NamedTuple):
    """An ask in a queue, and when it lapses unless it is repeated."""

    shard: str
    ask: messages.Ask
    lapses_at: float


class State:
    """The ledgers, grants and waiting asks of this owner."""

    def __init__(self):
        self.ledgers: dict[str, Book] = {}
        self.leases = leases.Leases()
        self.waiting: dict[tuple[str, int], Waiting] = {}
        self.granted = 0


def new_id(board: boards.Board) -> int:
    """Returns a grant id that no other run of any daemon gives.

    Its upper bits stand for the host and the epoch, since daemons that start
    at the same moment have the same epoch. Its lower bits count the grants.
    """
    state = board.state(State)
    state.granted += 1
    return (_origin(board) << COUNT_BITS) + state.granted


def gave(board: boards.Board, grant_id: int) -> bool:
    """Returns whether this run of this daemon gave a grant."""
    return grant_id >> COUNT_BITS == _origin(board)


def _origin(board: boards.Board) -> int:
    """Returns the part of a grant id that stands for this run."""
    identity = board.identity
    run = f"{identity.host}/{identity.epoch}".encode()
    return xxhash.xxh64_intdigest(run) >> (64 - ORIGIN_BITS)


def is_idle(board: boards.Board) -> bool:
    """Returns whether this owner holds nothing for anybody."""
    state = board.state(State)
    pending = board.state(cancels.State).pending
    return not (len(state.leases) or state.waiting or pending)


# Ledgers


def open_ledger(board: boards.Board, shard: str) -> Book | None:
    """Returns the ledger of ``shard``, brought up to date.

    ``None`` when the shard has no replica or no configuration.
    """
    state = board.state(State)
    service = shards.service_of(shard)
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


def drop_unused_ledgers(board: boards.Board) -> None:
    """Forgets the ledgers of shards that exist no more and hold nothing."""
    state = board.state(State)
    busy = {waiting.shard for waiting in state.waiting.values()}
    for shard, book in list(state.ledgers.items()):
        listed = shards.get(board, shards.service_of(shard))
        if shard not in listed and shard not in busy and not book.reservations:
            del state.ledgers[shard]


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


# Decisions


def announce(
    board: boards.Board, shard: str, decision: decisions.Decision, now: float
) -> Iterable[actions.Action]:
    """Records ``decision`` and tells it to the entry that asked."""
    state = board.state(State)
    ask = decision.request
    state.waiting.pop((ask.request_id, ask.attempt), None)
    if isinstance(decision, decisions.Granted):
        held = leases.Held(shard, decision)
        state.leases.add(decision.grant_id, held, now)
        yield actions.Count("grants")
        yield grant_message(board, decision, now)
    else:
        yield actions.Count("denials", 1, (decision.reason.value,))
        yield _refusal(board, decision)
    if ask.traceparent:
        fields = {"request_id": ask.request_id, "shard": shard}
        yield actions.Span("decision", ask.traceparent, now, now, fields)


def decide(
    board: boards.Board, shard: str, now: float
) -> Iterable[actions.Action]:
    """Announces what the ledger of ``shard`` decides about waiting asks."""
    book = board.state(State).ledgers.get(shard)
    for decision in () if book is None else book.decide(now):
        yield from announce(board, shard, decision, now)


def grant_message(
    board: boards.Board, decision: decisions.Granted, now: float
) -> actions.Send:
    """Returns the message that tells an entry its grant."""
    grant = messages.Grant(
        **board.signature,
        request_id=decision.request.request_id,
        attempt=decision.request.attempt,
        grant_id=decision.grant_id,
        replica=decision.replica,
        prefill=decision.prefill,
        list_age_s=hosts.age(board, now),
    )
    return actions.Send(decision.request.sender, grant)


def _refusal(board: boards.Board, denied: decisions.Denied) -> actions.Send:
    refusal = messages.Refusal(
        **board.signature,
        request_id=denied.request.request_id,
        attempt=denied.request.attempt,
        reason=denied.reason.value,
        retry_after_s=denied.retry_after_s,
    )
    return actions.Send(denied.request.sender, refusal)


# The end of a grant


def free(
    board: boards.Board, grant_id: int, now: float
) -> Iterable[actions.Action]:
    """Frees a grant whose request the backend server no longer holds."""
    state = board.state(State)
    held = state.leases.free(grant_id)
    if held is None:
        return
    book = state.ledgers.get(held.shard)
    if book is not None:
        book.release(grant_id, now)
        yield from decide(board, held.shard, now)


def revoke(
    board: boards.Board, grant_id: int, now: float
) -> Iterable[actions.Action]:
    """Takes a grant back: cancels its request, then frees its memory."""
    held = board.state(State).leases.revoke(grant_id, now)
    if held is None:
        return
    decision = held.decision
    if not decision.prefill:
        yield from free(board, grant_id, now)
        return
    request_id = decision.request.request_id
    for address in (decision.replica, decision.prefill):
        yield from cancels.start(board, address, request_id, grant_id, now)


def tell_revoked(
    board: boards.Board, entry: str, grant_ids: list[int]
) -> Iterable[actions.Action]:
    """Tells an entry that it does not hold ``grant_ids``."""
    if not grant_ids:
        return
    revoked = messages.Revoked(
        **board.signature,
        grant_ids=grant_ids,
    )
    yield actions.Send(entry, revoked)
