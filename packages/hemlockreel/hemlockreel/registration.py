"""The entry's side of ownership: keeps grants registered at their owner.

When an owner is gone, or another one asks, the grants move to the present
owner with their streams untouched. It goes before :mod:`entry`, which forgets
a request when its grant is revoked.
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
    """The table's version at the last look, and the revoked grants.

    ``revoked`` keeps the grant of a request until its worker has ended.
    """

    def __init__(self):
        self.version = -1
        self.revoked: dict[str, tuple[str, messages.Grant]] = {}


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of registration; all others yield nothing."""
    return ()


# Owners


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Registers the grants of owners that are gone or stop at the new ones."""
    state = board.state(State)
    version = membership.table(board).version
    if version == state.version:
        return
    state.version = version
    moved: dict[str, list[messages.HeldGrant]] = {}
    left: dict[str, dict[int, int]] = {}
    for request in board.state(entry.State).requests.values():
        grant = request.grant
        if grant is None or not _needs_owner(board, grant):
            continue
        ranked = shards.rank_owners(board, request.ask.shard)
        if ranked[0] == grant.sender and not _is_gone(board, grant):
            continue
        member = membership.find_member(board, ranked[0])
        _move(request, member.host, member.epoch)
        moved.setdefault(member.host, []).append(_held(request))
        moves = left.setdefault(grant.sender, {})
        moves[grant.grant_id] = request.moves
    for host, held in moved.items():
        yield _report(board, host, 0, held, [])
    for host, moves in left.items():
        yield _moved(board, host, moves)


def _needs_owner(board: boards.Board, grant: messages.Grant) -> bool:
    """Returns whether the owner of a grant has ended or is about to."""
    if _is_gone(board, grant):
        return True
    return membership.find_member(board, grant.sender).draining


def _is_gone(board: boards.Board, grant: messages.Grant) -> bool:
    """Returns whether the owner of a grant has ended."""
    member = membership.find_member(board, grant.sender)
    if member is None or member.state in precedence.GONE:
        return True
    return member.epoch != grant.epoch


@handle.register
def _queried(
    event: messages.GrantQuery, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.seq == renewal.LAST_ASK_SEQ:
        # The heartbeats did not arrive there, though its messages come here.
        yield actions.Reconnect(event.sender)
    held = []
    elsewhere = []
    left: dict[str, dict[int, int]] = {}
    for request in _asked_for(board, event):
        grant = request.grant
        if grant.sender == event.sender:
            _move(request, event.sender, event.epoch)
        elif _takes_over(board, request, event.sender):
            _move(request, event.sender, event.epoch)
            moves = left.setdefault(grant.sender, {})
            moves[grant.grant_id] = request.moves
        else:
            elsewhere.append(request.ask.request_id)
            continue
        held.append(_held(request))
    yield _report(board, event.sender, event.seq, held, elsewhere)
    for host, moves in left.items():
        yield _moved(board, host, moves)


def _asked_for(
    board: boards.Board, query: messages.GrantQuery
) -> list[entry.Request]:
    """Returns the requests with a grant that a query is about."""
    state = board.state(entry.State)
    request_ids = dict.fromkeys(query.request_ids)
    for grant_id in query.grant_ids:
        request_ids[state.by_grant.get(grant_id, "")] = None
    found = [state.requests.get(request_id) for request_id in request_ids]
    return [
        request
        for request in found
        if request is not None and request.grant is not None
    ]


def _takes_over(
    board: boards.Board, request: entry.Request, asker: str
) -> bool:
    """Returns whether ``asker`` is the owner to hold a grant from."""
    ranked = shards.rank_owners(board, request.ask.shard)
    return ranked[:1] == [asker] or _is_gone(board, request.grant)


def _move(request: entry.Request, host: str, epoch: int) -> None:
    request.grant = msgspec.structs.replace(
        request.grant, sender=host, epoch=epoch
    )
    request.moves += 1


def _held(request: entry.Request) -> messages.HeldGrant:
    grant = request.grant
    ask = msgspec.structs.replace(request.ask, prefixes=[])
    return messages.HeldGrant(
        ask, grant.grant_id, grant.replica, grant.prefill, request.moves
    )


def _report(
    board: boards.Board,
    to: str,
    seq: int,
    held: list[messages.HeldGrant],
    elsewhere: list[str],
) -> actions.Send:
    report = messages.GrantReport(
        **board.sender_fields,
        seq=seq,
        grants=held,
        elsewhere=elsewhere,
    )
    return actions.Send(to, report)


def _moved(
    board: boards.Board, host: str, moves: dict[int, int]
) -> actions.Send:
    moved = messages.Moved(
        **board.sender_fields,
        moves=moves,
    )
    return actions.Send(host, moved)


@handle.register
def _ask_elsewhere(
    event: messages.AskElsewhere, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    request = board.state(entry.State).requests.get(event.request_id)
    if request is None or request.grant is not None:
        return
    if request.ask.attempt != event.attempt:
        return
    ranked = shards.rank_owners(board, request.ask.shard)
    # The news that the sender stops may not have come here yet.
    request.owners = sorted(ranked, key=lambda host: host == event.sender)
    request.ask_again_at = now + entry.ASK_TIMEOUT_S
    yield actions.Send(request.owners[0], request.ask)


# Revoked grants


@handle.register
def _revoked(
    event: messages.Revoked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(entry.State)
    for grant_id in event.grant_ids:
        request = state.requests.get(state.by_grant.get(grant_id, ""))
        if request is not None and request.grant is not None:
            kept = (request.ask.shard, request.grant)
            board.state(State).revoked[request.ask.request_id] = kept
    return ()


@handle.register
def _ended(
    event: events.RequestFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Reports what a worker may have started after its grant was revoked."""
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
