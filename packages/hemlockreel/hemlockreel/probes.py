"""The failure detector: finds the members that no longer respond.

Twice a second a daemon pings its successor on a ring of all members, which
bounds the time until a single loss is detected. Once a second it pings another
member in random order, which also detects losses of neighbours on the ring.
A member that responds neither directly nor through other members is suspected.
This daemon then pings the whole region (the survey). If most members respond,
it removes the silent ones; otherwise it is itself cut off and removes none.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

import msgspec

from . import actions
from . import board as boards
from . import events
from . import membership
from . import messages
from . import precedence
from . import probe_targets
from . import process_pauses

RING_PERIOD_S = 0.5
RANDOM_PERIOD_S = 1.0
DIRECT_TIMEOUT_S = 0.3
INDIRECT_TIMEOUT_S = 0.3
MAX_INDIRECT_PROBES = 3
SURVEY_TIMEOUT_S = 0.7
# Time from a suspicion of this daemon to the removal. Members that another
# daemon suspects get longer, as that daemon normally removes them itself.
REMOVAL_DELAY_S = 0.9
FALLBACK_REMOVAL_DELAY_S = 3.0
# With fewer silent members this daemon never considers itself isolated.
MIN_ISOLATION_LOSSES = 3
RECHECK_PERIOD_S = 2.0
MAX_RECHECK_PROBES = 16


class Probe(NamedTuple):
    """A ping that awaits its :class:`messages.Ack` until ``due``."""

    target: str
    due: float
    indirect: bool = False


class Relay(NamedTuple):
    """A ping that this daemon sent on behalf of ``requester``."""

    requester: str
    seq: int
    due: float


class Survey(NamedTuple):
    """A round of pings to all reachable members, evaluated at ``due``."""

    targets: frozenset[str]
    due: float


class State:
    """The pending probes, suspicions and timers.

    ``removals`` maps a suspected member to the time of its removal.
    ``suspected_here`` are the members that this daemon's own probes found
    silent; ``responded`` those that responded since the survey began.
    """

    def __init__(self):
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.removals: dict[str, float] = {}
        self.suspected_here: set[str] = set()
        self.survey: Survey | None = None
        self.responded: set[str] = set()
        self.probe_order: list[str] = []
        self.next_ring = 0.0
        self.next_random = 0.0
        self.next_recheck = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles the events of the failure detector; ignores all others."""
    return ()


# Messages


