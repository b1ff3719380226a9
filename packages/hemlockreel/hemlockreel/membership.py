"""The member table: which daemons of this region are alive.

Updates are gossiped: they are attached to the messages of the failure detector
(:mod:`probes`), and :mod:`precedence` decides which of two updates is newer.
A daemon joins through the seeds and the platform's host list. Members compare
whole tables periodically, which repairs what the gossip missed. The design is
explained in docs/design/membership.md.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any

import xxhash

from . import actions
from . import board as boards
from . import events
from . import messages
from . import precedence

MAX_UPDATES_PER_MESSAGE = 6
# A dead or left member stays in the table for this long, so that an old update
# can't add it again.
GONE_MEMBER_RETENTION_S = 60.0
JOIN_PERIOD_S = 1.0
MAX_JOIN_REQUESTS = 3
INITIAL_SYNC_PERIOD_S = 1.0  # doubles up to MAX_SYNC_PERIOD_S
MAX_SYNC_PERIOD_S = 15.0
# An update is sent this often for each doubling of the table's size: gossip
# needs a number of rounds that grows with the logarithm of the members.
COPIES_PER_DOUBLING = 3


class State:
    """The member table of this daemon, by peer address.

    ``unreachable`` members stay in the table, because this daemon itself
    seems to be cut off: see :mod:`probes`. ``outbox`` counts how often the
    update about a member is still to be sent. ``version`` increases with each
    change that may move the ownership of a shard. ``entries`` are the daemons
    in the platform's host list. ``unreached`` lists the services of which
    this daemon reaches no replica by itself. ``announced`` is the drain flag,
    the configuration generation and ``unreached`` as last announced.
    """

    def __init__(self):
        self.members: dict[str, messages.MemberUpdate] = {}
        self.version = 0
        self.draining = False
        self.leaving = False
        self.configuration = 0
        self.incarnation = 0
        self.unreachable: set[str] = set()
        self.state_changed_at: dict[str, float] = {}
        self.outbox: dict[str, int] = {}
        self.entries: tuple[str, ...] = ()
        self.unreached: tuple[str, ...] = ()
        self.announced: tuple[bool, int, tuple[str, ...]] = (False, 0, ())
        self.next_join = 0.0
        self.next_sync = 0.0
        self.sync_period = INITIAL_SYNC_PERIOD_S


def table(board: boards.Board) -> State:
    """Returns the member table."""
    return board.state(State)


def live_members(
    board: boards.Board, region: str | None = None
) -> list[messages.MemberUpdate]:
    """Returns the members that are not dead or left, this daemon included.

    The table holds only this daemon's region, so the result is empty for any
    other ``region``.
    """
    found = [own_update(board)]
    for member in table(board).members.values():
        if member.state not in precedence.GONE:
            found.append(member)
    if region is None:
        return found
    return [member for member in found if member.region == region]


def reachable_members(board: boards.Board) -> list[messages.MemberUpdate]:
    """Returns the live members that this daemon can reach, itself included."""
    unreachable_hosts = table(board).unreachable
    return [
        member
        for member in live_members(board)
        if member.host not in unreachable_hosts
    ]


def is_isolated(board: boards.Board) -> bool:
    """Returns whether this daemon seems cut off from most of its region.

    While it is isolated, it removes no member, and a silent member is no
    evidence that the caller of a request is gone.
    """
    return bool(table(board).unreachable)


def own_update(board: boards.Board) -> messages.MemberUpdate:
    """Returns the update that this daemon sends about itself."""
    identity = board.identity
    state = table(board)
    return messages.MemberUpdate(
        host=identity.host,
        zone=identity.zone,
        region=identity.region,
        callers=identity.callers,
        epoch=identity.epoch,
        incarnation=state.incarnation,
        state=precedence.LEFT if state.leaving else precedence.ALIVE,
        draining=state.draining,
        configuration=state.configuration,
        paths=identity.paths,
        unreached=state.unreached,
    )


def find_member(
    board: boards.Board, host: str
) -> messages.MemberUpdate | None:
    """Returns the table's update about ``host``, ``None`` if it is unknown."""
    if host == board.identity.host:
        return own_update(board)
    return table(board).members.get(host)


