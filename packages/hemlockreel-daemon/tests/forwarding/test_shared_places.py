"""Requests whose places one host gives for all hosts."""

import contextlib

import pytest

from hemlockreel import messages
from hemlockreel_daemon import clock
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import shared_placement


@pytest.fixture
def own():
    """A host that gives the places itself."""
    made = rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )
    made.board.state(shared_placement.State).is_shared = True
    return made


def occupy(rig, replica, count, stage="decode", tokens=1000):
    """Has another host report places."""
    places = [
        messages.HeldPlace(f"{replica}{each}", replica, tokens)
        for each in range(count)
    ]
    rig.loop.post(
        messages.PlacesHeld(
            sender="other:1",
            epoch=1,
            service="lesar",
            stage=stage,
            places=places,
        )
    )


def test_the_replica_with_room_is_asked_first(own):
    occupy(own, "d1", 16)
    for _ in range(5):
        assert own.handle_request().status == 200
    asked = {name for kind, name, _ in own.backends.sent if kind == "hold"}
    assert asked == {"d2"}


def test_no_replica_is_asked_while_all_are_full(own):
    occupy(own, "d1", 16)
    occupy(own, "d2", 16)
    exchange = own.handle_request()
    assert exchange.status == 503
    assert own.backends.count("hold", "prefill") == 0


def test_a_replica_that_refuses_is_followed_by_another(own):
    own.backends.on_hold = lambda instance, tokens: (
        "hold" if instance.id == "d2" else rigs.make_send_failure()
    )
    for _ in range(4):
        assert own.handle_request().status == 200
    assert own.backends.count("hold") < 8


def test_all_places_are_given_back(own):
    own.handle_request()
    own.backends.on_hold = lambda *_: rigs.make_send_failure("no room")
    own.handle_request()
    state = own.board.state(shared_placement.State)
    assert not state.held
    assert state.pools
    assert all(each.is_idle for each in state.pools.values())


def test_a_place_is_given_back_if_the_release_fails(own, monkeypatch):
    def fail(*_):
        raise RuntimeError("lost")

    monkeypatch.setattr(own.backends, "release_reservation", fail)
    own.backends.on_send = lambda *_: rigs.make_send_failure()
    with contextlib.suppress(RuntimeError):
        own.handle_request()
    assert own.backends.count("hold")
    state = own.board.state(shared_placement.State)
    assert not state.held
    assert all(each.is_idle for each in state.pools.values())


def test_silence_of_the_giver_costs_a_part_of_the_objective(own, monkeypatch):
    monkeypatch.setattr(shared_placement, "giver", lambda *_: "gone:1")
    started = clock.now()
    assert own.handle_request().status == 200
    assert clock.now() - started < 0.5 * rigs.ROUTE.objective_s
    started = clock.now()
    own.handle_request()
    assert clock.now() - started < 0.05 * rigs.ROUTE.objective_s
    assert not any(
        isinstance(each, shared_placement.PlaceUnanswered)
        for each in own.loop.seen[-20:]
    )
