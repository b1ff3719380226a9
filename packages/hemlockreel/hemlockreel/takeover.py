"""The takeover of a shard's running requests by a new owner.

A new owner lists the requests that the shard's engines run. For those without
a grant here, the orphans, it queries all entries; it adopts the grants that
the entries report and cancels the other requests. It repeats this
periodically, so that no request stays at an engine for ever after a fault.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import cancels
from . import decisions
from . import engine_polling
from . import events
from . import grants
from . import host_list
from . import leases
from . import membership
from . import messages
from . import precedence
from . import process_pauses
from . import replicas
from . import shards

STARTUP_WAIT_S = 2.0  # for a new daemon to receive the list of members
LIST_INTERVAL_S = 10.0
RETRY_S = 0.5  # until an engine is listed again after a failed call
# Until an engine is listed again if it is not clear which daemon owns it.
DISPUTED_RELIST_S = 1.0
QUERY_TIMEOUT_S = 1.0  # for entries to report the grants of their requests
MAX_QUERY_REQUESTS = 100  # in one message

# The address of an engine and the id of a request that runs there and for
# which this owner has no grant.
Orphan = tuple[str, str]


class Query:
    """A query about orphans, and the hosts that have yet to respond."""

    def __init__(
        self, orphans: set[Orphan], pending: set[str], deadline: float
    ):
        self.orphans = orphans
        self.pending_hosts = pending
        self.deadline = deadline


class State:
    """The owned shards and the open queries.

    ``next_list_at`` is the time of the next call that lists the requests of
    each engine, by address.
    """

    def __init__(self):
        self.started_at: float | None = None
        self.was_isolated = False
        self.owned: set[str] = set()
        self.next_list_at: dict[str, float] = {}
        self.queries: dict[int, Query] = {}
        self.seq = 0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Returns the actions of a takeover for ``event``.

    There are none for events that are not registered below.
    """
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    if _was_paused_or_isolated(board):
        # Another owner may have taken the shards over in the meantime, so
        # they are treated as new here.
        state.owned = set()
        state.queries.clear()
    if now < state.started_at + STARTUP_WAIT_S:
        return
    owned = engine_polling.owned_model_shards(board)
    for shard in state.owned - set(owned):
        yield from _return_waiting_requests(board, shard)
    yield from _list_engines(board, owned, now)
    yield from _relist_stale_cancels(board, now)
    state.owned = set(owned)
    for seq in list(state.queries):
        yield from _finish_query(board, seq, now)


def _was_paused_or_isolated(board: boards.Board) -> bool:
    """Returns whether this daemon was paused or isolated until just now."""
    state = board.state(State)
    isolated = membership.is_isolated(board)
    returned = state.was_isolated and not isolated
    state.was_isolated = isolated
    return returned or process_pauses.ended_pause_s(board) > 0


def _return_waiting_requests(
    board: boards.Board, shard: str
) -> Iterable[actions.Action]:
    """Returns the queued requests of a shard to their entries.

    Each entry then sends its request to the shard's new owner.
    """
    state = board.state(grants.State)
    for key, waiting in list(state.waiting.items()):
        if waiting.shard != shard:
            continue
        del state.waiting[key]
        state.ledgers[shard].withdraw(*key)
        not_owner = messages.NotOwner(
            **board.sender_fields, request_id=key[0], attempt=key[1]
        )
        yield actions.Send(waiting.request.sender, not_owner)


def _list_engines(
    board: boards.Board, owned: dict[str, shards.Members], now: float
) -> Iterable[actions.Action]:
    """Lists the requests of each engine that is due.

    The engines of a shard that is newly owned are due at once.
    """
    state = board.state(State)
    list_times = {}
    for shard, members in owned.items():
        for replica in members:
            if replica.role is replicas.Role.PLAIN:
                continue
            address = replica.address
            new = shard not in state.owned
            at = now if new else state.next_list_at.get(address, now)
            list_times[address] = at
            if at <= now:
                list_times[address] = (
                    now + LIST_INTERVAL_S * board.rng.uniform(0.8, 1.2)
                )
                yield actions.CallEngine("requests", address, "requests")
    state.next_list_at = list_times


