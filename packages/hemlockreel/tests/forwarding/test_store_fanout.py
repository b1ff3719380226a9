"""Store updates in large fleets, with failed readers and lost messages."""

import pytest

from hemlockreel_standins import feed_rig
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import store_fanout

# Within the platform's stability_ms of 4 s; the rest is for the call itself.
MAX_PROPAGATION_S = 3.6
LARGE = 36


def make(count=LARGE, seed=1):
    """Returns a fleet whose membership and list of replicas are stable."""
    made = feed_rig.Fleet(count, seed)
    for name in ("p1", "d1", "d2"):
        made.change(rigs.engine(name, "decode"))
    made.run(10.0)
    return made


@pytest.fixture
def fleet():
    return make()


def changed_replica(name="d1"):
    """Returns the replica ``name`` with another address."""
    return rigs.engine(name, "decode")._replace(address="127.0.0.1:99")


def total(fleet):
    return sum(fleet.calls.values())


def test_every_host_of_a_small_fleet_reads_the_store():
    fleet = make(store_fanout.MAX_SMALL_FLEET_HOSTS)
    assert fleet.readers() == set()
    before = total(fleet)
    fleet.run(10.0)
    assert total(fleet) - before >= 2 * store_fanout.MAX_SMALL_FLEET_HOSTS * 2


@pytest.mark.parametrize("count", [40, 100])
def test_calls_of_a_quiet_fleet_do_not_grow_with_its_hosts(count):
    fleet = make(count)
    before = total(fleet)
    fleet.run(10.0)
    kinds = len(store_fanout.ObjectKind)
    most = (
        store_fanout.READER_COUNT
        * kinds
        * (10.0 / store_fanout.READER_WATCH_S + 1)
    )
    assert total(fleet) - before <= most


def test_only_readers_call_the_store_for_changes(fleet):
    before = fleet.calls[store_fanout.ObjectKind.INSTANCES]
    for number in range(20):
        fleet.change(changed_replica()._replace(slots=number + 1))
        fleet.run(0.5)
    made = fleet.calls[store_fanout.ObjectKind.INSTANCES] - before
    assert made <= store_fanout.READER_COUNT * (
        20 + 10.0 / store_fanout.READER_WATCH_S + 1
    )


def test_a_changed_replica_is_known_at_all_hosts_at_once(fleet):
    fleet.change(changed_replica())
    fleet.run(0.4)
    assert fleet.hosts_with_instance(changed_replica()) == set(fleet.hosts)


def test_a_removed_replica_is_removed_at_all_hosts(fleet):
    fleet.change(rigs.engine("d1", "decode"), gone=True)
    fleet.run(MAX_PROPAGATION_S)
    assert fleet.hosts_with_instance(rigs.engine("d1", "decode")) == set()


def test_a_new_deployment_is_in_force_at_all_hosts_soon(fleet):
    fleet.configure()
    fleet.run(1.0)
    assert fleet.hosts_with_version(2) == set(fleet.hosts)


def test_writes_of_other_kinds_cost_no_calls(fleet):
    before = total(fleet)
    for _ in range(50):
        fleet.write_other()
        fleet.run(0.1)
    most = (
        store_fanout.READER_COUNT
        * len(store_fanout.ObjectKind)
        * (5.0 / store_fanout.READER_WATCH_S + 1)
    )
    assert total(fleet) - before <= most


def test_store_without_history_is_read_again_by_the_readers_only(fleet):
    fleet.change(changed_replica("d1"))
    fleet.change(rigs.engine("d2", "decode"), gone=True)
    before = fleet.calls[store_fanout.ObjectKind.INSTANCES]
    fleet.expire_watches()
    fleet.run(MAX_PROPAGATION_S)
    made = fleet.calls[store_fanout.ObjectKind.INSTANCES] - before
    assert made <= store_fanout.READER_COUNT * (
        2 + MAX_PROPAGATION_S / store_fanout.READER_WATCH_S
    )
    assert fleet.hosts_with_instance(changed_replica("d1")) == set(fleet.hosts)
    assert fleet.hosts_with_instance(rigs.engine("d2", "decode")) == set()


@pytest.mark.parametrize("seed", range(4))
def test_all_readers_killed_just_after_a_change(seed):
    fleet = make(seed=seed)
    for at in fleet.readers():
        fleet.fabric.kill(at)
    fleet.change(changed_replica())
    fleet.configure()
    fleet.run(MAX_PROPAGATION_S)
    assert fleet.hosts_with_instance(changed_replica()) == set(fleet.hosts)
    assert fleet.hosts_with_version(2) == set(fleet.hosts)


