"""Streams while replicas of two versions of their software serve.

What two versions write doesn't fit together, and replicas don't check this.
"""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import blocked_parts
from hemlockreel.forwarding import stream_versions

RESUMABLE = rigs.ROUTE._replace(resumable=True, max_attempts=3)
ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"


def engine(name, software, stage="decode"):
    return rigs.engine(name, stage)._replace(software=software)


@pytest.fixture
def rig():
    return rigs.Rig(
        engine("p1", "v1", "prefill"),
        engine("old1", "v1"),
        engine("old2", "v1"),
        engine("new1", "v2"),
        engine("new2", "v2"),
    )


def serve(rig, *responses):
    """Answers the decodes in turn; returns the software that wrote each."""
    left, seen = list(responses), []

    def send(instance, options, box):
        seen.append(instance.software)
        return left.pop(0)

    rig.backends.on_send = send
    return seen


# ORDER of issue 27: an answer was joined from two versions.
@pytest.mark.parametrize("turn", range(6))
def test_a_stream_goes_on_at_the_version_that_began_it(rig, turn):
    rig.board.rng.seed(turn)
    seen = serve(
        rig,
        rigs.make_response(ONE, ConnectionResetError()),
        rigs.make_response(TWO),
    )
    response = rig.handle_request(RESUMABLE)
    assert response.body == ONE + TWO
    assert len(seen) == 2
    assert len(set(seen)) == 1


# ORDER of issue 27: a caller's next attempt got the rest from another version.
@pytest.mark.parametrize("turn", range(6))
def test_a_caller_resumes_at_the_version_that_began_the_stream(rig, turn):
    rig.board.rng.seed(turn)
    seen = serve(
        rig,
        rigs.make_response(ONE, ConnectionResetError()),
        rigs.make_response(TWO),
    )
    begun = rig.handle_request(RESUMABLE._replace(max_attempts=1))
    assert begun.body == ONE
    rig.handle_request(RESUMABLE, resume_after="1", resumes="id")
    assert len(seen) == 2
    assert len(set(seen)) == 1


def test_a_stream_ends_if_its_version_has_no_replica_left():
    rig = rigs.Rig(
        engine("p1", "v1", "prefill"),
        engine("old1", "v1"),
        engine("new1", "v2"),
    )
    for turn in range(6):
        rig.board.rng.seed(turn)
        seen = serve(rig, rigs.make_response(ONE, ConnectionResetError()))
        response = rig.handle_request(RESUMABLE)
        assert response.was_aborted
        assert len(seen) == 1


def test_the_attempts_at_one_stream_accuse_it_once():
    """BUDGET, seed 1 of the soak's crashing parts: engines crash beside it."""
    rig = rigs.Rig(engine("p1", "v1", "prefill"), engine("d1", "v1"))
    begun = stream_versions.StreamBegun("first", "lesar", "v1")
    rig.loop.post(begun)
    serve(rig, rigs.make_response(TWO, ConnectionResetError()))
    route = RESUMABLE._replace(max_attempts=1)
    rig.handle_request(route, resume_after="1", resumes="first")
    broken = [
        each.request_id
        for each in rig.loop.seen
        if isinstance(each, blocked_parts.RunBroken)
    ]
    assert broken == ["first"]


def test_a_run_without_an_event_binds_nothing(rig):
    """The first replica breaks off before its first event is complete."""
    torn = rigs.make_response(b"id: 1\nda", ConnectionResetError())
    rig.backends.on_hold = lambda instance, tokens: (
        "hold" if instance.software == wanted[0] else rigs.make_send_failure()
    )
    wanted = ["v1"]

    def send(instance, options, box):
        wanted[0] = "v2"
        return torn if instance.software == "v1" else rigs.make_response(ONE)

    rig.backends.on_send = send
    assert rig.handle_request(RESUMABLE).body == ONE