def _relist_stale_cancels(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Lists the engines again that have not confirmed a cancel in time.

    A stale cancel at an engine of another owner is closed, since freeing the
    request there is up to that owner.
    """
    state = board.state(State)
    for key in cancels.stale_keys(board, now):
        address = key[0]
        if address in state.next_list_at:
            soon = now + RETRY_S
            state.next_list_at[address] = min(
                state.next_list_at[address], soon
            )
        else:
            yield from _close_cancel(board, key, now)


def _close_cancel(
    board: boards.Board, key: Orphan, now: float
) -> Iterable[actions.Action]:
    for grant_id in cancels.close(board, key):
        yield from grants.free(board, grant_id, now)


@handle.register
def _requests_listed(
    event: events.EngineResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Closes stale cancels of ended requests and queries new orphans."""
    if event.operation != "requests":
        return
    state = board.state(State)
    if event.address not in state.next_list_at:
        return
    if event.status != 200:
        state.next_list_at[event.address] = now + RETRY_S
        return
    running = {found["request_id"] for found in event.body["requests"]}
    for key in cancels.stale_keys(board, now):
        if key[0] == event.address and key[1] not in running:
            yield from _close_cancel(board, key, now)
    queried = set().union(*(query.orphans for query in state.queries.values()))
    orphans = [(event.address, request_id) for request_id in sorted(running)]
    new = [
        orphan
        for orphan in orphans
        if orphan not in queried and not _is_accounted_for(board, orphan, now)
    ]
    for start in range(0, len(new), MAX_QUERY_REQUESTS):
        batch = new[start : start + MAX_QUERY_REQUESTS]
        yield from _query_entries(board, batch, now)


def _is_accounted_for(board: boards.Board, orphan: Orphan, now: float) -> bool:
    """Returns whether a request has a grant or an active cancel here."""
    all_leases = board.state(grants.State).leases
    return all_leases.holds_request(orphan[1]) or cancels.is_active(
        board, orphan, now
    )


def _query_entries(
    board: boards.Board, orphans: list[Orphan], now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.seq += 1
    pending = {member.host for member in membership.live_members(board)}
    state.queries[state.seq] = Query(
        set(orphans), pending, now + QUERY_TIMEOUT_S
    )
    query = messages.GrantQuery(
        **board.sender_fields,
        seq=state.seq,
        request_ids=sorted({request_id for _, request_id in orphans}),
    )
    # Members that are not live are queried too, since they may be considered
    # dead by mistake, but their responses are not waited for.
    known = {*pending, *membership.table(board).members}
    for host in sorted(known | set(membership.table(board).entries)):
        yield actions.Send(host, query)


@handle.register
def _grants_reported(
    event: messages.GrantReport, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Adopts the reported grants, except those that were revoked here.

    The requests that the entry holds from another owner are orphans no longer.
    """
    all_leases = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    revoked = []
    for reported in event.grants:
        if all_leases.get(reported.grant_id) is not None:
            all_leases.renew(entry, now)
            all_leases.raise_move_count(reported.grant_id, reported.moves)
        elif _is_finally_revoked(board, reported.grant_id, now):
            revoked.append(reported.grant_id)
        else:
            yield actions.Count("adopted_grants")
            yield from _adopt(board, reported, now)
    yield from grants.send_revoked(board, event.sender, revoked)
    query = board.state(State).queries.get(event.seq)
    if query is None:
        return
    query.pending_hosts.discard(event.sender)
    query.orphans = {
        orphan for orphan in query.orphans if orphan[1] not in event.elsewhere
    }
    yield from _finish_query(board, event.seq, now)


def _is_finally_revoked(
    board: boards.Board, grant_id: int, now: float
) -> bool:
    """Returns whether a grant was revoked and its request cancelled.

    A grant with only stale cancels doesn't count: none of the engines has
    confirmed one, so the request may still run.
    """
    all_leases = board.state(grants.State).leases
    return all_leases.is_revoked(
        grant_id
    ) and not cancels.has_only_stale_cancels(board, grant_id, now)


def _adopt(
    board: boards.Board, reported: messages.HeldGrant, now: float
) -> Iterable[actions.Action]:
    """Adds the grant of an earlier owner to the leases.

    It is not entered in the ledger, which takes the memory in use by other
    owners' grants from the load reports of the engines.
    """
    all_leases = board.state(grants.State).leases
    request_id = reported.request.request_id
    for address in (reported.replica, reported.prefill):
        yield from _close_cancel(board, (address, request_id), now)
    all_leases.clear_revoked(reported.grant_id)
    granted = decisions.Granted(
        reported.request, reported.grant_id, reported.replica, reported.prefill
    )
    lease = leases.LeasedGrant(reported.request.shard, granted, reported.moves)
    all_leases.add(reported.grant_id, lease, now)


def _finish_query(
    board: boards.Board, seq: int, now: float
) -> Iterable[actions.Action]:
    """Cancels a query's orphans once all hosts have responded or it is due.

    If hosts have not responded and this daemon is isolated or has only just
    resumed from a pause, it does not cancel but lists the engines again.
    """
    state = board.state(State)
    query = state.queries[seq]
    pending = {
        host for host in query.pending_hosts if _may_respond(board, host)
    }
    if pending and now < query.deadline:
        return
    del state.queries[seq]
    may_miss_reports = membership.is_isolated(
        board
    ) or process_pauses.is_reconnecting(board, now)
    is_undecided = bool(pending) and may_miss_reports
    for address, request_id in sorted(query.orphans):
        if _is_accounted_for(board, (address, request_id), now):
            continue
        if is_undecided:
            # Its entry may be on the other side of a network partition.
            state.next_list_at[address] = now + DISPUTED_RELIST_S
            continue
        yield actions.Count("orphans")
        fields = {
            "request_id": request_id,
            "replica": address,
            "silent_hosts": sorted(pending),
        }
        yield actions.Log("orphan_cancelled", fields)
        yield from cancels.start(board, address, request_id, None, now)


def _may_respond(board: boards.Board, host: str) -> bool:
    known = membership.find_member(board, host)
    return known is not None and known.state not in precedence.GONE


@handle.register
def _request_abandoned(
    event: messages.Abandoned, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Cancels a request that may have started after its grant was revoked."""
    if board.state(grants.State).leases.holds_request(event.request_id):
        return
    listed = board.state(host_list.State).replicas
    for address in event.replicas:
        if address in listed:
            yield from cancels.start(
                board, address, event.request_id, None, now
            )
