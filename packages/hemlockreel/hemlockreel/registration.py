"""Keeps the grants of this entry registered at the owners of their shards.

When an owner has ended or drains, or another owner queries, the grants move
to the present owner; their streams are not interrupted. This controller has
to run before :mod:`entry`, which removes a request when its grant is revoked.
"""

from collections.abc import Iterable
import functools
from typing import Any

import msgspec

from . import actions
from . import board as boards
from . import entry
from . import events
from . import membership
from . import messages
from . import precedence
from . import renewal
from . import shards


class State:
    """The version of the member table last seen, and the revoked grants.

    ``revoked`` has the shard and the revoked grant of each request whose
    worker has not finished yet, by request id.
    """

    def __init__(self):
        self.table_version = -1
        self.revoked: dict[str, tuple[str, messages.Grant]] = {}


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Returns the actions of registration for ``event``.

    There are none for events that are not registered below.
    """
    return ()


# Owners


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Moves grants to a new owner where theirs has ended or drains."""
    state = board.state(State)
    version = membership.table(board).version
    if version == state.table_version:
        return
    state.table_version = version
    moved_to: dict[str, list[messages.HeldGrant]] = {}
    moved_from: dict[str, dict[int, int]] = {}
    for request in board.state(entry.State).requests.values():
        grant = request.grant
        if grant is None or not _needs_new_owner(board, grant):
            continue
        ranked = shards.rank_owners(board, request.admission_request.shard)
        if ranked[0] == grant.sender and not _has_owner_ended(board, grant):
            continue
        member = membership.find_member(board, ranked[0])
        _reassign(request, member.host, member.epoch)
        moved_to.setdefault(member.host, []).append(_held_grant(request))
        moves = moved_from.setdefault(grant.sender, {})
        moves[grant.grant_id] = request.moves
    for host, held in moved_to.items():
        yield _grant_report(board, host, 0, held, [])
    for host, moves in moved_from.items():
        yield _moved_message(board, host, moves)


def _needs_new_owner(board: boards.Board, grant: messages.Grant) -> bool:
    """Returns whether the owner of a grant has ended or drains."""
    if _has_owner_ended(board, grant):
        return True
    return membership.find_member(board, grant.sender).draining


def _has_owner_ended(board: boards.Board, grant: messages.Grant) -> bool:
    """Returns whether the run of the owner that has a grant has ended."""
    member = membership.find_member(board, grant.sender)
    if member is None or member.state in precedence.GONE:
        return True
    return member.epoch != grant.epoch


@handle.register
def _grants_queried(
    event: messages.GrantQuery, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Reports the grants that an owner asks about.

    Grants that the querying host owns move to it, and the previous owners are
    notified. Requests with a grant of another owner are reported as elsewhere.
    """
    if event.seq == renewal.FINAL_QUERY_SEQ:
        # The owner didn't receive the heartbeats, though its own messages
        # arrive here, so the connection to it may be broken.
        yield actions.Reconnect(event.sender)
    held = []
    elsewhere = []
    moved_from: dict[str, dict[int, int]] = {}
    for request in _queried_requests(board, event):
        grant = request.grant
        if grant.sender == event.sender:
            _reassign(request, event.sender, event.epoch)
        elif _may_take_over(board, request, event.sender):
            _reassign(request, event.sender, event.epoch)
            moves = moved_from.setdefault(grant.sender, {})
            moves[grant.grant_id] = request.moves
        else:
            elsewhere.append(request.admission_request.request_id)
            continue
        held.append(_held_grant(request))
    yield _grant_report(board, event.sender, event.seq, held, elsewhere)
    for host, moves in moved_from.items():
        yield _moved_message(board, host, moves)


def _queried_requests(
    board: boards.Board, query: messages.GrantQuery
) -> list[entry.Request]:
    """Returns the requests with a grant that ``query`` lists."""
    state = board.state(entry.State)
    request_ids = dict.fromkeys(query.request_ids)
    for grant_id in query.grant_ids:
        request_ids[state.request_ids_by_grant.get(grant_id, "")] = None
    found = [state.requests.get(request_id) for request_id in request_ids]
    return [
        request
        for request in found
        if request is not None and request.grant is not None
    ]


def _may_take_over(
    board: boards.Board, request: entry.Request, host: str
) -> bool:
    """Returns whether the grant of ``request`` moves to ``host``.

    It does if ``host`` owns the shard or the grant's owner has ended.
    """
    ranked = shards.rank_owners(board, request.admission_request.shard)
    return ranked[:1] == [host] or _has_owner_ended(board, request.grant)


def _reassign(request: entry.Request, host: str, epoch: int) -> None:
    request.grant = msgspec.structs.replace(
        request.grant, sender=host, epoch=epoch
    )
    request.moves += 1


def _held_grant(request: entry.Request) -> messages.HeldGrant:
    grant = request.grant
    admission_request = msgspec.structs.replace(
        request.admission_request, prefixes=[]
    )
    return messages.HeldGrant(
        admission_request,
        grant.grant_id,
        grant.replica,
        grant.prefill,
        request.moves,
    )


def _grant_report(
    board: boards.Board,
    to: str,
    seq: int,
    held: list[messages.HeldGrant],
    elsewhere: list[str],
) -> actions.Send:
    report = messages.GrantReport(
        **board.sender_fields, seq=seq, grants=held, elsewhere=elsewhere
    )
    return actions.Send(to, report)


def _moved_message(
    board: boards.Board, host: str, moves: dict[int, int]
) -> actions.Send:
    moved = messages.Moved(**board.sender_fields, moves=moves)
    return actions.Send(host, moved)


@handle.register
def _owner_declined(
    event: messages.NotOwner, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Sends a returned request to the next host in rank."""
    request = board.state(entry.State).requests.get(event.request_id)
    if request is None or request.grant is not None:
        return
    if request.admission_request.attempt != event.attempt:
        return
    ranked = shards.rank_owners(board, request.admission_request.shard)
    # This daemon may not have received the update yet that the sender drains,
    # so the sender is put last whatever its rank.
    request.owners = sorted(ranked, key=lambda host: host == event.sender)
    request.resend_at = now + entry.OWNER_TIMEOUT_S
    yield actions.Send(request.owners[0], request.admission_request)


# Revoked grants


@handle.register
def _grants_revoked(
    event: messages.Revoked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(entry.State)
    for grant_id in event.grant_ids:
        request = state.requests.get(
            state.request_ids_by_grant.get(grant_id, "")
        )
        if request is not None and request.grant is not None:
            kept = (request.admission_request.shard, request.grant)
            board.state(State).revoked[
                request.admission_request.request_id
            ] = kept
    return ()


@handle.register
def _request_finished(
    event: events.RequestFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Reports a request that may have started after its grant was revoked.

    The worker may have been paused just before it called the engine.
    """
    kept = board.state(State).revoked.pop(event.request_id, None)
    if kept is None or event.clean or not kept[1].prefill:
        return
    shard, grant = kept
    abandoned = messages.Abandoned(
        **board.sender_fields,
        request_id=event.request_id,
        replicas=[grant.replica, grant.prefill],
    )
    ranked = shards.rank_owners(board, shard)
    yield actions.Send(ranked[0], abandoned)
