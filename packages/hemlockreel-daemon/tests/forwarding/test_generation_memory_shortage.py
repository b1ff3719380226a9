"""Pattern: a burst in which no decode replica has memory left."""

import pytest

from hemlockreel_daemon import clock
from hemlockreel_standins import forwarding_rig as rigs


@pytest.fixture
def rig():
    made = rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )
    made.backends.on_hold = lambda *_: rigs.refused("no room")
    return made


def test_no_prompt_is_read_without_memory_for_it(rig):
    assert rig.carry().status == 503
    assert rig.backends.count("prefill", "decode") == 0


def test_the_refusal_comes_well_before_the_objective(rig):
    started = clock.now()
    rig.carry()
    assert clock.now() - started <= 0.5 * rigs.ROUTE.objective_s + 0.2


def test_the_caller_is_told_to_come_back_after_the_burst(rig):
    headers = dict(rig.carry(deadline_s=12.0).headers)
    # A third of the time left is as long as callers wait.
    assert 3.0 < float(headers["Retry-After"]) <= 4.0


def test_all_decode_replicas_are_asked(rig):
    rig.carry()
    asked = {name for kind, name, _ in rig.backends.sent if kind == "hold"}
    assert asked == {"d1", "d2"}


def test_the_first_with_room_gets_the_request(rig):
    rig.backends.on_hold = lambda instance, tokens: (
        "hold" if instance.id == "d2" else rigs.refused()
    )
    assert rig.carry().status == 200
    assert ("decode", "d2", "p1:1/handle") in rig.backends.sent
