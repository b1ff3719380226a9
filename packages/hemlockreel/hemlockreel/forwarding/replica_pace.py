"""The pace and the room of each replica, learned from its answers.

Replicas of one service differ in speed, and some slow down long before their
slots are used. A host of a large fleet sees too few answers of each to tell.
So each host sums up the times that it sees and reports them once a second to
one host for the service, chosen by rendezvous. That host compares the
replicas, see :mod:`pace_estimates`, and answers with those that differ.

A host without an answer goes on from what it was told last by the times that
it sees itself. Only answers that succeed are reported: a failure may be fast.
"""

from collections.abc import Iterable
import enum
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from .. import rendezvous
from . import instances
from . import pace_estimates

REPORT_PERIOD_S = 1.0
UPDATE_PERIOD_S = 0.5
# How long a pace that was told is used, and how long the end of a difference
# is told. Three reports may be lost before a host goes by its own times.
SILENCE_S = 3.0
NEWS = math.log(1.25)  # a change of pace by more is told at once


class Kind(enum.Enum):
    """What was timed: an answer or, of a stream, two events or the first."""

    ANSWER = "answer"
    EVENT = "event"
    FIRST_EVENT = "first_event"


class AnswerTimed(NamedTuple):
    """The run ``born`` of the replica ``id`` took ``seconds``.

    ``busy_s`` is for how long it was busy with the request since the last
    sample of it, 0 if other samples tell.
    """

    id: str
    born: int
    kind: Kind
    seconds: float
    busy_s: float = 0.0


class Told(NamedTuple):
    """What is in use for the run ``born`` of a replica, as told at ``at``."""

    born: int
    pace: float
    room: float
    at: float


GroupKey = tuple[str, Kind]
NEUTRAL = Told(0, 1.0, 1.0, 0.0)


class State:
    """What this host has seen, was told, and has collected for others.

    ``sums`` holds its samples since the last report and ``own`` what it
    learns from them, ``told`` the paces by replica id, and ``answered_at`` the
    time of the last answer by service. The rest is for the services that this
    host collects: ``collected``, the hosts that report and when they last did,
    and the paces it has ``announced`` with the time of the last difference.
    With ``is_enabled`` false, all replicas count as alike.
    """

    def __init__(self):
        self.is_enabled = True
        self.sums: dict[
            str, dict[tuple[str, int, Kind], pace_estimates.Sums]
        ] = {}
        self.reported_at: dict[str, float] = {}
        self.own: dict[GroupKey, pace_estimates.Group] = {}
        self.told: dict[str, Told] = {}
        self.answered_at: dict[str, float] = {}
        self.collected: dict[GroupKey, pace_estimates.Group] = {}
        self.reporters: dict[str, dict[str, float]] = {}
        self.announced: dict[str, Told] = {}


def places(
    board: boards.Board, instance: instances.Instance, now: float
) -> float:
    """Returns how many requests at once a replica takes well.

    These are its slots, or fewer if it slows down before they are used.
    """
    return max(instance.slots, 1) * _current(board, instance, now).room


def pace(
    board: boards.Board, instance: instances.Instance, now: float
) -> float:
    """Returns the speed of a replica relative to the typical one.

    It is 1 for replicas that don't differ or that nothing is known of.
    """
    return _current(board, instance, now).pace


def _current(
    board: boards.Board, instance: instances.Instance, now: float
) -> Told:
    state = board.state(State)
    if not state.is_enabled:
        return NEUTRAL
    told = state.told.get(instance.id)
    if (
        told is not None
        and told.born == instance.born
        and now - told.at <= SILENCE_S
    ):
        return told
    if now - state.answered_at.get(instance.service, -math.inf) <= SILENCE_S:
        return NEUTRAL
    return _combine(state.own, instance, now)


def _combine(
    groups: dict[GroupKey, pace_estimates.Group],
    instance: instances.Instance,
    now: float,
) -> Told:
    """Returns what the groups say of a replica: the worst of all kinds."""
    found = NEUTRAL._replace(born=instance.born, at=now)
    is_known = False
    for kind in Kind:
        group = groups.get((instance.service, kind))
        learned = None if group is None else group.learned.get(instance.id)
        if learned is None or learned.born != instance.born:
            continue
        worst = min(found.pace, learned.pace) if is_known else learned.pace
        is_known = True
        found = found._replace(pace=worst, room=min(found.room, learned.room))
    return found


def _collector(board: boards.Board, service: str) -> str:
    hosts = [each.host for each in membership.live_members(board)]
    return rendezvous.rank(f"paces/{service}", hosts)[0]


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles times of answers and paces; all other events yield nothing."""
    return ()


@handle.register
def _answer_timed(
    event: AnswerTimed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = board.state(instances.State).instances.get(event.id)
    if not state.is_enabled or known is None or known.born != event.born:
        return ()
    sums = state.sums.setdefault(known.service, {})
    key = (event.id, event.born, event.kind)
    sums[key] = pace_estimates.add_sample(
        sums.get(key, pace_estimates.Sums()), event.seconds, event.busy_s
    )
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for service in list(state.sums):
        if now - state.reported_at.get(service, -math.inf) < REPORT_PERIOD_S:
            continue
        state.reported_at[service] = now
        yield _report(board, service, state.sums.pop(service), now)
    for service, reporters in list(state.reporters.items()):
        yield from _update_collected(board, service, reporters, now)


def _report(
    board: boards.Board,
    service: str,
    sums: dict[tuple[str, int, Kind], pace_estimates.Sums],
    now: float,
) -> actions.Action:
    """Learns from this host's samples and reports them."""
    state = board.state(State)
    times = []
    for (id, born, kind), each in sums.items():
        times.append(messages.ReplicaTimes(id, born, kind.value, *each))
        group = state.own.setdefault((service, kind), pace_estimates.Group())
        entry = pace_estimates.Entry(now, board.identity.host, each)
        pace_estimates.add_report(group, id, born, entry)
    _update_groups(board, state.own, service, now)
    report = messages.TimesReported(
        **board.sender_fields, service=service, times=times
    )
    return actions.Send(_collector(board, service), report)


