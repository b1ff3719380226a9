"""Explanations of where a request would go, against what then happens."""

import copy

import pytest

from hemlockreel import core
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import helper

from hemlockreel.forwarding import explanations
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_health
from hemlockreel.forwarding import replica_pauses
from hemlockreel.forwarding import replica_selection

NOW = 50.0
WANTED = ranking.CandidatesRequested("r", "lesar", instances.Stage.PLAIN)
PLAIN = ("busy", "idle", "far", "slow", "failing")


@pytest.fixture
def board():
    """A host with replicas of one service, each in another condition."""
    board = helper.make_board()
    listed = [rigs.server(name) for name in PLAIN if name != "far"]
    listed += [
        rigs.server("far", zone="elsewhere"),
        rigs.server("paused")._replace(born=7),
        rigs.server("leaving")._replace(draining=True),
        rigs.server("changing"),
        rigs.engine("engine", "decode"),
        rigs.server("other")._replace(service="other"),
    ]
    for event in (
        instances.InstancesListed(tuple(listed)),
        replica_pauses.PauseAsked("paused", 7, 5.0),
        replica_selection.SendStarted("busy"),
        messages.PacesTold(
            sender="10.0.0.9:9",
            epoch=1,
            service="lesar",
            paces=[messages.ReplicaPace("slow", 0, 0.25, 0.5)],
        ),
    ):
        step(board, event)
    instances.mark_changing(board.state(instances.State), "changing", 60.0)
    health = board.state(replica_health.State)
    for _ in range(5):
        replica_health.record_outcome(health, "failing", False, NOW)
    return board


def step(board, event):
    return core.step(board, event, NOW, core.FORWARDING_CONTROLLERS)


def test_all_replicas_of_the_service_are_explained(board):
    found = explanations.explain(board, WANTED, NOW)
    order = [each.rating.instance.id for each in found.candidates]
    assert order == ["idle", "busy", "far", "slow", "failing"]
    assert dict(found.left_out) == {
        "paused": "it has asked this host for a pause",
        "leaving": "it leaves",
        "changing": "it is changing its stage",
        "engine": "its stage is decode",
    }
    busy, slow = found.candidates[1], found.candidates[3]
    assert busy.own_requests == 1
    assert busy.rating.load == pytest.approx(1 / 6)
    assert (slow.pace, slow.places) == (0.25, 3.0)
    assert slow.rating.skip_chance == pytest.approx(0.875)
    assert found.refused is None


def test_requests_then_go_where_it_says(board):
    found = explanations.explain(board, WANTED, NOW)
    for number, each in enumerate(found.candidates[:2], 1):
        wanted = WANTED._replace(exclude=("slow",) + ("idle",) * (number > 1))
        (reply,) = step(board, wanted)
        assert reply.value.instances[0] == each.rating.instance


def contents(value):
    """Returns the plain data that a state consists of."""
    if isinstance(value, dict):
        return {key: contents(each) for key, each in value.items()}
    if hasattr(value, "__dict__"):
        return contents(vars(value))
    return copy.copy(value)


def snapshot(board):
    """Returns what every controller knows, but for empty states."""
    return {
        kind: contents(state)
        for kind, state in board.states.items()
        if contents(state) != contents(kind())
    }


@pytest.mark.parametrize(
    "wanted",
    [WANTED, WANTED._replace(service="none"), WANTED._replace(exclude=PLAIN)],
)
def test_an_explanation_changes_nothing(board, wanted):
    states, random_state = snapshot(board), board.rng.getstate()
    explanations.explain(board, wanted, NOW)
    assert board.rng.getstate() == random_state
    assert snapshot(board) == states


def test_the_refusal_without_a_replica_is_that_of_the_request(board):
    for wanted in (
        WANTED._replace(service="none"),
        WANTED._replace(exclude=PLAIN),
    ):
        found = explanations.explain(board, wanted, NOW)
        (reply,) = step(board, wanted)
        assert isinstance(found.refused, outcomes.Refused)
        assert found.refused == reply.value._replace(
            retry_after_s=pytest.approx(reply.value.retry_after_s, rel=0.2)
        )
