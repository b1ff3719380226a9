"""Remembers which version of a service's software began each stream.

What two versions write doesn't fit together, so a stream goes on only at the
version that began it. A caller may take it up at any host, which need not
have seen it before.

While a service has had one version only for as long as a stream and the
attempts of its caller may last, that version began every stream. Otherwise
each host reports the streams that it begins to a few recorders, which are the
same hosts for all, and a host that is asked to resume one asks these. Messages
are sent for the streams of such times and for those that are resumed, never
to all hosts. :mod:`stream_records` keeps what the recorders know when all
hosts end at once.

A stream is refused if it isn't known and several versions may have begun it.
"""

import collections
from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from .. import outcomes
from .. import rendezvous
from . import instances
from . import store_fanout

RECORDERS = 3  # one may be gone, and another about to learn it
# The longest time from the first event of a stream to the last attempt of its
# caller: twice the time that callers give a request.
KEEP_S = 30.0
ASK_S = 0.25  # for the answers of the recorders
LOOK_S = 0.3  # between two looks at the listed replicas
FRESH_S = 4.0  # hosts watch the list for less than the platform's 3 s
RETRY_AFTER_S = 0.5  # until a recorder has read what the store holds
MAX_STREAMS = 8192


class StreamBegun(NamedTuple):
    """A worker passes on the first event of the stream of ``request_id``."""

    request_id: str
    service: str
    software: str


class SoftwareRequested(NamedTuple):
    """A worker is to resume the stream that the request ``begun_by`` began.

    The reply is :class:`Found`, or the refusal if it can't go on.
    """

    request_id: str
    service: str
    begun_by: str


class Found(NamedTuple):
    """The version of the software that began a stream."""

    software: str


class Begun(NamedTuple):
    """``software`` of ``service`` began a stream at ``at``."""

    service: str
    software: str
    at: float


Streams = collections.OrderedDict[str, Begun]


class Question(NamedTuple):
    """What a worker waits for until ``until``.

    ``waiting`` are the recorders that have not answered, and ``answered``
    those that have. ``recent`` are the versions that they name. ``is_fresh``
    is set if one of them knows all of the earlier versions and the present
    ones, ``is_read`` unless one doesn't know the earlier ones.
    """

    asked: SoftwareRequested
    until: float
    waiting: frozenset[str]
    answered: frozenset[str] = frozenset()
    recent: frozenset[str] = frozenset()
    is_fresh: bool = False
    is_read: bool = True

    @property
    def is_sure(self) -> bool:
        """Whether ``recent`` is complete.

        Streams of a version that has just joined are reported to all
        recorders, but a host that is out of step may neither hear of them nor
        have read of the version yet. So a fresh list is enough only with the
        word of most recorders. While the store is away no list is fresh, but
        no host gets a newer one either.
        """
        if not self.waiting:
            return self.is_fresh or self.is_read
        return self.is_fresh and len(self.answered) > len(self.waiting)


class State:
    """What this host knows of streams and versions.

    ``own`` are the streams begun here and ``reported`` those of all hosts, if
    this host is a recorder, by the id of the request; the oldest come first.
    ``seen_at`` is when a version of a service was last listed. ``told`` are
    the recorders that have got all of ``own``. ``is_read`` is set once the
    store's record was read.
    """

    def __init__(self):
        self.own: Streams = collections.OrderedDict()
        self.reported: Streams = collections.OrderedDict()
        self.seen_at: dict[tuple[str, str], float] = {}
        self.told: frozenset[str] = frozenset()
        self.questions: dict[int, Question] = {}
        self.last_number = 0
        self.started_at: float | None = None
        self.next_look_at = 0.0
        self.is_read = False


def recorders(board: boards.Board) -> list[str]:
    """Returns the hosts that remember streams, the first one first."""
    hosts = [each.host for each in membership.live_members(board)]
    return rendezvous.rank("streams", hosts)[:RECORDERS]


def recent(state: State, service: str, now: float) -> frozenset[str]:
    """Returns the versions that may have begun a stream that goes on."""
    return frozenset(
        software
        for (found, software), at in state.seen_at.items()
        if found == service and now - at <= KEEP_S
    )


def is_mixed(state: State, service: str, now: float) -> bool:
    """Returns whether several versions may have begun the streams."""
    # A host that has just started may not know the earlier ones.
    is_new = state.started_at is None or now - state.started_at <= KEEP_S
    return is_new or len(recent(state, service, now)) > 1


def add(streams: Streams, id: str, begun: Begun) -> None:
    """Adds a stream to ``streams``; the first report of it counts."""
    streams.setdefault(id, begun)
    while len(streams) > MAX_STREAMS:
        streams.popitem(last=False)


