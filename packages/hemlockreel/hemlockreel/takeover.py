"""What a new owner does about requests that an earlier owner granted.

It lists what the engines of the shard run, asks all entries which of it they
hold, adopts what is claimed and cancels what nobody claims. The same is done
now and then, so that nothing stays at an engine for ever whatever went wrong.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import absence
from . import actions
from . import board as boards
from . import cancels
from . import decisions
from . import engine_polling
from . import events
from . import grants
from . import hosts
from . import leases
from . import membership
from . import messages
from . import precedence
from . import replicas
from . import shards

SETTLE_S = 2.0  # a new daemon first learns who the members are
RELIST_S = 10.0
RETRY_S = 0.5  # after an engine did not answer
DISPUTE_S = 1.0  # until an engine is listed again whose owner is in doubt
GRACE_S = 1.0  # time for entries to claim their requests
QUERY_REQUESTS = 100  # requests named in one message

Orphan = tuple[str, str]  # the address of the engine and the request


class Query:
    """Orphans that entries were asked about, and who has yet to answer."""

    def __init__(self, orphans: set[Orphan], waits: set[str], due: float):
        self.orphans = orphans
        self.waits = waits
        self.due = due


class State:
    """The owned shards, when their replicas are listed, and open queries."""

    def __init__(self):
        self.started_at: float | None = None
        self.isolated = False
        self.owned: set[str] = set()
        self.next_list: dict[str, float] = {}
        self.queries: dict[int, Query] = {}
        self.seq = 0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of a takeover; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    if _was_away(board):
        # Another owner may have taken over in the meantime.
        state.owned = set()
        state.queries.clear()
    if now < state.started_at + SETTLE_S:
        return
    owned = engine_polling.owned_model_shards(board)
    for shard in state.owned - set(owned):
        yield from _hand_over(board, shard)
    yield from _list(board, owned, now)
    yield from _recheck(board, now)
    state.owned = set(owned)
    for seq in list(state.queries):
        yield from _conclude(board, seq, now)


def _was_away(board: boards.Board) -> bool:
    """Returns whether this daemon was paused or cut off until now."""
    state = board.state(State)
    isolated = membership.isolated(board)
    returned = state.isolated and not isolated
    state.isolated = isolated
    return returned or absence.paused_s(board) > 0


def _hand_over(board: boards.Board, shard: str) -> Iterable[actions.Action]:
    """Sends the asks that wait for a shard to its new owner."""
    state = board.state(grants.State)
    for key, waiting in list(state.waiting.items()):
        if waiting.shard != shard:
            continue
        del state.waiting[key]
        state.ledgers[shard].withdraw(*key)
        elsewhere = messages.AskElsewhere(
            **board.signature,
            request_id=key[0],
            attempt=key[1],
        )
        yield actions.Send(waiting.ask.sender, elsewhere)


def _list(
    board: boards.Board, owned: dict[str, shards.Members], now: float
) -> Iterable[actions.Action]:
    """Asks engines what they run, at once where the shard is new here."""
    state = board.state(State)
    due = {}
    for shard, members in owned.items():
        for replica in members:
            if replica.role is replicas.Role.PLAIN:
                continue
            address = replica.address
            new = shard not in state.owned
            at = now if new else state.next_list.get(address, now)
            due[address] = at
            if at <= now:
                due[address] = now + RELIST_S * board.rng.uniform(0.8, 1.2)
                yield actions.CallEngine("requests", address, "requests")
    state.next_list = due


def _recheck(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Lists the engines again that did not confirm a cancel in time.

    Those of shards that are owned elsewhere are the new owner's to free.
    """
    state = board.state(State)
    for key in cancels.stale(board, now):
        address = key[0]
        if address in state.next_list:
            soon = now + RETRY_S
            state.next_list[address] = min(state.next_list[address], soon)
        else:
            yield from _close(board, key, now)


def _close(
    board: boards.Board, key: Orphan, now: float
) -> Iterable[actions.Action]:
    for grant_id in cancels.close(board, key):
        yield from grants.free(board, grant_id, now)


