"""Pattern: replicas do their part and their answers are lost in silence."""

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


def test_a_lost_prefill_is_not_waited_for_beyond_the_objective(rig):
    rig.backends.on_prefill = lambda *_: TIMED_OUT
    answer = rig.carry()
    assert answer.status == 200
    waits = [wait for kind, wait in rig.backends.waits if kind == "prefill"]
    assert max(waits) <= rigs.ROUTE.objective_s


def test_a_resumable_stream_that_does_not_begin_is_tried_elsewhere(rig):
    answers = [TIMED_OUT, rigs.begun(b"id: 1\n\n")]
    rig.backends.on_send = lambda *_: answers.pop(0)
    assert rig.carry(RESUMABLE).status == 200
    first, second = [
        wait for kind, wait in rig.backends.waits if kind == "decode"
    ]
    # Callers leave two seconds after they asked, at the earliest.
    assert first <= 2.0
    assert second > 2.0
    # The replica itself may work for as long as the caller waits.
    assert min(rig.backends.deadlines) > 10.0


def test_a_stream_that_may_run_once_is_waited_for(rig):
    rig.backends.on_send = lambda *_: rigs.begun(b"id: 1\n\n")
    rig.carry(rigs.ROUTE)
    (wait,) = [wait for kind, wait in rig.backends.waits if kind == "decode"]
    assert wait > 10.0


def test_a_stream_that_pauses_is_not_given_up_for_it(rig):
    """Pattern: a crowded replica pauses, and no other one has room.

    Whoever closes the first run to look for a second one may end with none.
    """
    paused = rigs.begun(b"id: 1\n\n", b"id: 2\n\n")
    rig.backends.on_send = lambda *_: paused
    assert rig.carry(RESUMABLE).body == b"id: 1\n\nid: 2\n\n"
    assert min(paused.opened.waits) > 10.0