def table_digest(board: boards.Board) -> int:
    """Returns a hash of the table that does not depend on its order, never 0.

    ``SyncRequest`` uses 0 for "send the table in any case".
    """
    total = 0
    for member in [own_update(board), *table(board).members.values()]:
        rank = precedence.rank(member)
        total ^= xxhash.xxh64_intdigest(f"{member.host}{rank}".encode())
    return total >> 1 | 1


# Updates


def merge_updates(
    board: boards.Board,
    updates: Iterable[messages.MemberUpdate],
    now: float,
) -> Iterable[actions.Action]:
    """Merges the updates of a peer into the table."""
    for update in updates:
        if update.region != board.identity.region:
            yield actions.Count("foreign_member_updates")
        elif update.host == board.identity.host:
            yield from _refute(board, update)
        else:
            yield from merge_update(board, update, now)


def merge_update(
    board: boards.Board, update: messages.MemberUpdate, now: float
) -> Iterable[actions.Action]:
    """Stores ``update`` about another daemon if it is newer than the table."""
    state = table(board)
    known = state.members.get(update.host)
    if not precedence.supersedes(update, known):
        return
    state.members[update.host] = update
    if update.state != precedence.SUSPECT:
        mark_reachable(state, update.host)
    if _ownership_inputs(known) != _ownership_inputs(update):
        state.version += 1
    _queue_update(state, update.host)
    if known is not None and known.state == update.state:
        return
    state.state_changed_at[update.host] = now
    yield actions.Count("member_changes", 1, (update.state,))
    fields = {"member": update.host, "state": update.state}
    yield actions.Log("member", fields)


def _ownership_inputs(
    update: messages.MemberUpdate | None,
) -> tuple[bool, bool, str]:
    """Returns what the ownership of shards depends on."""
    if update is None or update.state in precedence.GONE:
        return (False, False, "")
    return (True, update.draining, update.zone)


def mark_reachable(state: State, host: str) -> None:
    """Removes ``host`` from the unreachable members."""
    if host in state.unreachable:
        state.unreachable.discard(host)
        state.version += 1


def _refute(
    board: boards.Board, update: messages.MemberUpdate
) -> Iterable[actions.Action]:
    """Refutes an update that reports this daemon as suspect or gone.

    It raises the own incarnation above that of the update. An epoch above the
    own one comes from an earlier run on this host, before the host's clock was
    set back. Other members would take the present run for an older one that
    has ended, so the own epoch is raised above it.
    """
    state = table(board)
    if update.epoch > board.identity.epoch:
        yield actions.Count("epoch_conflicts")
        raised = update.epoch + 1
        fields = {"epoch": board.identity.epoch, "raised_to": raised}
        yield actions.Log("epoch_raised", fields)
        board.identity = board.identity._replace(epoch=raised)
        _queue_update(state, board.identity.host)
        return
    if not precedence.supersedes(update, own_update(board)):
        if precedence.rank(update) < precedence.rank(own_update(board)):
            _queue_update(state, board.identity.host)
        return
    state.incarnation = update.incarnation + 1
    _queue_update(state, board.identity.host)
    yield actions.Count("refutations")


def _queue_update(state: State, host: str) -> None:
    """Attaches the update about ``host`` to the next messages."""
    doublings = math.ceil(math.log2(len(state.members) + 2))
    state.outbox[host] = COPIES_PER_DOUBLING * doublings


def take_updates(
    board: boards.Board, receiver: str = ""
) -> list[messages.MemberUpdate]:
    """Returns the updates for one message, those least often sent first.

    If the table has the ``receiver`` as suspect or gone, that update comes
    first, so that the receiver can refute it. Each call counts as one copy
    sent of every update returned from the outbox.
    """
    state = table(board)
    picked = []
    receiver_update = state.members.get(receiver)
    if (
        receiver_update is not None
        and receiver_update.state != precedence.ALIVE
    ):
        picked.append(receiver_update)
    waiting = sorted(state.outbox.items(), key=lambda item: -item[1])
    for host, copies_left in waiting[: MAX_UPDATES_PER_MESSAGE - len(picked)]:
        update = find_member(board, host)
        if update is not None and update not in picked:
            picked.append(update)
        if copies_left > 1:
            state.outbox[host] = copies_left - 1
        else:
            del state.outbox[host]
    return picked