def note_version(state: State, service: str, software: str, at: float) -> None:
    """Records that a version was listed at ``at``."""
    key = service, software
    state.seen_at[key] = max(at, state.seen_at.get(key, at))


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles news of streams; all other events yield nothing."""
    return ()


@handle.register
def _stream_begun(
    event: StreamBegun, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    note_version(state, event.service, event.software, now)
    add(state.own, event.request_id, Begun(*event[1:], now))
    if not is_mixed(state, event.service, now):
        return
    streams = [messages.BegunStream(*event)]
    for host in recorders(board):
        yield _report(board, host, streams)


def _report(
    board: boards.Board, host: str, streams: list[messages.BegunStream]
) -> actions.Send:
    return actions.Send(
        host, messages.StreamsBegun(**board.sender_fields, streams=streams)
    )


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    for number in [n for n, q in state.questions.items() if q.until <= now]:
        yield from _decide(board, number, now)
    if now < state.next_look_at:
        return
    state.next_look_at = now + LOOK_S
    for each in board.state(instances.State).instances.values():
        if each.stage is not instances.Stage.PLAIN:
            note_version(state, each.service, each.software, now)
    _forget_old(state, now)
    yield from _tell_new_recorders(board, now)


def _forget_old(state: State, now: float) -> None:
    for key, at in list(state.seen_at.items()):
        if now - at > KEEP_S:
            del state.seen_at[key]
    for streams in (state.own, state.reported):
        while streams:
            id, oldest = next(iter(streams.items()))
            if now - oldest.at <= KEEP_S:
                break
            del streams[id]


def _tell_new_recorders(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Reports the streams begun here to recorders that don't know them.

    Those that began before a second version came are reported then.
    """
    state = board.state(State)
    services = {service for service, _ in state.seen_at}
    if not any(is_mixed(state, each, now) for each in services):
        state.told = frozenset()
        return
    current = frozenset(recorders(board))
    streams = [
        messages.BegunStream(id, each.service, each.software, now - each.at)
        for id, each in state.own.items()
    ]
    if streams:
        for host in sorted(current - state.told):
            yield _report(board, host, streams)
    state.told = current


# On recorders


@handle.register
def _streams_begun(
    event: messages.StreamsBegun, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for each in event.streams:
        begun = Begun(each.service, each.software, now - each.age_s)
        note_version(state, each.service, each.software, begun.at)
        add(state.reported, each.id, begun)
    return ()


@handle.register
def _stream_asked(
    event: messages.StreamAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    found = state.reported.get(event.id) or state.own.get(event.id)
    known = messages.StreamKnown(
        **board.sender_fields,
        number=event.number,
        software=found.software if found else None,
        recent=sorted(recent(state, event.service, now)),
        is_read=state.is_read,
        is_fresh=state.is_read and _is_list_fresh(board, now),
    )
    yield actions.Send(event.sender, known)


def _is_list_fresh(board: boards.Board, now: float) -> bool:
    kind = store_fanout.ObjectKind.INSTANCES
    found = board.state(store_fanout.State).read_states[kind]
    return now - max(found.read_at, found.confirmed_at) <= FRESH_S


# On a host that is to resume a stream


@handle.register
def _software_requested(
    event: SoftwareRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = state.own.get(event.begun_by) or state.reported.get(event.begun_by)
    if known is not None:
        yield actions.Reply(event.request_id, Found(known.software))
        return
    state.last_number += 1
    asked = recorders(board)
    state.questions[state.last_number] = Question(
        event, now + ASK_S, frozenset(asked)
    )
    for host in asked:
        question = messages.StreamAsked(
            **board.sender_fields,
            number=state.last_number,
            id=event.begun_by,
            service=event.service,
        )
        yield actions.Send(host, question)


@handle.register
def _stream_known(
    event: messages.StreamKnown, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    question = state.questions.get(event.number)
    if question is None:
        return
    if event.software is not None:
        del state.questions[event.number]
        yield actions.Reply(question.asked.request_id, Found(event.software))
        return
    question = question._replace(
        waiting=question.waiting - {event.sender},
        answered=question.answered | {event.sender},
        recent=question.recent | frozenset(event.recent),
        is_fresh=question.is_fresh or event.is_fresh,
        is_read=question.is_read and event.is_read,
    )
    state.questions[event.number] = question
    if not question.waiting:
        yield from _decide(board, event.number, now)


def _decide(
    board: boards.Board, number: int, now: float
) -> Iterable[actions.Action]:
    """Replies for a stream that none of the recorders knows."""
    state = board.state(State)
    question = state.questions.pop(number)
    asked = question.asked
    versions = question.recent | recent(state, asked.service, now)
    fields = {
        "request": asked.begun_by,
        "versions": sorted(versions),
        "sure": question.is_sure,
        "silent": sorted(question.waiting),
    }
    yield actions.Log("stream_unknown", fields)
    if question.is_sure and len(versions) == 1:
        yield actions.Reply(asked.request_id, Found(*versions))
        return
    yield actions.Count("unknown_streams")
    is_final = question.is_sure and not question.waiting
    refused = outcomes.not_run(
        outcomes.Reason.STREAM_LOST,
        None if is_final else RETRY_AFTER_S,
        "it isn't known which software version began the stream",
    )
    yield actions.Reply(asked.request_id, refused)
