"""A burst in which no decode replica has free memory."""

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
    made.backends.on_hold = lambda *_: rigs.make_send_failure("no room")
    return made


def test_no_prefill_without_a_reservation(rig):
    assert rig.handle_request().status == 503
    assert rig.backends.count("prefill", "decode") == 0


def test_the_request_is_refused_well_before_the_objective(rig):
    started = clock.now()
    rig.handle_request()
    assert clock.now() - started <= 0.5 * rigs.ROUTE.objective_s + 0.2


def test_the_caller_is_told_to_retry_after_the_burst(rig):
    headers = dict(rig.handle_request(deadline_s=12.0).headers)
    # Callers wait at most a third of their remaining time.
    assert 3.0 < float(headers["Retry-After"]) <= 4.0


def test_all_decode_replicas_are_tried(rig):
    rig.handle_request()
    asked = {name for kind, name, _ in rig.backends.sent if kind == "hold"}
    assert asked == {"d1", "d2"}


def test_the_first_with_free_memory_gets_the_request(rig):
    rig.backends.on_hold = lambda instance, tokens: (
        "hold" if instance.id == "d2" else rigs.make_send_failure()
    )
    assert rig.handle_request().status == 200
    assert ("decode", "d2", "p1:1/handle") in rig.backends.sent


def test_the_calls_of_a_waiting_request_do_not_grow_with_the_fleet():
    """Each host would ask each replica in each round."""
    counts = []
    for size in (8, 80):
        decode = [rigs.engine(f"d{each}", "decode") for each in range(size)]
        rig = rigs.Rig(rigs.engine("p1", "prefill"), *decode)
        rig.backends.on_hold = lambda *_: rigs.make_send_failure("no room")
        assert rig.handle_request().status == 503
        counts.append(rig.backends.count("hold"))
    assert max(counts) <= 1.25 * min(counts)


def test_each_round_asks_other_replicas():
    decode = [rigs.engine(f"d{each}", "decode") for each in range(12)]
    rig = rigs.Rig(rigs.engine("p1", "prefill"), *decode)
    rig.backends.on_hold = lambda *_: rigs.make_send_failure("no room")
    rig.handle_request()
    asked = [name for kind, name, _ in rig.backends.sent if kind == "hold"]
    assert set(asked) == {each.id for each in decode}