# Leaving


def announce_leave(board: boards.Board) -> Iterable[actions.Action]:
    """Announces to all members that this daemon stops; its last message."""
    state = table(board)
    state.leaving = True
    yield from broadcast_update(board, own_update(board))


def broadcast_update(
    board: boards.Board, update: messages.MemberUpdate
) -> Iterable[actions.Action]:
    """Sends ``update`` directly to all other live members.

    It is used for updates that must arrive sooner than gossip spreads them.
    """
    gossip = messages.Gossip(**board.sender_fields, updates=[update])
    return broadcast(board, gossip, excluded=update.host)


def broadcast(
    board: boards.Board, message: messages.Message, excluded: str = ""
) -> Iterable[actions.Action]:
    """Sends ``message`` to all other live members except ``excluded``."""
    for member in live_members(board):
        if member.host not in (board.identity.host, excluded):
            yield actions.Send(member.host, message)


# Events


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles the events of the membership; ignores all others."""
    return ()


@handle.register
def _gossip(
    event: messages.Gossip, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from merge_updates(board, event.updates, now)


@handle.register
def _sync_request(
    event: messages.SyncRequest, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from merge_updates(board, event.updates, now)
    if event.digest and event.digest == table_digest(board):
        return
    sync = messages.Sync(
        **board.sender_fields,
        updates=[own_update(board), *table(board).members.values()],
    )
    yield actions.Send(event.sender, sync)


@handle.register
def _sync(
    event: messages.Sync, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from merge_updates(board, event.updates, now)


@handle.register
def _host_list_read(
    event: events.HostListRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.hosts is not None:
        table(board).entries = event.entries
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = table(board)
    was_draining = state.announced[0]
    _announce_own_changes(board)
    if state.draining and not was_draining:
        yield from broadcast_update(board, own_update(board))
    for host, changed_at in list(state.state_changed_at.items()):
        if changed_at + GONE_MEMBER_RETENTION_S > now:
            continue
        del state.state_changed_at[host]
        if state.members[host].state in precedence.GONE:
            del state.members[host]
            state.outbox.pop(host, None)
    if now >= state.next_join:
        state.next_join = now + JOIN_PERIOD_S
        yield from _contact_unknown_hosts(board)
    if now >= state.next_sync:
        # The jitter keeps the daemons from syncing all at the same time.
        jitter = board.rng.uniform(0.8, 1.2)
        state.next_sync = now + state.sync_period * jitter
        state.sync_period = min(2 * state.sync_period, MAX_SYNC_PERIOD_S)
        yield from _sync_with_random_member(board)


def _announce_own_changes(board: boards.Board) -> None:
    """Queues the own update, with a higher incarnation, if it has changed."""
    state = table(board)
    current = (state.draining, state.configuration, state.unreached)
    if current != state.announced:
        state.announced = current
        state.version += 1
        state.incarnation += 1
        _queue_update(state, board.identity.host)


def _contact_unknown_hosts(board: boards.Board) -> Iterable[actions.Action]:
    """Requests the tables of some listed daemons that are not in the table."""
    state = table(board)
    unknown = [
        host
        for host in dict.fromkeys([*board.seeds, *state.entries])
        if host != board.identity.host and host not in state.members
    ]
    chosen = board.rng.sample(unknown, min(MAX_JOIN_REQUESTS, len(unknown)))
    for host in chosen:
        yield _sync_request_to(board, host, 0)


def _sync_with_random_member(board: boards.Board) -> Iterable[actions.Action]:
    """Compares the table with that of a random reachable member."""
    others = [
        member.host
        for member in reachable_members(board)
        if member.host != board.identity.host
    ]
    if others:
        yield _sync_request_to(
            board, board.rng.choice(others), table_digest(board)
        )


def request_sync(board: boards.Board, host: str) -> actions.Send:
    """Requests the table of ``host``, which is not in the own table yet."""
    return _sync_request_to(board, host, 0)


def _sync_request_to(
    board: boards.Board, host: str, own_digest: int
) -> actions.Send:
    request = messages.SyncRequest(
        **board.sender_fields,
        updates=[own_update(board)],
        digest=own_digest,
    )
    return actions.Send(host, request)