@handle.register
def _listed(
    event: events.EngineAnswered, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.operation != "requests":
        return
    state = board.state(State)
    if event.address not in state.next_list:
        return
    if event.status != 200:
        state.next_list[event.address] = now + RETRY_S
        return
    running = {found["request_id"] for found in event.body["requests"]}
    for key in cancels.stale(board, now):
        if key[0] == event.address and key[1] not in running:
            yield from _close(board, key, now)
    asked = set().union(*(query.orphans for query in state.queries.values()))
    orphans = [(event.address, request_id) for request_id in sorted(running)]
    new = [
        orphan
        for orphan in orphans
        if orphan not in asked and not _is_covered(board, orphan, now)
    ]
    for start in range(0, len(new), QUERY_REQUESTS):
        part = new[start : start + QUERY_REQUESTS]
        yield from _ask_entries(board, part, now)


def _is_covered(board: boards.Board, orphan: Orphan, now: float) -> bool:
    """Returns whether a grant or a fresh cancel stands for a request."""
    held = board.state(grants.State).leases
    return held.holds(orphan[1]) or cancels.is_fresh(board, orphan, now)


def _ask_entries(
    board: boards.Board, orphans: list[Orphan], now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.seq += 1
    waits = {member.host for member in membership.live(board)}
    state.queries[state.seq] = Query(set(orphans), waits, now + GRACE_S)
    query = messages.GrantQuery(
        **board.signature,
        seq=state.seq,
        request_ids=sorted({request_id for _, request_id in orphans}),
    )
    # Members held for dead by mistake are asked too, but not waited for.
    known = {*waits, *membership.table(board).members}
    for host in sorted(known | set(membership.table(board).entries)):
        yield actions.Send(host, query)


@handle.register
def _report(
    event: messages.GrantReport, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    held = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    revoked = []
    for claimed in event.grants:
        if held.get(claimed.grant_id) is not None:
            held.renew(entry, now)
            held.note_moves(claimed.grant_id, claimed.moves)
        elif _is_over(board, claimed.grant_id, now):
            revoked.append(claimed.grant_id)
        else:
            yield actions.Count("adopted_grants")
            yield from _adopt(board, claimed, now)
    yield from grants.tell_revoked(board, event.sender, revoked)
    query = board.state(State).queries.get(event.seq)
    if query is None:
        return
    query.waits.discard(event.sender)
    query.orphans = {
        orphan for orphan in query.orphans if orphan[1] not in event.elsewhere
    }
    yield from _conclude(board, event.seq, now)


def _is_over(board: boards.Board, grant_id: int, now: float) -> bool:
    """Returns whether a grant was taken back and its request with it.

    A stale cancel has reached no engine, so the request may run on.
    """
    held = board.state(grants.State).leases
    return held.is_revoked(grant_id) and not cancels.is_stale(
        board, grant_id, now
    )


def _adopt(
    board: boards.Board, claimed: messages.HeldGrant, now: float
) -> Iterable[actions.Action]:
    """Takes over the grant of an earlier owner.

    The ledger does not know it. It learns from the engine's load reports how
    much memory the grants of others take.
    """
    held = board.state(grants.State).leases
    request_id = claimed.ask.request_id
    for address in (claimed.replica, claimed.prefill):
        yield from _close(board, (address, request_id), now)
    held.pardon(claimed.grant_id)
    granted = decisions.Granted(
        claimed.ask, claimed.grant_id, claimed.replica, claimed.prefill
    )
    lease = leases.Held(claimed.ask.shard, granted, claimed.moves)
    held.add(claimed.grant_id, lease, now)


def _conclude(
    board: boards.Board, seq: int, now: float
) -> Iterable[actions.Action]:
    """Cancels the orphans of a query when no more claims can come."""
    state = board.state(State)
    query = state.queries[seq]
    waits = {host for host in query.waits if _may_answer(board, host)}
    if waits and now < query.due:
        return
    del state.queries[seq]
    deaf = membership.isolated(board) or absence.settling(board, now)
    unheard = bool(waits) and deaf
    for address, request_id in sorted(query.orphans):
        if _is_covered(board, (address, request_id), now):
            continue
        if unheard:
            # The entry that holds it may be on the other side of a cut.
            state.next_list[address] = now + RETRY_S
            continue
        yield actions.Count("orphans")
        yield from cancels.start(board, address, request_id, None, now)


def _may_answer(board: boards.Board, host: str) -> bool:
    known = membership.find(board, host)
    return known is not None and known.state not in precedence.GONE


@handle.register
def _abandoned(
    event: messages.Abandoned, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Cancels a request that may have started after its grant had ended."""
    if board.state(grants.State).leases.holds(event.request_id):
        return
    listed = board.state(hosts.State).replicas
    for address in event.replicas:
        if address in listed:
            yield from cancels.start(
                board, address, event.request_id, None, now
            )