def _update_groups(
    board: boards.Board,
    groups: dict[GroupKey, pace_estimates.Group],
    service: str,
    now: float,
) -> None:
    known = board.state(instances.State).instances.values()
    slots = {each.id: each.slots for each in known if each.service == service}
    for kind in Kind:
        group = groups.get((service, kind))
        if group is not None:
            pace_estimates.update(group, slots, now)
            if not group.learned:
                del groups[service, kind]


@handle.register
def _times_reported(
    event: messages.TimesReported, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if not state.is_enabled:
        return
    for each in event.times:
        _collect(state, event, each, now)
    state.reporters.setdefault(event.service, {})[event.sender] = now
    told = _make_answer(board, event.service, now)
    yield actions.Send(event.sender, told)


def _collect(
    state: State,
    event: messages.TimesReported,
    times: messages.ReplicaTimes,
    now: float,
) -> None:
    sums = pace_estimates.Sums(
        times.count, times.logs, times.squares, times.busy_s
    )
    if sums.count < 1 or not all(map(math.isfinite, sums)):
        return
    try:
        kind = Kind(times.kind)
    except ValueError:
        return  # of a later build
    group = state.collected.setdefault(
        (event.service, kind), pace_estimates.Group()
    )
    told = state.told.get(times.replica)
    if times.replica not in group.learned and (
        told is not None
        and told.born == times.born
        and now - told.at <= SILENCE_S
    ):
        # The host that collected before may have left.
        group.learned[times.replica] = pace_estimates.Learned(
            told.born, math.log(told.pace), told.room
        )
    entry = pace_estimates.Entry(now, event.sender, sums)
    pace_estimates.add_report(group, times.replica, times.born, entry)


def _update_collected(
    board: boards.Board,
    service: str,
    reporters: dict[str, float],
    now: float,
) -> Iterable[actions.Action]:
    state = board.state(State)
    for host, at in list(reporters.items()):
        if now - at > pace_estimates.MAX_AGE_S:
            del reporters[host]
    if not reporters:
        del state.reporters[service]
        for kind in Kind:
            state.collected.pop((service, kind), None)
        return
    updated_at = max(
        (
            group.at
            for (name, _), group in state.collected.items()
            if name == service and group.at is not None
        ),
        default=-math.inf,
    )
    if now - updated_at < UPDATE_PERIOD_S:
        return
    _update_groups(board, state.collected, service, now)
    has_news = False
    for each in list(board.state(instances.State).instances.values()):
        if each.service != service:
            continue
        logged = list(_announce(state, each, now))
        has_news = has_news or bool(logged)
        yield from logged
    if has_news:
        told = _make_answer(board, service, now)
        for host in reporters:
            yield actions.Send(host, told)


def _announce(
    state: State, instance: instances.Instance, now: float
) -> Iterable[actions.Action]:
    """Notes what is to be told of a replica, and logs a changed pace."""
    found = _combine(state.collected, instance, now)
    before = state.announced.get(instance.id)
    is_neutral = (found.pace, found.room) == NEUTRAL[1:3]
    if before is None or before.born != instance.born:
        if is_neutral:
            return
        before = NEUTRAL._replace(born=instance.born)
    if is_neutral and now - before.at > SILENCE_S:
        state.announced.pop(instance.id, None)
        return
    has_news = abs(math.log(found.pace / before.pace)) > NEWS
    state.announced[instance.id] = found._replace(
        # The logged pace is kept until the next news.
        pace=found.pace if has_news else before.pace,
        at=before.at if is_neutral else now,
    )
    if has_news:
        yield actions.Count("replica_paces")
        yield actions.Log(
            "replica_pace",
            {
                "replica": instance.id,
                "service": instance.service,
                "pace": round(found.pace, 2),
                "places": round(max(instance.slots, 1) * found.room, 1),
            },
        )


def _make_answer(
    board: boards.Board, service: str, now: float
) -> messages.PacesTold:
    state = board.state(State)
    told = []
    for each in board.state(instances.State).instances.values():
        if each.service == service and each.id in state.announced:
            found = _combine(state.collected, each, now)
            told.append(
                messages.ReplicaPace(
                    each.id, each.born, found.pace, found.room
                )
            )
    return messages.PacesTold(
        **board.sender_fields, service=service, paces=told
    )


@handle.register
def _paces_told(
    event: messages.PacesTold, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.answered_at[event.service] = now
    for each in event.paces:
        if each.pace > 0 and math.isfinite(each.pace) and 0 < each.room <= 1:
            state.told[each.replica] = Told(
                each.born, each.pace, each.room, now
            )
    _adopt(state, event.service, now)
    return ()


def _adopt(state: State, service: str, now: float) -> None:
    """Has this host's own view of ``service`` go on from what was told."""
    for kind in Kind:
        group = state.own.get((service, kind))
        if group is None:
            continue
        for id, learned in group.learned.items():
            told = state.told.get(id)
            if (
                told is None
                or told.born != learned.born
                or now - told.at > SILENCE_S
            ):
                told = NEUTRAL
            group.learned[id] = learned._replace(
                log_pace=math.log(told.pace), room=told.room
            )


def forget(state: State, id: str) -> None:
    """Drops what is known of a removed replica."""
    state.told.pop(id, None)
    state.announced.pop(id, None)
    for group in (*state.own.values(), *state.collected.values()):
        pace_estimates.forget(group, id)