@handle.register
def _ping(
    event: messages.Ping, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from membership.merge_updates(board, event.updates, now)
    host = board.identity.host
    yield actions.Send(
        event.sender, _ack(board, event.seq, host, event.sender)
    )
    if membership.find_member(board, event.sender) is None:
        yield membership.request_sync(board, event.sender)


@handle.register
def _ping_request(
    event: messages.PingRequest, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from membership.merge_updates(board, event.updates, now)
    state = board.state(State)
    ping = _ping_to(board, event.target)
    due = now + DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S
    state.relays[ping.message.seq] = Relay(event.sender, event.seq, due)
    yield ping


@handle.register
def _ack_received(
    event: messages.Ack, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from membership.merge_updates(board, event.updates, now)
    state = board.state(State)
    relay = state.relays.pop(event.seq, None)
    if relay is not None:
        ack = _ack(board, relay.seq, event.target, relay.requester)
        yield actions.Send(relay.requester, ack)
    probe = state.probes.pop(event.seq, None)
    if probe is None or probe.target != event.target:
        return
    state.responded.add(event.target)
    state.removals.pop(event.target, None)
    state.suspected_here.discard(event.target)
    membership.mark_reachable(membership.table(board), event.target)


def _ack(board: boards.Board, seq: int, target: str, to: str) -> messages.Ack:
    return messages.Ack(
        **board.sender_fields,
        seq=seq,
        target=target,
        updates=membership.take_updates(board, to),
    )


def _ping_to(board: boards.Board, target: str) -> actions.Send:
    state = board.state(State)
    state.seq += 1
    ping = messages.Ping(
        **board.sender_fields,
        seq=state.seq,
        updates=membership.take_updates(board, target),
    )
    return actions.Send(target, ping)


# Time


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    _reset_after_pause(board, state)
    if membership.table(board).leaving:
        return
    yield from _expire_probes(board, now)
    yield from _finish_survey(board, now)
    yield from _remove_expired_suspects(board, now)
    if now >= state.next_ring:
        state.next_ring = now + RING_PERIOD_S
        yield from _probe(
            board, probe_targets.successor(board, state.removals), now
        )
    if now >= state.next_random:
        state.next_random = now + RANDOM_PERIOD_S
        yield from _probe(
            board, probe_targets.next_shuffled(board, state.probe_order), now
        )
    if now >= state.next_recheck:
        state.next_recheck = now + RECHECK_PERIOD_S
        yield from _probe_unreachable(board, now)


def _reset_after_pause(board: boards.Board, state: State) -> None:
    """Drops the pending probes after this daemon was paused.

    Responses may have been lost during the pause. Removals are postponed by
    its length, so that suspected members still get their time to refute.
    """
    paused_s = process_pauses.ended_pause_s(board)
    if not paused_s:
        return
    state.probes.clear()
    state.relays.clear()
    state.survey = None
    state.removals = {
        host: due + paused_s for host, due in state.removals.items()
    }


def _probe(
    board: boards.Board, target: str | None, now: float
) -> Iterable[actions.Action]:
    if target is None:
        return
    ping = _ping_to(board, target)
    probe = Probe(target, now + DIRECT_TIMEOUT_S)
    board.state(State).probes[ping.message.seq] = probe
    yield ping


def _expire_probes(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles the pings whose timeout has passed.

    After a direct ping the connection is reopened and other members ping
    the target; after the indirect pings the target is suspected.
    """
    state = board.state(State)
    for seq, probe in list(state.probes.items()):
        if probe.due > now:
            continue
        if probe.indirect:
            del state.probes[seq]
            yield from _suspect(board, probe.target, now)
        else:
            due = now + INDIRECT_TIMEOUT_S
            state.probes[seq] = Probe(probe.target, due, True)
            yield actions.Reconnect(probe.target)
            yield from _request_indirect_probes(board, seq, probe.target)
    for seq, relay in list(state.relays.items()):
        if relay.due <= now:
            del state.relays[seq]


def _request_indirect_probes(
    board: boards.Board, seq: int, target: str
) -> Iterable[actions.Action]:
    helpers = [
        host for host in probe_targets.reachable_peers(board) if host != target
    ]
    count = min(MAX_INDIRECT_PROBES, len(helpers))
    for helper in board.rng.sample(helpers, count):
        request = messages.PingRequest(
            **board.sender_fields,
            seq=seq,
            target=target,
            updates=membership.take_updates(board, helper),
        )
        yield actions.Send(helper, request)


# Suspicion


def _suspect(
    board: boards.Board, host: str, now: float
) -> Iterable[actions.Action]:
    """Suspects ``host`` and starts a survey if none is running."""
    state = board.state(State)
    known = membership.find_member(board, host)
    if known is None or known.state in precedence.GONE:
        return
    if (
        host in state.suspected_here
        or host in membership.table(board).unreachable
    ):
        return
    state.suspected_here.add(host)
    state.removals[host] = now + REMOVAL_DELAY_S
    yield actions.Count("suspicions")
    if state.survey is None:
        others = probe_targets.reachable_peers(board)
        state.responded = set()
        state.survey = Survey(frozenset(others), now + SURVEY_TIMEOUT_S)
        for other in others:
            yield from _probe(board, other, now)


def _finish_survey(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Decides whether the silent members or this daemon are cut off.

    If most of the region is silent, this daemon is considered isolated;
    otherwise the silent members are suspected.
    """
    state = board.state(State)
    survey = state.survey
    if survey is None or survey.due > now:
        return
    state.survey = None
    silent = survey.targets - state.responded
    for seq, probe in list(state.probes.items()):
        if probe.target in silent:
            del state.probes[seq]
    if len(silent) >= MIN_ISOLATION_LOSSES and 2 * len(silent) > len(
        survey.targets
    ):
        yield from _mark_unreachable(board, silent)
        return
    for host in sorted(silent):
        yield from _spread_suspicion(board, host, now)


def _spread_suspicion(
    board: boards.Board, host: str, now: float
) -> Iterable[actions.Action]:
    """Gossips the suspicion, so that ``host`` can refute it."""
    state = board.state(State)
    known = membership.table(board).members.get(host)
    if known is None or known.state != precedence.ALIVE:
        return
    state.suspected_here.add(host)
    state.removals.setdefault(host, now + REMOVAL_DELAY_S)
    suspected = msgspec.structs.replace(known, state=precedence.SUSPECT)
    yield from membership.merge_update(board, suspected, now)


def _mark_unreachable(
    board: boards.Board, silent: Iterable[str]
) -> Iterable[actions.Action]:
    """Marks the silent members unreachable instead of removing them."""
    state = board.state(State)
    table = membership.table(board)
    if not table.unreachable:
        fields = {"silent": len(list(silent))}
        yield actions.Log("isolated", fields)
    yield actions.Count("isolations")
    table.unreachable |= set(silent)
    table.version += 1
    for host in silent:
        state.removals.pop(host, None)
        state.suspected_here.discard(host)


def _remove_expired_suspects(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Declares the suspected members dead whose delay has passed.

    No removal takes place during a survey, which may show that this daemon
    is isolated. Until the removal, this daemon keeps pinging the members that
    it suspects itself.
    """
    state = board.state(State)
    table = membership.table(board)
    _track_suspicions(board, now)
    for host, due in list(state.removals.items()):
        known = table.members.get(host)
        if known is None or known.state in precedence.GONE:
            del state.removals[host]
            state.suspected_here.discard(host)
        elif due <= now and state.survey is None:
            del state.removals[host]
            state.suspected_here.discard(host)
            dead = msgspec.structs.replace(known, state=precedence.DEAD)
            yield from membership.merge_update(board, dead, now)
            yield from membership.broadcast_update(board, dead)
        elif host in state.suspected_here and not _is_probe_pending(
            state, host
        ):
            yield from _probe(board, host, now)


def _is_probe_pending(state: State, host: str) -> bool:
    """Returns whether a ping to ``host`` awaits its response."""
    return any(probe.target == host for probe in state.probes.values())


def _track_suspicions(board: boards.Board, now: float) -> None:
    """Schedules removals for suspicions of other daemons.

    It also drops the removals of members that have refuted the suspicion.
    """
    state = board.state(State)
    table = membership.table(board)
    for member in table.members.values():
        host = member.host
        if member.state == precedence.SUSPECT:
            if host not in table.unreachable:
                state.removals.setdefault(host, now + FALLBACK_REMOVAL_DELAY_S)
        elif host not in state.suspected_here:
            state.removals.pop(host, None)


def _probe_unreachable(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Pings unreachable members; removes those no longer in the host list.

    This daemon can't tell whether unreachable members are lost or the network
    between them is cut; the platform's host list can.
    """
    table = membership.table(board)
    unreachable_hosts = sorted(table.unreachable)
    for host in unreachable_hosts:
        known = table.members.get(host)
        if known is None or known.state in precedence.GONE:
            membership.mark_reachable(table, host)
        elif table.entries and host not in table.entries:
            dead = msgspec.structs.replace(known, state=precedence.DEAD)
            yield from membership.merge_update(board, dead, now)
    count = min(MAX_RECHECK_PROBES, len(unreachable_hosts))
    for host in board.rng.sample(unreachable_hosts, count):
        yield from _probe(board, host, now)
