"""A stream has begun and broke off; what the next replica may add to it.

The report of issue 36: callers found the text of an error, at times with its
head, in the middle of their stream, or the stream ended as if it were
complete.
"""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel_daemon.forwarding import interfaces

ROUTE = rigs.ROUTE._replace(resumable=True, max_attempts=2)
BEGUN = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
THREE = b"id: 3\ndata: c\n\n"
EVENTS = (("Content-Type", "text/event-stream"),)
HEAD = b"HTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\nfailed"
UNFRAMED = {"framed": False}
HTML = {"headers": (("Content-Type", "text/html"),)}

NO_CONTINUATIONS = {
    "error": (b"failed\n\n", {"status": 500}),
    "not run": (b"busy\n\n", {"status": 429}),
    "no content": (b"", {"status": 204}),
    "other type": (b"failed\n\n", HTML),
    "text as an event": (b"failed\n\n", {}),
    "event without id": (b"event: error\ndata: failed\n\n", {}),
    "head of an error": (HEAD + b"\n\n", {}),
    "events once more": (BEGUN + THREE, {}),
    "last event once more": (b"id: 2\ndata: b\n\n" + THREE, {}),
    "events skipped": (b"id: 4\ndata: d\n\n", {}),
    "head after an event": (THREE + HEAD + b"\n\n", UNFRAMED),
    "empty until close": (b"", UNFRAMED),
}  # fmt: skip


@pytest.fixture
def rig():
    return rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )


def begin():
    broken = rigs.make_response(BEGUN, ConnectionResetError())
    return broken._replace(headers=EVENTS)


def handle(rig, *responses):
    left = list(responses)
    rig.backends.on_send = lambda *_: left.pop(0)
    return rig.handle_request(ROUTE)


@pytest.mark.parametrize("kind", NO_CONTINUATIONS)
def test_stream_holds_events_only_and_is_cut_visibly(rig, kind):
    body, changes = NO_CONTINUATIONS[kind]
    second = rigs.make_response(body)._replace(headers=EVENTS)
    found = handle(rig, begin(), second._replace(**changes))
    assert found.was_aborted
    assert found.body == BEGUN


def test_refusal_of_a_second_attempt_is_not_written_into_the_stream(rig):
    failure = interfaces.SendFailure(interfaces.Ran.UNKNOWN, "reset")
    found = handle(rig, begin(), failure)
    assert found.was_aborted
    assert found.body == BEGUN


@pytest.mark.parametrize(
    "body, framed",
    [
        (THREE, True),
        (THREE, False),
        (b": comment\n\n" + THREE, True),
        (b"", True),  # the first replica broke off after its last event
    ],
)
def test_stream_goes_on_after_its_last_event(rig, body, framed):
    second = rigs.make_response(body)._replace(headers=EVENTS, framed=framed)
    found = handle(rig, begin(), second)
    assert not found.was_aborted
    assert found.body == BEGUN + body


def test_ids_that_count_tokens_may_have_gaps(rig):
    first = rigs.make_response(b"id: 4\n\nid: 7\n\n", ConnectionResetError())
    found = handle(rig, first, rigs.make_response(b"id: 12\n\n"))
    assert not found.was_aborted
    assert found.body == b"id: 4\n\nid: 7\n\nid: 12\n\n"


def test_first_attempt_without_an_event_is_cut_visibly(rig):
    nothing = rigs.make_response()._replace(framed=False)
    found = handle(rig, nothing, nothing)
    assert found.was_aborted