@pytest.mark.parametrize("seed", range(4))
def test_all_readers_frozen_just_after_a_change(seed):
    fleet = make(seed=seed)
    frozen = fleet.readers()
    fleet.fabric.frozen |= frozen
    fleet.change(changed_replica())
    fleet.configure()
    fleet.run(MAX_PROPAGATION_S)
    assert fleet.hosts_with_instance(changed_replica()) | frozen == set(
        fleet.hosts
    )
    assert fleet.hosts_with_version(2) | frozen == set(fleet.hosts)


@pytest.mark.parametrize("seed", range(4))
def test_store_that_does_not_respond_to_the_readers(seed):
    fleet = make(seed=seed)
    fleet.unreachable = fleet.readers()
    fleet.change(changed_replica())
    fleet.configure()
    fleet.run(MAX_PROPAGATION_S)
    assert fleet.hosts_with_instance(
        changed_replica()
    ) | fleet.unreachable == set(fleet.hosts)
    assert fleet.hosts_with_version(2) | fleet.unreachable == set(fleet.hosts)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("before_s", [0.8, 1.2, 1.6, 2.0])
def test_new_reader_does_not_confirm_what_a_host_has_missed(seed, before_s):
    """The new reader received a broadcast that one host missed."""
    fleet = make(seed=seed)
    readers = fleet.readers()
    deaf = next(at for at in fleet.hosts if at not in readers)
    fleet.fabric.kill(readers.pop())
    fleet.run(before_s)
    fleet.fabric.cut(readers, {deaf})
    fleet.change(changed_replica())
    fleet.run(0.3)
    fleet.fabric.cuts.clear()
    fleet.run(MAX_PROPAGATION_S)
    assert deaf in fleet.hosts_with_instance(changed_replica())


@pytest.mark.parametrize("loss", [0.2, 0.6])
def test_lost_messages_delay_changes_but_lose_none(loss):
    fleet = make()
    fleet.fabric.loss = loss
    for number in range(6):
        last = changed_replica()._replace(slots=number + 1)
        fleet.change(last)
        fleet.run(0.7)
    fleet.configure()
    fleet.run(MAX_PROPAGATION_S)
    assert fleet.hosts_with_instance(last) == set(fleet.hosts)
    assert fleet.hosts_with_version(2) == set(fleet.hosts)


def test_host_without_contact_to_others_reads_the_store(fleet):
    alone = next(at for at in fleet.hosts if at not in fleet.readers())
    rest = set(fleet.hosts) - {alone}
    fleet.fabric.cut({alone}, rest)
    fleet.fabric.cut(rest, {alone})
    fleet.run(1.0)
    fleet.change(changed_replica())
    fleet.configure()
    fleet.run(MAX_PROPAGATION_S)
    assert alone in fleet.hosts_with_instance(changed_replica())
    assert alone in fleet.hosts_with_version(2)


def test_paused_host_learns_the_changes_after_the_pause(fleet):
    still = next(at for at in fleet.hosts if at not in fleet.readers())
    fleet.fabric.frozen.add(still)
    fleet.change(changed_replica("d1"))
    fleet.run(6.0)
    fleet.change(changed_replica("d2"))
    fleet.configure()
    fleet.fabric.frozen.clear()
    fleet.run(MAX_PROPAGATION_S)
    assert still in fleet.hosts_with_instance(
        changed_replica("d1")
    ) & fleet.hosts_with_instance(changed_replica("d2"))
    assert still in fleet.hosts_with_version(2)


def test_host_that_joins_later_reads_the_full_list(fleet):
    fleet.change(changed_replica())
    new = feed_rig.host(200)
    fleet.fabric.add(new, "a", (feed_rig.host(0),), epoch=7)
    fleet.run(MAX_PROPAGATION_S)
    assert new in fleet.hosts_with_instance(changed_replica())
    assert new in fleet.hosts_with_version(1)


def test_a_delayed_response_does_not_undo_a_later_broadcast(fleet):
    host = next(at for at in fleet.hosts if at not in fleet.readers())
    before = fleet.revision
    fleet.change(changed_replica())
    fleet.run(0.4)
    kind = store_fanout.ObjectKind.INSTANCES
    old = (rigs.engine("d1", "decode"),)
    late = store_fanout.StoreRead(kind, before, False, old)
    fleet.fabric.post(host, late)
    fleet.fabric.post(host, late._replace(is_complete=True))
    fleet.run(0.2)
    assert host in fleet.hosts_with_instance(changed_replica())


def test_a_message_of_an_unknown_kind_is_ignored(fleet):
    message = store_fanout.messages.ListRead(
        sender=feed_rig.host(1),
        epoch=1,
        kind="of a later release",
        at=9,
        base=1,
        age_s=0.0,
    )
    fleet.fabric.post(feed_rig.host(0), message)
    fleet.run(0.2)
