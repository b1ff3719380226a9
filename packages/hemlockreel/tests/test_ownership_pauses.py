"""Hosts that stand still and go on: no stream ends, no memory is kept."""

import pytest

from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import renewal
from hemlockreel import takeover
from hemlockreel_standins import fleet_fabric

FREE_WITHIN_S = 4.0
SHARD = "lesar@midt-norge/shared/"


@pytest.fixture(params=range(4))
def fleet(request):
    return fleet_fabric.Fleet(seed=request.param)


def freeze_owner(fleet):
    """Begins a stream and lets its owner stand still.

    Returns the owner and the entry.
    """
    owner, entry = fleet.roles(SHARD)
    fleet.ask(entry, "r1")
    fleet.fabric.frozen.add(owner)
    return owner, entry


def freeze_and_cut(fleet):
    """Does :func:`freeze_owner` and cuts the entry off from the owner."""
    owner, entry = freeze_owner(fleet)
    fleet.fabric.run(1.0)
    fleet.fabric.cut({entry}, {owner})
    return owner, entry


def assert_runs_on(fleet):
    """Checks that the stream has a holder and nothing was cancelled."""
    assert fleet.holders("r1")
    assert fleet.cancelled == []


@pytest.mark.parametrize("freeze_s", [1.5, 3.0, 10.0])
def test_owner_frozen_and_continued_cancels_no_stream(fleet, freeze_s):
    freeze_owner(fleet)
    fleet.fabric.run(freeze_s)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(20.0)
    assert_runs_on(fleet)
    holding = [fleet.granted_by(at) for at in fleet.fabric.boards]
    assert sum(holding) == 1


def test_owner_frozen_and_word_of_the_move_lost_cancels_no_stream(fleet):
    freeze_and_cut(fleet)
    fleet.fabric.run(5.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.cuts.clear()
    fleet.fabric.run(20.0)
    assert_runs_on(fleet)


@pytest.mark.parametrize("late_s", [0.4, 0.7, 1.1, 2.0])
@pytest.mark.parametrize("freeze_s", [2.0, 4.0])
def test_owner_continued_and_first_reached_later_cancels_no_stream(
    fleet, freeze_s, late_s
):
    """The connections to a host that stood still are dialled anew."""
    freeze_and_cut(fleet)
    fleet.fabric.run(freeze_s - 1.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(late_s)
    fleet.fabric.cuts.clear()
    fleet.fabric.run(20.0)
    assert_runs_on(fleet)
    holding = [fleet.granted_by(at) for at in fleet.fabric.boards]
    assert sum(holding) == 1


def test_owner_continued_after_its_entry_died_frees_the_memory(fleet):
    _, entry = freeze_owner(fleet)
    fleet.fabric.run(1.0)
    fleet.fabric.kill(entry)
    fleet.fabric.run(1.5)
    fleet.fabric.frozen.clear()
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def moved_away(fleet, entry, owner):
    """Returns the messages that told ``owner`` of grants taken over."""
    return [
        action.message
        for action in fleet.fabric.sent[entry]
        if action.to == owner and isinstance(action.message, messages.Moved)
    ]


def test_word_of_a_move_that_comes_after_the_grant_is_back(fleet):
    """Two connections to a host that stood still keep no common order."""
    owner, entry = freeze_and_cut(fleet)
    fleet.fabric.run(5.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.cuts.clear()
    fleet.fabric.run(takeover.RELIST_S + 5.0)
    assert fleet.granted_by(owner) == 1
    (late,) = moved_away(fleet, entry, owner)
    fleet.fabric.post(owner, late)
    fleet.fabric.run(15.0)
    assert_runs_on(fleet)
    assert fleet.granted_by(owner) == 1


def test_heartbeat_for_a_moved_grant_does_not_end_its_stream(fleet):
    """Word that the grant is back at its first owner may have been lost."""
    owner, entry = fleet.roles(SHARD)
    grant = fleet.ask(entry, "r1")
    fleet.fabric.frozen.add(owner)
    fleet.fabric.run(4.0)
    fleet.fabric.frozen.clear()
    while fleet.granted_by(owner):
        fleet.fabric.run(0.01)
    listed = messages.GrantList(
        **fleet.fabric.boards[entry].sender_fields, grant_ids=[grant.grant_id]
    )
    fleet.fabric.post(owner, listed)
    fleet.fabric.run(15.0)
    assert_runs_on(fleet)


def test_entry_frozen_past_its_lease_loses_its_grant_for_good(fleet):
    _, entry = fleet.roles(SHARD)
    fleet.ask(entry, "r1")
    fleet.fabric.frozen.add(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S
    fleet.fabric.run(5.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(3.0)
    assert fleet.told["r1"] == outcomes.unknown(outcomes.Reason.REVOKED)
    assert [fleet.granted_by(at) for at in fleet.fabric.boards] == [0] * 4


def test_entry_frozen_past_its_lease_at_an_adopting_owner(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.ask(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.fabric.run(6.0)
    fleet.fabric.frozen.add(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S
    fleet.fabric.run(1.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(3.0)
    assert fleet.told["r1"] == outcomes.unknown(outcomes.Reason.REVOKED)
    assert [fleet.granted_by(at) for at in fleet.fabric.boards] == [0] * 3


def test_owner_frozen_while_its_last_question_is_answered(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.ask(entry, "r1")
    fleet.fabric.cut({entry}, {owner})
    asked = fleet.fabric.boards[owner].state(renewal.State).asked
    while not asked:
        fleet.fabric.run(0.01)
    fleet.fabric.cuts.clear()
    fleet.fabric.frozen.add(owner)
    fleet.fabric.run(3.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(10.0)
    assert_runs_on(fleet)


def test_request_started_after_its_grant_was_revoked_is_cancelled(fleet):
    _, entry = fleet.roles(SHARD)
    grant = fleet.ask(entry, "r1")
    fleet.fabric.frozen.add(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S
    # The entry's worker was paused just before it called the engine.
    fleet.held[grant.replica].add("r1")
    fleet.fabric.frozen.clear()
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


@pytest.mark.parametrize("second", ["entry", "owner"])
def test_entry_frozen_and_continued_while_the_other_dies(fleet, second):
    owner, entry = fleet.roles(SHARD)
    fleet.ask(entry, "r1")
    fleet.fabric.frozen.add(entry)
    fleet.fabric.run(1.0)
    fleet.fabric.kill(owner if second == "owner" else entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S - 1.0 + 2.0
