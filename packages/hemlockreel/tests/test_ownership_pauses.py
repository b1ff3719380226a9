"""Hosts that are paused and resumed end no stream and keep no memory."""

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


def pause_owner(fleet):
    """Starts a stream and pauses its owner; returns the owner and entry."""
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.frozen.add(owner)
    return owner, entry


def pause_owner_and_cut_entry(fleet):
    """Does :func:`pause_owner`; 1 s later, cuts the entry from the owner."""
    owner, entry = pause_owner(fleet)
    fleet.fabric.run(1.0)
    fleet.fabric.cut({entry}, {owner})
    return owner, entry


def assert_runs_on(fleet):
    """Checks that the stream still runs and nothing was cancelled."""
    assert fleet.holders("r1")
    assert fleet.cancelled == []


@pytest.mark.parametrize("freeze_s", [1.5, 3.0, 10.0])
def test_owner_paused_and_resumed_cancels_no_stream(fleet, freeze_s):
    pause_owner(fleet)
    fleet.fabric.run(freeze_s)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(20.0)
    assert_runs_on(fleet)
    holding = [fleet.granted_by(at) for at in fleet.fabric.boards]
    assert sum(holding) == 1


def test_owner_paused_and_moved_message_lost_cancels_no_stream(fleet):
    pause_owner_and_cut_entry(fleet)
    fleet.fabric.run(5.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.cuts.clear()
    fleet.fabric.run(20.0)
    assert_runs_on(fleet)


@pytest.mark.parametrize("late_s", [0.4, 0.7, 1.1, 2.0])
@pytest.mark.parametrize("freeze_s", [2.0, 4.0])
def test_resumed_owner_that_is_unreachable_at_first_cancels_no_stream(
    fleet, freeze_s, late_s
):
    """The entry has to reconnect to an owner that was paused."""
    pause_owner_and_cut_entry(fleet)
    fleet.fabric.run(freeze_s - 1.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(late_s)
    fleet.fabric.cuts.clear()
    fleet.fabric.run(20.0)
    assert_runs_on(fleet)
    holding = [fleet.granted_by(at) for at in fleet.fabric.boards]
    assert sum(holding) == 1


def test_resumed_owner_frees_the_memory_of_a_dead_entry(fleet):
    _, entry = pause_owner(fleet)
    fleet.fabric.run(1.0)
    fleet.fabric.kill(entry)
    fleet.fabric.run(1.5)
    fleet.fabric.frozen.clear()
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def moved_messages(fleet, entry, owner):
    """Returns the messages to ``owner`` about grants that have moved away."""
    return [
        action.message
        for action in fleet.fabric.sent[entry]
        if action.to == owner and isinstance(action.message, messages.Moved)
    ]


def test_moved_message_that_arrives_after_the_grant_has_returned(fleet):
    """Messages on two connections to a paused host may arrive out of order."""
    owner, entry = pause_owner_and_cut_entry(fleet)
    fleet.fabric.run(5.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.cuts.clear()
    fleet.fabric.run(takeover.LIST_INTERVAL_S + 5.0)
    assert fleet.granted_by(owner) == 1
    (late,) = moved_messages(fleet, entry, owner)
    fleet.fabric.post(owner, late)
    fleet.fabric.run(15.0)
    assert_runs_on(fleet)
    assert fleet.granted_by(owner) == 1


def test_grant_list_with_a_moved_grant_does_not_end_its_stream(fleet):
    """The report that the grant is back at its first owner may be lost."""
    owner, entry = fleet.roles(SHARD)
    grant = fleet.request_completion(entry, "r1")
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


def test_entry_paused_past_its_lease_loses_its_grant(fleet):
    _, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.frozen.add(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S
    fleet.fabric.run(5.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(3.0)
    assert fleet.replies["r1"] == outcomes.may_have_run(
        outcomes.Reason.REVOKED
    )
    assert [fleet.granted_by(at) for at in fleet.fabric.boards] == [0] * 4


def test_entry_paused_past_its_lease_loses_an_adopted_grant(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.fabric.run(6.0)
    fleet.fabric.frozen.add(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S
    fleet.fabric.run(1.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(3.0)
    assert fleet.replies["r1"] == outcomes.may_have_run(
        outcomes.Reason.REVOKED
    )
    assert [fleet.granted_by(at) for at in fleet.fabric.boards] == [0] * 3


def test_owner_paused_while_its_final_query_is_answered(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.cut({entry}, {owner})
    queries = fleet.fabric.boards[owner].state(renewal.State).final_queries
    while not queries:
        fleet.fabric.run(0.01)
    fleet.fabric.cuts.clear()
    fleet.fabric.frozen.add(owner)
    fleet.fabric.run(3.0)
    fleet.fabric.frozen.clear()
    fleet.fabric.run(10.0)
    assert_runs_on(fleet)


def test_request_started_after_its_grant_was_revoked_is_cancelled(fleet):
    _, entry = fleet.roles(SHARD)
    grant = fleet.request_completion(entry, "r1")
    fleet.fabric.frozen.add(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S
    # The entry's worker was paused just before it called the engine.
    fleet.held[grant.replica].add("r1")
    fleet.fabric.frozen.clear()
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


@pytest.mark.parametrize("second", ["entry", "owner"])
def test_entry_paused_before_it_or_its_owner_is_killed(fleet, second):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.frozen.add(entry)
    fleet.fabric.run(1.0)
    fleet.fabric.kill(owner if second == "owner" else entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S - 1.0 + 2.0
