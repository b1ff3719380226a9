"""A store that comes back from a copy some seconds old.

What was written since is lost, leases too, and revisions are given out again.
"""

import pytest

from hemlockreel import events
from hemlockreel import leader
from hemlockreel import messages
from hemlockreel import store_era
from hemlockreel_standins import feed_rig
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import departures
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import store_fanout

# Within the platform's stability_ms of 4 s; the rest is for the call itself.
SETTLED_S = 3.6
SIZES = [13, 36, 110]


def make(count, seed=1):
    """Returns a fleet whose membership and list of replicas are stable."""
    made = feed_rig.Fleet(count, seed)
    for name in ("p1", "d1", "d2"):
        made.change(rigs.engine(name, "decode"))
    made.run(10.0)
    return made


def usable_at(fleet, host):
    """Returns the ids of the replicas that a host sends requests to."""
    state = fleet.fabric.boards[host].state(instances.State)
    found = instances.usable(state, "lesar", fleet.fabric.now)
    return {each.id for each in found}


def total(fleet):
    return sum(fleet.calls.values())


@pytest.mark.parametrize("count", SIZES)
def test_all_hosts_agree_after_a_restore(count):
    fleet = make(count)
    fleet.save()
    fleet.change(rigs.engine("d3", "decode"))
    fleet.configure()
    fleet.run(2.0)
    fleet.restore()
    fleet.run(SETTLED_S + feed_rig.REWRITE_S)
    for host, board in fleet.fabric.boards.items():
        assert store_era.current(board) == 2
        assert usable_at(fleet, host) == {"p1", "d1", "d2", "d3"}
    assert fleet.hosts_with_version(2) == set(fleet.hosts)


@pytest.mark.parametrize("count", [36, 110])
def test_the_readers_read_the_restored_list_for_all(count):
    """Without a broadcast each host would list at once."""
    fleet = make(count)
    fleet.save()
    before = total(fleet)
    fleet.restore()
    fleet.run(SETTLED_S)
    kinds = len(store_fanout.ObjectKind)
    per_reader = kinds * (SETTLED_S / store_fanout.READER_WATCH_S + 2)
    assert total(fleet) - before <= store_fanout.READER_COUNT * per_reader


@pytest.mark.parametrize("count", SIZES)
def test_a_replica_that_left_does_not_return_with_the_copy(count):
    fleet = make(count)
    fleet.save()
    fleet.change(rigs.engine("d1", "decode")._replace(draining=True))
    fleet.run(1.0)
    fleet.change(rigs.engine("d1", "decode"), gone=True)
    fleet.run(4.0)
    fleet.restore()
    for _ in range(round((departures.WITHHELD_S + 2) / 0.5)):
        fleet.run(0.5)
        for host in fleet.hosts:
            assert "d1" not in usable_at(fleet, host)


@pytest.mark.parametrize("count", SIZES)
def test_a_replica_that_drains_stays_draining(count):
    fleet = make(count)
    fleet.save()
    fleet.change(rigs.engine("d1", "decode")._replace(draining=True))
    fleet.run(2.0)
    fleet.restore()
    for _ in range(8):
        fleet.run(0.5)
        for host in fleet.hosts:
            assert "d1" not in usable_at(fleet, host)


def test_a_live_replica_that_was_taken_for_gone_returns():
    """Its entry had lapsed, and the copy is from before that."""
    fleet = make(5)
    fleet.save()
    fleet.change(rigs.engine("d1", "decode"), gone=True)
    fleet.run(4.0)
    fleet.present["d1"] = rigs.engine("d1", "decode")
    fleet.restore()
    fleet.run(1.0)
    assert all("d1" not in usable_at(fleet, host) for host in fleet.hosts)
    fleet.run(departures.WITHHELD_S + SETTLED_S)
    assert all("d1" in usable_at(fleet, host) for host in fleet.hosts)


@pytest.mark.parametrize("count", SIZES)
def test_a_replica_that_the_copy_lacks_stays_in_use(count):
    fleet = make(count)
    fleet.save()
    fleet.change(rigs.engine("d3", "decode"))
    fleet.run(2.0)
    fleet.restore()
    for _ in range(12):
        fleet.run(0.5)
        for host in fleet.hosts:
            assert "d3" in usable_at(fleet, host)


def test_a_restarted_replica_is_used_again():
    fleet = make(5)
    fleet.change(rigs.engine("d1", "decode")._replace(draining=True, born=1))
    fleet.run(1.0)
    fleet.change(rigs.engine("d1", "decode"), gone=True)
    fleet.run(4.0)
    fleet.save()
    fleet.restore()
    fleet.change(rigs.engine("d1", "decode")._replace(born=2))
    fleet.run(SETTLED_S)
    assert all("d1" in usable_at(fleet, host) for host in fleet.hosts)


@pytest.mark.parametrize("count", SIZES)
def test_the_deployment_in_force_does_not_go_back(count):
    fleet = make(count)
    fleet.save()
    fleet.configure()
    fleet.run(2.0)
    fleet.restore()
    for _ in range(10):
        fleet.run(0.5)
        assert fleet.hosts_with_version(2) == set(fleet.hosts)


