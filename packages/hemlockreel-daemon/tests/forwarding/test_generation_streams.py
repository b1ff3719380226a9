"""Streams that fail midway, and callers that disconnect."""

import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import http_calls
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel_daemon.forwarding import interfaces

RESUMABLE = rigs.ROUTE._replace(resumable=True, max_attempts=2)
ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"


@pytest.fixture
def rig():
    return rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )


def respond_with(rig, *responses):
    """Gives the decodes ``responses`` in turn; returns what they received."""
    left, seen = list(responses), []

    def send(instance, options, box):
        seen.append((instance.id, options.resume_after))
        return left.pop(0)

    rig.backends.on_send = send
    return seen


def test_a_stream_resumes_at_another_replica_after_its_last_event(rig):
    torn = rigs.make_response(ONE, b"id: 2\nda", ConnectionResetError())
    seen = respond_with(rig, torn, rigs.make_response(TWO))
    response = rig.handle_request(RESUMABLE)
    assert (response.status, response.body) == (200, ONE + TWO)
    assert not response.was_aborted
    assert [after for _, after in seen] == ["", "1"]
    assert seen[0][0] != seen[1][0]
    assert torn.opened.closed


def test_the_head_of_the_first_response_is_kept(rig):
    respond_with(
        rig,
        rigs.make_response(ONE, ConnectionResetError()),
        rigs.make_response(TWO)._replace(headers=(("X-Own", "2"),)),
    )
    assert rig.handle_request(RESUMABLE).headers == (("X-Own", "1"),)


def test_a_failed_stream_that_may_not_be_resumed_is_aborted(rig):
    respond_with(rig, rigs.make_response(ONE, ConnectionResetError()))
    response = rig.handle_request(rigs.ROUTE)
    assert response.was_aborted
    assert response.body == ONE


def test_a_stream_that_ends_inside_an_event_is_aborted(rig):
    respond_with(rig, rigs.make_response(ONE, b"id: 2\nda"))
    assert rig.handle_request(rigs.ROUTE).was_aborted


def test_a_stream_runs_at_max_attempts_replicas_at_most(rig):
    respond_with(
        rig,
        rigs.make_response(ONE, ConnectionResetError()),
        rigs.make_response(TWO, ConnectionResetError()),
    )
    assert rig.handle_request(RESUMABLE).was_aborted
    assert rig.backends.count("decode") == 2


def test_a_run_that_may_have_started_is_not_refused_as_not_run(rig):
    respond_with(rig, interfaces.SendFailure(interfaces.Ran.UNKNOWN, "reset"))
    assert rig.handle_request(rigs.ROUTE).status == 502
    assert rig.backends.count("decode") == 1


def test_an_error_response_is_forwarded_completely(rig):
    respond_with(rig, rigs.make_response(b"oops", status=500))
    response = rig.handle_request(rigs.ROUTE)
    assert (response.status, response.body) == (500, b"oops")


def test_everything_is_freed_when_the_caller_leaves_during_prefill(rig):
    def leave(instance, request):
        rig.box.stop(outcomes.Reason.CALLER_GONE)
        return interfaces.PrefillResult("handle", "p1:1/handle", 5000, "p1")

    rig.backends.on_prefill = leave
    response = rig.handle_request()
    assert response.was_aborted
    assert rig.backends.count("decode") == 0
    assert rig.backends.count("free") == 1
    assert rig.backends.count("drop") == 1


def test_a_stream_is_not_resumed_for_a_disconnected_caller(rig):
    first = rigs.make_response(ONE, TWO)
    respond_with(rig, first, rigs.make_response(TWO))
    rig.handle_request(RESUMABLE, gone=True)
    assert rig.backends.count("decode") == 1
    assert first.opened.closed


def test_without_a_prefill_replica_the_decode_replica_prefills():
    rig = rigs.Rig(rigs.engine("d1", "decode"))
    respond_with(rig, rigs.make_response(ONE))
    assert rig.handle_request().body == ONE
    assert rig.backends.count("prefill") == 0


def test_a_replica_that_starts_draining_gets_no_decode(rig):
    """The replica starts to drain between its reservation and the decode."""
    leaving = tuple(
        rigs.engine(name, "decode")._replace(draining=True)
        for name in ("d1", "d2")
    )

    def drain(instance, request):
        rig.loop.post(rigs.instances.InstancesChanged(leaving, ()))
        return interfaces.PrefillResult("handle", "p1:1/handle", 5000, "p1")

    rig.backends.on_prefill = drain
    assert rig.handle_request().status == 503
    assert rig.backends.count("decode") == 0
    assert rig.backends.count("drop") == rig.backends.count("hold")


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_an_event_without_end_is_a_failure_of_its_replica(max_attempts):
    """The stream goes on elsewhere, or ends visibly incomplete."""
    rig = rigs.Rig(rigs.engine("d1", "decode"), rigs.engine("d2", "decode"))
    endless = [b"x" * 2**16] * (http_calls.limits().event_bytes // 2**16 + 1)
    streams = [
        rigs.make_response(b"id: 1\n\nid: 2\ndata: ", *endless, b"\n\n"),
        rigs.make_response(b"id: 2\n\n"),
    ]
    rig.backends.on_send = lambda *_: streams.pop(0)
    route = rigs.ROUTE._replace(resumable=True, max_attempts=max_attempts)
    found = rig.handle_request(route)
    if max_attempts == 1:
        assert found.was_aborted
        assert found.body == b"id: 1\n\n"
    else:
        assert not found.was_aborted
        assert found.body == b"id: 1\n\nid: 2\n\n"
