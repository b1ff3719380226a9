"""The grants that this daemon has made as the owner of shards.

A decision of a ledger is recorded here as a grant with a lease and sent to
the entry. A grant that is revoked is cancelled at its engines and frees its
memory in the ledger once the engines have confirmed the cancels.
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
from . import declared_objects
from . import host_list
from . import leases
from . import ledger
from . import messages
from . import shards

# Both parts of a grant id together have 63 bits, like a heartbeat's digest.
# With 590 daemons and 390 starts a day, two live runs have the same run id
# once in 400 years. At 32 grants a second the sequence number overflows into
# the run id after 97 days. A grant then looks like that of another run, which
# costs one unnecessary query per grant.
RUN_ID_BITS = 35
SEQUENCE_BITS = 28

ShardLedger = ledger.Ledger | call_ledger.CallLedger


class WaitingRequest(NamedTuple):
    """A queued admission request.

    It is dropped at ``expires_at`` unless the entry has resent it by then.
    """

    shard: str
    request: messages.AdmissionRequest
    expires_at: float


class State:
    """The ledgers by shard, the leases and the queued admission requests.

    ``waiting`` is keyed by request id and attempt. ``grant_count`` counts the
    grants that this run has made.
    """

    def __init__(self):
        self.ledgers: dict[str, ShardLedger] = {}
        self.leases = leases.Leases()
        self.waiting: dict[tuple[str, int], WaitingRequest] = {}
        self.grant_count = 0


def new_grant_id(board: boards.Board) -> int:
    """Returns a grant id that is unique among all runs of all daemons.

    Its upper bits are a hash of the host and the epoch; the epoch alone would
    not do, since daemons that start at the same moment have the same one. Its
    lower bits are a sequence number.
    """
    state = board.state(State)
    state.grant_count += 1
    return (_run_id(board) << SEQUENCE_BITS) + state.grant_count


def was_issued_here(board: boards.Board, grant_id: int) -> bool:
    """Returns whether this run of this daemon has made the grant."""
    return grant_id >> SEQUENCE_BITS == _run_id(board)


def _run_id(board: boards.Board) -> int:
    """Returns the upper bits of all grant ids of this run."""
    identity = board.identity
    run = f"{identity.host}/{identity.epoch}".encode()
    return xxhash.xxh64_intdigest(run) >> (64 - RUN_ID_BITS)


def is_idle(board: boards.Board) -> bool:
    """Returns whether there are no grants, queued requests or open cancels."""
    state = board.state(State)
    pending = board.state(cancels.State).pending
    return not (len(state.leases) or state.waiting or pending)


# Ledgers


def open_ledger(board: boards.Board, shard: str) -> ShardLedger | None:
    """Returns the ledger of ``shard`` with its present pool and replicas.

    Creates the ledger if there is none. Returns ``None`` if the shard has no
    replicas or no configuration is known yet.
    """
    state = board.state(State)
    service = shards.service_of(shard)
    members = shards.get(board, service).get(shard)
    found = configuration.current(board)
    if not members or found is None:
        return None
    shard_ledger = state.ledgers.get(shard)
    pool = _pool_of(found, service)
    if shard_ledger is None:
        if pool is not None:
            shard_ledger = ledger.Ledger(pool)
        else:
            shard_ledger = call_ledger.CallLedger(
                _max_in_flight(found, service)
            )
        state.ledgers[shard] = shard_ledger
    if pool is not None and isinstance(shard_ledger, ledger.Ledger):
        shard_ledger.set_pool(pool)
    shard_ledger.set_replicas(members)
    return shard_ledger


def drop_unused_ledgers(board: boards.Board) -> None:
    """Removes the ledgers of shards that are gone and have nothing in use."""
    state = board.state(State)
    busy = {waiting.shard for waiting in state.waiting.values()}
    for shard, shard_ledger in list(state.ledgers.items()):
        listed = shards.get(board, shards.service_of(shard))
        if (
            shard not in listed
            and shard not in busy
            and not shard_ledger.reservations
        ):
            del state.ledgers[shard]


def _pool_of(
    found: configuration.Configuration, service: str
) -> declared_objects.ModelPool | None:
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
    return min(limits, default=declared_objects.Route.max_in_flight)


# Decisions


def deliver_decision(
    board: boards.Board, shard: str, decision: decisions.Decision, now: float
) -> Iterable[actions.Action]:
    """Records ``decision`` and sends it to the entry of the request."""
    state = board.state(State)
    request = decision.request
    state.waiting.pop((request.request_id, request.attempt), None)
    if isinstance(decision, decisions.Granted):
        held = leases.LeasedGrant(shard, decision)
        state.leases.add(decision.grant_id, held, now)
        yield actions.Count("grants")
        yield grant_message(board, decision, now)
    else:
        yield actions.Count("denials", 1, (decision.reason.value,))
        yield _refusal_message(board, decision)
    if request.traceparent:
        fields = {"request_id": request.request_id, "shard": shard}
        yield actions.Span("decision", request.traceparent, now, now, fields)


def process_queue(
    board: boards.Board, shard: str, now: float
) -> Iterable[actions.Action]:
    """Delivers the ledger's decisions on queued requests of ``shard``."""
    shard_ledger = board.state(State).ledgers.get(shard)
    for decision in () if shard_ledger is None else shard_ledger.decide(now):
        yield from deliver_decision(board, shard, decision, now)


def grant_message(
    board: boards.Board, decision: decisions.Granted, now: float
) -> actions.Send:
    """Returns the grant message of ``decision`` to its entry."""
    grant = messages.Grant(
        **board.sender_fields,
        request_id=decision.request.request_id,
        attempt=decision.request.attempt,
        grant_id=decision.grant_id,
        replica=decision.replica,
        prefill=decision.prefill,
        list_age_s=host_list.reading_age_s(board, now),
    )
    return actions.Send(decision.request.sender, grant)


def _refusal_message(
    board: boards.Board, denied: decisions.Denied
) -> actions.Send:
    refusal = messages.Refusal(
        **board.sender_fields,
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
    """Frees the grant of a request that no backend server runs any more."""
    state = board.state(State)
    held = state.leases.free(grant_id)
    if held is None:
        return
    shard_ledger = state.ledgers.get(held.shard)
    if shard_ledger is not None:
        shard_ledger.release(grant_id, now)
        yield from process_queue(board, held.shard, now)


def revoke(
    board: boards.Board, grant_id: int, now: float
) -> Iterable[actions.Action]:
    """Revokes a grant and cancels its request at the engines.

    Its memory is freed once the engines have confirmed the cancels. The grant
    of a plain call has no engine and is freed at once.
    """
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


def send_revoked(
    board: boards.Board, entry: str, grant_ids: list[int]
) -> Iterable[actions.Action]:
    """Reports to an entry that ``grant_ids`` are revoked, if there are any."""
    if not grant_ids:
        return
    revoked = messages.Revoked(**board.sender_fields, grant_ids=grant_ids)
    yield actions.Send(entry, revoked)