@pytest.mark.parametrize("seed", range(3))
def test_readers_without_the_store_after_a_restore(seed):
    fleet = make(36, seed)
    fleet.save()
    fleet.change(rigs.engine("d3", "decode"))
    fleet.run(2.0)
    fleet.unreachable = fleet.readers()
    fleet.restore()
    fleet.change(rigs.engine("d4", "decode"))
    fleet.run(SETTLED_S + feed_rig.REWRITE_S)
    for host in set(fleet.hosts) - fleet.unreachable:
        assert usable_at(fleet, host) == {"p1", "d1", "d2", "d3", "d4"}


def test_host_that_knew_other_changes_reads_the_restored_list_itself():
    """The reader's differences don't apply to what this host knows."""
    fleet = make(36)
    readers = fleet.readers()
    deaf = next(at for at in fleet.hosts if at not in readers)
    fleet.save()
    fleet.fabric.cut(readers, {deaf})
    fleet.change(rigs.engine("d3", "decode"))
    fleet.run(1.0)
    fleet.fabric.cuts.clear()
    fleet.present.pop("d3")
    fleet.restore()
    fleet.change(rigs.engine("d4", "decode"))
    fleet.run(SETTLED_S + 1.8)
    assert usable_at(fleet, deaf) == {"p1", "d1", "d2", "d4"}


def test_a_response_of_an_earlier_era_is_ignored():
    fleet = make(3)
    fleet.save()
    fleet.restore()
    fleet.run(SETTLED_S)
    host = fleet.hosts[0]
    kind = store_fanout.ObjectKind.INSTANCES
    late = store_fanout.StoreRead(kind, 10**6, True, (), (), 1)
    fleet.fabric.post(host, late)
    fleet.run(3.0)
    assert usable_at(fleet, host) == {"p1", "d1", "d2"}


def test_news_of_an_earlier_era_from_a_peer_are_ignored():
    fleet = make(36)
    fleet.save()
    fleet.restore()
    fleet.run(SETTLED_S)
    host = next(at for at in fleet.hosts if at not in fleet.readers())
    known = fleet.fabric.boards[host].state(store_fanout.State)
    kind = store_fanout.ObjectKind.INSTANCES
    late = messages.ListRead(
        sender=next(iter(fleet.readers())),
        epoch=1,
        kind=kind.value,
        at=known.read_states[kind].revision + 100,
        base=known.read_states[kind].revision,
        age_s=0.0,
        gone=["d1"],
        era=1,
    )
    fleet.fabric.post(host, late)
    fleet.run(3.0)
    assert "d1" in usable_at(fleet, host)


def test_changes_since_a_revision_of_an_earlier_era_are_not_trusted():
    """The restored store accepts the revision, as it was given out again."""
    fleet = make(3)
    board = fleet.fabric.boards[fleet.hosts[0]]
    kind = store_fanout.ObjectKind.INSTANCES
    revision = board.state(store_fanout.State).read_states[kind].revision
    changed = store_fanout.StoreRead(
        kind, revision + 5, False, (rigs.engine("d9", "decode"),), ("d1",), 2
    )
    fleet.fabric.post(fleet.hosts[0], changed)
    fleet.fabric.run(0.05)
    assert usable_at(fleet, fleet.hosts[0]) == {"p1", "d1", "d2"}
    assert store_fanout.read_plan(board, kind, fleet.fabric.now) == (
        store_fanout.ReadPlan(True, 0, None, 2)
    )


def holders(fleet):
    """Returns the fencing numbers of the hosts that may give orders."""
    now = fleet.fabric.now
    return {
        host: leader.fencing_number(board)
        for host, board in fleet.fabric.boards.items()
        if leader.lease_time_left(board, now) > 0
    }


def make_with_holder(count=3):
    fleet = make(count)
    fleet.run(leader.TAKEOVER_WAIT_S + 3)
    ((holder, fence),) = holders(fleet).items()
    return fleet, holder, fence


def test_the_holder_gives_no_order_until_it_holds_the_lease_again():
    fleet, holder, fence = make_with_holder()
    board = fleet.fabric.boards[holder]
    fleet.save()
    fleet.restore()
    fleet.unreachable = set(fleet.hosts)
    fleet.fabric.post(holder, store_era.EraSeen(2))
    fleet.fabric.run(0.01)
    assert leader.lease_time_left(board, fleet.fabric.now) == 0
    fleet.unreachable = set()
    fleet.run(1.0)
    assert holders(fleet)[holder] > fence


