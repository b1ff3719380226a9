"""Leases of grants: renewed by heartbeats, taken back when they lapse.

An entry that is silent but not known dead is asked once more before its
grants are taken back: while this daemon stood still or was out of reach, the
entry may have moved them to another owner, and a cancel would then end a
stream that is alive.
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

LAST_ASK_S = 0.5  # time to answer the question whether a grant is held
LAST_ASK_SEQ = -1  # tells the answer to that question from other reports


class LastAsk(NamedTuple):
    """The question to a lapsed entry about some grants."""

    due: float
    grant_ids: tuple[int, ...]


class State:
    """The lapsed entries that were asked."""

    def __init__(self):
        self.asked: dict[leases.Key, LastAsk] = {}


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of leases; all others yield nothing."""
    return ()


@handle.register
def _heartbeat(
    event: messages.Heartbeat, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    held = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    held.renew(entry, now)
    count, digest = held.summary(entry)
    if (count, digest) != (event.count, event.digest):
        mismatch = messages.HeartbeatMismatch(
            **board.sender_fields,
            count=count,
        )
        yield actions.Send(event.sender, mismatch)


@handle.register
def _grant_list(
    event: messages.GrantList, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    held = board.state(grants.State).leases
    listed = set(event.grant_ids)
    known = set(held.grants_of((event.sender, event.epoch)))
    for grant_id in sorted(known - listed):
        yield from grants.revoke(board, grant_id, now)
    gone = []
    foreign = []
    for grant_id in sorted(listed - known):
        freed = grants.gave(board, grant_id) and not held.is_moved(grant_id)
        if held.is_revoked(grant_id) or freed:
            gone.append(grant_id)
        else:
            foreign.append(grant_id)
    yield from grants.tell_revoked(board, event.sender, gone)
    if foreign:
        # An earlier owner or an earlier run of this one gave them.
        yield _query(board, event.sender, foreign, 0)


@handle.register
def _moved(
    event: messages.Moved, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    held = board.state(grants.State).leases
    entry = (event.sender, event.epoch)
    for grant_id, moves in event.moves.items():
        found = held.get(grant_id)
        if found is None or found.entry != entry:
            continue
        if moves < found.moves:
            yield actions.Count("late_moves")
        else:
            yield actions.Count("moved_grants")
            held.note_moved(grant_id, now)
            yield from grants.free(board, grant_id, now)


@handle.register
def _report(
    event: messages.GrantReport, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Takes the answer of an entry that was asked for a last time."""
    entry = (event.sender, event.epoch)
    if event.seq != LAST_ASK_SEQ:
        return
    asked = board.state(State).asked.pop(entry, None)
    if asked is None:
        return
    held = board.state(grants.State).leases
    held.renew(entry, now)
    confirmed = {grant.grant_id for grant in event.grants}
    for grant_id in asked.grant_ids:
        found = held.get(grant_id)
        if found is None or grant_id in confirmed:
            continue
        if found.decision.ask.request_id in event.elsewhere:
            yield actions.Count("moved_grants")
            held.note_moved(grant_id, now)
            yield from grants.free(board, grant_id, now)
        else:
            yield from grants.revoke(board, grant_id, now)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    held = board.state(grants.State).leases
    if process_pauses.ended_pause_s(board):
        state.asked.clear()  # The answers may have come and gone unread.
    held.expire(now)
    lapsed = held.lapsed(now)
    for entry in set(state.asked) - set(lapsed):
        del state.asked[entry]
    for entry in lapsed:
        asked = state.asked.get(entry)
        unanswered = asked is not None and asked.due <= now
        again = unanswered and process_pauses.is_reconnecting(board, now)
        if _is_gone(board, entry) or (unanswered and not again):
            state.asked.pop(entry, None)
            yield from _revoke_all(board, entry, now)
        elif asked is None or again:
            grant_ids = held.grants_of(entry)
            state.asked[entry] = LastAsk(now + LAST_ASK_S, tuple(grant_ids))
            yield _query(board, entry[0], grant_ids, LAST_ASK_SEQ)


def _is_gone(board: boards.Board, entry: leases.Key) -> bool:
    """Returns whether this run of an entry is known to have ended."""
    host, epoch = entry
    member = membership.find_member(board, host)
    if member is None:
        return False
    return member.state in precedence.GONE or member.epoch > epoch


def _revoke_all(
    board: boards.Board, entry: leases.Key, now: float
) -> Iterable[actions.Action]:
    for grant_id in board.state(grants.State).leases.grants_of(entry):
        yield actions.Count("lapsed_grants")
        yield from grants.revoke(board, grant_id, now)


def _query(
    board: boards.Board, entry: str, grant_ids: list[int], seq: int
) -> actions.Send:
    query = messages.GrantQuery(
        **board.sender_fields,
        seq=seq,
        grant_ids=grant_ids,
    )
    return actions.Send(entry, query)
