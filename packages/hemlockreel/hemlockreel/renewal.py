"""Renews the leases of grants by heartbeats and revokes expired grants.

Before the grants of an expired entry are revoked, a final query is sent to
it, unless it is known to be dead. The entry may have moved the grants to
another owner while this daemon was paused or unreachable; cancelling them
would then end streams that still run.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards
from . import events
from . import grants
from . import leases
from . import membership
from . import messages
from . import precedence
from . import process_pauses

FINAL_QUERY_TIMEOUT_S = 0.5  # for the entry to report its grants
FINAL_QUERY_SEQ = -1  # seq of a final query and of the report on it


class FinalQuery(NamedTuple):
    """A query to an expired entry about its grants, and when it is due."""

    deadline: float
    grant_ids: tuple[int, ...]


class State:
    """The final queries that are open, by entry.

    ``compared`` holds the grants that an entry had here when it was asked to
    list its own. One that was made since may still be on its way to the
    entry, so that the list lacks it.
    """

    def __init__(self):
        self.final_queries: dict[leases.EntryRun, FinalQuery] = {}
        self.compared: dict[leases.EntryRun, frozenset[int]] = {}


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Returns the actions of leases for ``event``.

    There are none for events that are not registered below.
    """
    return ()


@handle.register
def _heartbeat(
    event: messages.Heartbeat, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Renews the lease of an entry and checks its set of grants."""
    all_leases = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    all_leases.renew(entry, now)
    count, digest = all_leases.summary(entry)
    if (count, digest) != (event.count, event.digest):
        # Of several lists that are on their way, this is for the first one.
        board.state(State).compared.setdefault(
            entry, frozenset(all_leases.grant_ids_of(entry))
        )
        mismatch = messages.HeartbeatMismatch(
            **board.sender_fields, count=count
        )
        yield actions.Send(event.sender, mismatch)


@handle.register
def _grants_listed(
    event: messages.GrantList, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Reconciles the grants of an entry with its list.

    Grants that the entry had when it was asked and does not list are revoked.
    Listed grants that have ended here are reported to it as revoked. It is
    queried about the other unknown ones, and the grants that it then reports
    are adopted.
    """
    all_leases = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    compared = board.state(State).compared.pop(entry, frozenset())
    listed = set(event.grant_ids)
    known = set(all_leases.grant_ids_of(entry))
    for grant_id in sorted((known & compared) - listed):
        yield from grants.revoke(board, grant_id, now)
    revoked = []
    unknown = []
    for grant_id in sorted(listed - known):
        has_ended_here = grants.was_issued_here(
            board, grant_id
        ) and not all_leases.is_moved(grant_id)
        if all_leases.is_revoked(grant_id) or has_ended_here:
            revoked.append(grant_id)
        else:
            unknown.append(grant_id)
    yield from grants.send_revoked(board, event.sender, revoked)
    if unknown:
        # They were made by an earlier owner or by an earlier run of this one.
        yield _grant_query(board, event.sender, unknown, 0)


@handle.register
def _grants_moved(
    event: messages.Moved, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Frees grants that have moved to another owner, without a cancel.

    A message with a lower move count than the grant's is ignored, since the
    grant has moved back here after that message was sent.
    """
    all_leases = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    for grant_id, moves in event.moves.items():
        found = all_leases.get(grant_id)
        if found is None or found.entry != entry:
            continue
        if moves < found.moves:
            yield actions.Count("late_moves")
        else:
            yield actions.Count("moved_grants")
            all_leases.mark_moved(grant_id, now)
            yield from grants.free(board, grant_id, now)


@handle.register
def _final_report(
    event: messages.GrantReport, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles the response to a final query.

    Grants that have moved to another owner are freed here without a cancel.
    Those that the entry doesn't hold any more are revoked.
    """
    entry = (event.sender, event.epoch)
    if event.seq != FINAL_QUERY_SEQ:
        return
    query = board.state(State).final_queries.pop(entry, None)
    if query is None:
        return
    all_leases = board.state(grants.State).leases
    all_leases.renew(entry, now)
    confirmed = {grant.grant_id for grant in event.grants}
    for grant_id in query.grant_ids:
        found = all_leases.get(grant_id)
        if found is None or grant_id in confirmed:
            continue
        if found.decision.request.request_id in event.elsewhere:
            yield actions.Count("moved_grants")
            all_leases.mark_moved(grant_id, now)
            yield from grants.free(board, grant_id, now)
        else:
            yield from grants.revoke(board, grant_id, now)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Sends final queries to expired entries and revokes overdue grants.

    An overdue query is repeated shortly after a pause of this daemon, since
    the entry may not have been able to reach it yet.
    """
    state = board.state(State)
    all_leases = board.state(grants.State).leases
    if process_pauses.ended_pause_s(board):
        # Responses may have arrived during the pause and been lost.
        state.final_queries.clear()
    all_leases.forget_old_grants(now)
    expired = all_leases.expired_entries(now)
    for entry in set(state.final_queries) - set(expired):
        del state.final_queries[entry]
    if state.compared:
        for entry in set(state.compared) - set(all_leases.entries()):
            del state.compared[entry]
    for entry in expired:
        query = state.final_queries.get(entry)
        is_overdue = query is not None and query.deadline <= now
        must_repeat = is_overdue and process_pauses.is_reconnecting(board, now)
        if _has_ended(board, entry) or (is_overdue and not must_repeat):
            state.final_queries.pop(entry, None)
            yield from _revoke_all(board, entry, now)
        elif query is None or must_repeat:
            grant_ids = all_leases.grant_ids_of(entry)
            state.final_queries[entry] = FinalQuery(
                now + FINAL_QUERY_TIMEOUT_S, tuple(grant_ids)
            )
            yield _grant_query(board, entry[0], grant_ids, FINAL_QUERY_SEQ)


def _has_ended(board: boards.Board, entry: leases.EntryRun) -> bool:
    """Returns whether this run of an entry is known to have ended.

    A higher epoch means that the entry has restarted.
    """
    host, epoch = entry
    member = membership.find_member(board, host)
    if member is None:
        return False
    return member.state in precedence.GONE or member.epoch > epoch


def _revoke_all(
    board: boards.Board, entry: leases.EntryRun, now: float
) -> Iterable[actions.Action]:
    for grant_id in board.state(grants.State).leases.grant_ids_of(entry):
        yield actions.Count("lapsed_grants")
        yield from grants.revoke(board, grant_id, now)


def _grant_query(
    board: boards.Board, entry: str, grant_ids: list[int], seq: int
) -> actions.Send:
    query = messages.GrantQuery(
        **board.sender_fields, seq=seq, grant_ids=grant_ids
    )
    return actions.Send(entry, query)
