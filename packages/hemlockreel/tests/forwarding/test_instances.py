"""Entries that expire during a store outage, and replicas that leave."""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import instances

ONE = rigs.server("one")
TWO = rigs.server("two")


def ids(state, now):
    found = instances.usable(state, "lesar", now)
    return sorted(each.id for each in found)


@pytest.fixture
def state():
    made = instances.State()
    instances.apply_list(made, instances.InstancesListed((ONE, TWO)), 0.0)
    return made


def test_a_draining_replica_gets_no_requests_at_once(state):
    leaving = ONE._replace(draining=True)
    instances.apply_changes(
        state, instances.InstancesChanged((leaving,), ()), 1.0
    )
    assert ids(state, 1.0) == ["two"]


def test_a_removed_draining_replica_is_dropped_at_once(state):
    leaving = ONE._replace(draining=True)
    instances.apply_changes(
        state, instances.InstancesChanged((leaving,), ()), 1.0
    )
    instances.apply_changes(
        state, instances.InstancesChanged((), ("one",)), 1.1
    )
    assert "one" not in state.instances


def test_a_removed_entry_is_used_for_a_grace_period(state):
    instances.apply_changes(
        state, instances.InstancesChanged((), ("one",)), 1.0
    )
    assert ids(state, 1.5) == ["one", "two"]


def test_a_removed_entry_is_not_used_after_the_grace_period(state):
    instances.apply_changes(
        state, instances.InstancesChanged((), ("one",)), 1.0
    )
    assert ids(state, 1.0 + 1.5) == ["two"]


def test_an_entry_that_returns_stays_in_use(state):
    instances.apply_changes(
        state, instances.InstancesChanged((), ("one",)), 1.0
    )
    instances.apply_changes(state, instances.InstancesChanged((ONE,), ()), 1.5)
    assert instances.remove_expired(state, 9.0) == []
    assert ids(state, 9.0) == ["one", "two"]


def test_entries_that_expired_in_an_outage_are_used_until_they_return(state):
    instances.mark_store_unavailable(state)
    instances.apply_list(state, instances.InstancesListed(()), 10.0)
    assert ids(state, 11.7) == ["one", "two"]
    assert ids(state, 12.0) == []


def test_a_change_before_the_first_list_is_applied():
    made = instances.State()
    instances.apply_changes(made, instances.InstancesChanged((ONE,), ()), 0.0)
    assert ids(made, 0.0) == ["one"]
