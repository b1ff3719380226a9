"""Times of a stream's events, which the pace of its replica follows from."""

import pytest

from hemlockreel_daemon import clock
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import replica_pace
from hemlockreel_daemon.forwarding import stream_forwarding
from hemlockreel_daemon.forwarding import stream_times

EVENT = replica_pace.Kind.EVENT
FIRST_EVENT = replica_pace.Kind.FIRST_EVENT


class Stream:
    """A stream with an event every 50 ms from 0.2 s on."""

    def __init__(self, was_prefilled=True):
        self.reports = []
        self.timer = stream_times.Timer(
            lambda *report: self.reports.append(report), 0.0, was_prefilled
        )

    def play(self, events, caller_s=0.0):
        for number in range(events):
            self.timer.note_events(1, 0.2 + 0.05 * number)
            self.timer.note_caller(caller_s)


def test_a_running_stream_is_reported_before_it_ends():
    stream = Stream()
    stream.play(12)
    first, events = stream.reports
    assert first == (FIRST_EVENT, 0.2, 0.0)
    assert events[0] is EVENT
    assert events[1:] == pytest.approx((0.05, 0.5), abs=0.051)


def test_a_short_stream_is_reported_at_its_end():
    stream = Stream()
    stream.play(4)
    stream.timer.finish(0.35)
    assert stream.reports[1][1:] == pytest.approx((0.05, 0.15))


def test_a_slow_caller_is_not_taken_for_a_slow_replica():
    stream = Stream()
    stream.play(30, caller_s=0.03)
    assert [kind for kind, *_ in stream.reports] == [FIRST_EVENT]


def test_the_time_of_a_prefill_is_not_taken_for_that_of_the_first_event():
    stream = Stream(was_prefilled=False)
    stream.play(3)
    assert not stream.reports


def timed(rig):
    """Returns the kinds that a handler timed, by replica."""
    return [
        (event.id, event.kind)
        for event in rig.loop.seen
        if isinstance(event, replica_pace.AnswerTimed)
    ]


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (rigs.make_response(b"whole"), [("a", replica_pace.Kind.ANSWER)]),
        (rigs.make_response(b"oops", status=500), []),
        (rigs.make_response(b"par", ConnectionResetError()), []),
        (rigs.make_send_failure(), []),
    ],
)
def test_only_a_plain_answer_that_succeeds_is_timed(answer, expected):
    rig = rigs.Rig(rigs.server("a"))
    rig.backends.on_send = lambda *_: answer
    route = rigs.ROUTE._replace(
        kind=deployments.RouteKind.NON_IDEMPOTENT, max_attempts=1
    )
    rig.handle_request(route, deployments.Service("lesar", 192), None)
    assert timed(rig) == expected


class SteppedClock:
    """Time that passes only while a replica's bytes are read."""

    def __init__(self):
        self.at = clock.now()

    def now(self):
        return self.at


def test_the_events_of_a_stream_are_timed_at_its_decode_replica(monkeypatch):
    stepped = SteppedClock()
    monkeypatch.setattr(stream_forwarding, "clock", stepped)

    class Response(rigs.Response):
        def read1(self, *arguments, **options):
            stepped.at += 0.05
            return super().read1(*arguments, **options)

    def send(*_):
        head = rigs.make_response()
        head.opened.response = Response(b"id: 1\n\n", b"id: 2\n\n")
        return head

    rig = rigs.Rig(rigs.engine("p", "prefill"), rigs.engine("d", "decode"))
    rig.backends.on_send = send
    rig.handle_request()
    assert timed(rig) == [("d", FIRST_EVENT), ("d", EVENT)]
