"""Replicas execute requests, but their responses are lost."""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel_daemon.forwarding import interfaces

RESUMABLE = rigs.ROUTE._replace(resumable=True, max_attempts=2)
TIMED_OUT = interfaces.SendFailure(
    interfaces.Ran.UNKNOWN, "timed out", timed_out=True
)


@pytest.fixture
def rig():
    return rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )


def test_the_wait_for_a_prefill_is_limited_to_the_objective(rig):
    """A decode replica that read the prompt would pause all its streams."""
    rig.backends.on_prefill = lambda *_: TIMED_OUT
    response = rig.handle_request(deadline_s=12.0)
    waits = [wait for kind, wait in rig.backends.waits if kind == "prefill"]
    assert max(waits) <= rigs.ROUTE.objective_s
    assert rig.backends.count("decode") == 0
    assert response.status == 503
    assert 3.0 < float(dict(response.headers)["Retry-After"]) <= 4.0


def test_its_memory_is_released(rig):
    rig.backends.on_prefill = lambda *_: TIMED_OUT
    rig.handle_request()
    assert rig.backends.count("drop") == rig.backends.count("hold") == 1


def test_a_stream_that_has_begun_goes_on_without_a_prefill_replica(rig):
    responses = [
        rigs.make_response(b"id: 1\n\nid: 2"),
        rigs.make_response(b"id: 2\n\n"),
    ]
    rig.backends.on_send = lambda *_: responses.pop(0)
    read = rig.backends.on_prefill
    rig.backends.on_prefill = lambda *args: (
        TIMED_OUT if rig.backends.count("decode") else read(*args)
    )
    response = rig.handle_request(RESUMABLE)
    assert response.body == b"id: 1\n\nid: 2\n\n"


def test_a_resumable_stream_without_a_head_is_retried_elsewhere(rig):
    responses = [TIMED_OUT, rigs.make_response(b"id: 1\n\n")]
    rig.backends.on_send = lambda *_: responses.pop(0)
    assert rig.handle_request(RESUMABLE).status == 200
    first, second = [
        wait for kind, wait in rig.backends.waits if kind == "decode"
    ]
    # Callers leave 2 s after their request at the earliest.
    assert first <= 2.0
    assert second > 2.0
    # The replica's own deadline is that of the caller.
    assert min(rig.backends.deadlines) > 10.0


def test_a_stream_that_may_run_once_has_the_full_deadline(rig):
    rig.backends.on_send = lambda *_: rigs.make_response(b"id: 1\n\n")
    rig.handle_request(rigs.ROUTE)
    (wait,) = [wait for kind, wait in rig.backends.waits if kind == "decode"]
    assert wait > 10.0


def test_a_started_stream_that_pauses_is_not_abandoned(rig):
    """A loaded replica pauses while no other one has free memory.

    Closing the first run to try another replica could end with no run at all.
    """
    paused = rigs.make_response(b"id: 1\n\n", b"id: 2\n\n")
    rig.backends.on_send = lambda *_: paused
    assert rig.handle_request(RESUMABLE).body == b"id: 1\n\nid: 2\n\n"
    assert min(paused.opened.waits) > 10.0