@pytest.mark.parametrize("is_lost", [True, False])
def test_a_holder_without_the_store_ends_before_another_begins(is_lost):
    """The copy may have no lease, or one of an earlier holder."""
    fleet, holder, fence = make_with_holder()
    if is_lost:
        fleet.lease = None
    fleet.save()
    fleet.run(1.0)
    fleet.restore()
    fleet.unreachable = {holder}
    rest = set(fleet.hosts) - {holder}
    fleet.fabric.cut({holder}, rest)
    fleet.fabric.cut(rest, {holder})
    seen = set()
    for _ in range(round(40 / feed_rig.STEP_S)):
        fleet.run(feed_rig.STEP_S)
        found = holders(fleet)
        assert len(found) <= 1
        seen |= set(found)
        if set(found) - {holder}:
            break
    assert seen - {holder}
    assert min(found.values()) > fence


def test_the_copy_shows_a_lease_that_had_passed_on():
    """A host reads its own name in a lease that another one holds now."""
    fleet, first, _ = make_with_holder()
    fleet.save()
    board = fleet.fabric.boards[first]
    fleet.fabric.kill(first)
    fleet.run(leader.TAKEOVER_WAIT_S + 8)
    ((second, _),) = holders(fleet).items()
    fleet.fabric.boards[first] = board
    fleet.fabric.post(first, events.Tick())
    fleet.unreachable = {second}
    fleet.restore()
    for _ in range(round(leader.TAKEOVER_WAIT_S / feed_rig.STEP_S)):
        fleet.run(feed_rig.STEP_S)
        assert len(holders(fleet)) <= 1


@pytest.mark.parametrize("is_first_start", [True, False])
def test_only_the_first_start_takes_a_missing_lease_at_once(is_first_start):
    """A new host can't tell whether the era began just now."""
    fleet = feed_rig.Fleet(1)
    board = fleet.fabric.boards[fleet.hosts[0]]
    board.state(store_era.State).is_first_start = is_first_start
    fleet.run(leader.LEASE_S - 1)
    assert bool(holders(fleet)) == is_first_start
    fleet.run(leader.TAKEOVER_WAIT_S)
    assert holders(fleet)


def test_fencing_numbers_stay_exact_in_json():
    largest = store_era.fencing_number(
        store_era.MAX_ERA, 2**store_era.REVISION_BITS - 1
    )
    assert largest < 2**53


def test_an_era_out_of_range_is_ignored():
    fleet = feed_rig.Fleet(1)
    fleet.run(1.0)
    board = fleet.fabric.boards[fleet.hosts[0]]
    fleet.fabric.post(fleet.hosts[0], store_era.EraSeen(2**40))
    fleet.run(0.1)
    assert store_era.current(board) == 1
    assert active_deployment.current(board) is not None


def test_differences_are_dropped_if_the_reader_knew_less():
    """Another reader's change had reached this host, but not that reader."""
    fleet = make(36)
    host = next(at for at in fleet.hosts if at not in fleet.readers())
    board = fleet.fabric.boards[host]
    kind = store_fanout.ObjectKind.INSTANCES
    known = board.state(store_fanout.State).read_states[kind]
    restored = messages.ListRead(
        sender=next(iter(fleet.readers())),
        epoch=1,
        kind=kind.value,
        at=known.revision,
        base=known.last_change_revision - 1,
        age_s=0.0,
        era=2,
        base_era=1,
    )
    fleet.fabric.post(host, restored)
    fleet.fabric.run(0.01)
    assert board.state(store_fanout.State).read_states[kind].revision == 0


def list_read(fleet, host, **changes):
    """Returns a reader's broadcast about replicas that changes nothing."""
    board = fleet.fabric.boards[host]
    kind = store_fanout.ObjectKind.INSTANCES
    known = board.state(store_fanout.State).read_states[kind]
    fields = {
        "sender": next(iter(fleet.readers())),
        "epoch": 1,
        "kind": kind.value,
        "at": known.revision,
        "base": known.last_change_revision,
        "age_s": 0.0,
        "era": known.era,
    }
    return messages.ListRead(**{**fields, **changes})


def test_a_second_list_relative_to_the_earlier_era_is_not_applied():
    """It leaves out what was lost and has been written again since."""
    fleet = make(36)
    host = next(at for at in fleet.hosts if at not in fleet.readers())
    fleet.save()
    fleet.restore()
    fleet.run(SETTLED_S)
    known = list_read(fleet, host)
    late = list_read(
        fleet, host, at=known.at + 5, base=0, base_era=1, gone=["d1"]
    )
    fleet.fabric.post(host, late)
    fleet.fabric.run(3.0)
    assert "d1" in usable_at(fleet, host)


def test_a_full_list_tells_others_of_a_replica_that_has_returned():
    """Its entry had lapsed, and is back before its grace is over.

    The other hosts may have missed nothing but its return.
    """
    fleet = make(3)
    board = fleet.fabric.boards[fleet.hosts[0]]
    state = board.state(instances.State)
    listed = tuple(state.instances.values())
    assert store_fanout._diff_with_list(board, listed) == ((), ())
    lapsed = instances.InstancesChanged((), ("d1",))
    instances.apply_changes(state, lapsed, fleet.fabric.now)
    assert store_fanout._diff_with_list(board, listed) == (
        (state.instances["d1"],),
        (),
    )
