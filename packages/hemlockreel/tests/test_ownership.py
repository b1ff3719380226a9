"""Engine memory is freed after faults, and running streams survive them.

The faults are the loss of entries, owners and messages, and partitions.
"""

import pytest

from hemlockreel import actions
from hemlockreel import board as boards
from hemlockreel import drain
from hemlockreel import entry as entries
from hemlockreel import events
from hemlockreel import grants
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel_standins import fleet_fabric

FREE_WITHIN_S = 4.0
SHARD = "lesar@midt-norge/shared/"
host = fleet_fabric.host


@pytest.fixture(params=range(4))
def fleet(request):
    return fleet_fabric.Fleet(seed=request.param)


def test_clean_end_cancels_nothing(fleet):
    owner, entry = fleet.roles(SHARD)
    assert isinstance(fleet.request_completion(entry, "r1"), messages.Grant)
    fleet.end(entry, "r1", clean=True)
    fleet.fabric.run(4.0)
    assert fleet.granted_by(owner) == 0
    assert fleet.cancelled == []


def test_long_stream_without_a_fault_is_left_alone(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.run(40.0)
    assert fleet.holders("r1")
    assert fleet.granted_by(owner) == 1
    assert fleet.cancelled == []


def test_caller_disconnects(fleet):
    _, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.end(entry, "r1", clean=False)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_caller_disconnects_and_cancel_is_lost(fleet):
    _, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.drop_cancels = set(fleet.held)
    fleet.end(entry, "r1", clean=False)
    fleet.fabric.run(1.5)
    fleet.drop_cancels.clear()
    assert fleet.seconds_held("r1") < FREE_WITHIN_S - 1.5


def test_caller_disconnects_and_release_is_lost(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.cut({entry}, {owner})
    fleet.end(entry, "r1", clean=False)
    fleet.fabric.run(0.1)
    fleet.fabric.cuts.clear()
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_entry_killed(fleet):
    _, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_entry_killed_and_restarted_at_once(fleet):
    _, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.start(int(entry.split(".")[3].split(":")[0]), run=2)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_owner_killed_and_caller_disconnects_before_it_is_detected(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.end(entry, "r1", clean=False)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


@pytest.mark.parametrize("wait_s", [0.0, 0.5, 1.0, 2.0, 3.0, 6.0])
def test_owner_killed_and_caller_disconnects_later(fleet, wait_s):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.fabric.run(wait_s)
    assert fleet.holders("r1")
    fleet.end(entry, "r1", clean=False)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_owner_and_entry_killed(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.fabric.kill(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_owner_that_is_also_the_entry_killed(fleet):
    owner, _ = fleet.roles(SHARD)
    fleet.request_completion(owner, "r1")
    fleet.fabric.kill(owner)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_entry_killed_after_the_owner_was_replaced(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.fabric.run(6.0)
    fleet.fabric.kill(entry)
    assert fleet.seconds_held("r1") < FREE_WITHIN_S


def test_owner_killed_keeps_running_streams(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    fleet.fabric.run(30.0)
    assert fleet.holders("r1")
    assert fleet.cancelled == []
    new = fleet.roles(SHARD)[0]
    assert fleet.granted_by(new) == 1
    fleet.end(entry, "r1", clean=True)
    fleet.fabric.run(1.0)
    assert fleet.granted_by(new) == 0


def test_owner_restarted_under_its_address_keeps_running_streams(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.start(int(owner.split(".")[3].split(":")[0]), run=2)
    fleet.fabric.run(30.0)
    assert fleet.holders("r1")
    assert fleet.cancelled == []
    assert fleet.replies["r1"] == fleet.working["r1"]
    assert fleet.granted_by(owner) == 1


def test_new_owner_holds_first_grants_of_two_owners(fleet):
    """The grant ids of two owners that started together are different.

    Each owner numbers its grants from one.
    """
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.kill(owner)
    second = fleet.request_completion(entry, "r2", seconds=0.5)
    assert second.sender != owner
    fleet.fabric.run(20.0)
    assert fleet.holders("r1") and fleet.holders("r2")
    assert fleet.granted_by(second.sender) == 2
    fleet.end(entry, "r2", clean=True)
    fleet.fabric.run(1.0)
    assert fleet.holders("r1")
    assert fleet.granted_by(second.sender) == 1
    assert fleet.cancelled == []


def test_engine_slow_to_confirm_keeps_the_memory_granted(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.drop_cancels = set(fleet.held)
    fleet.end(entry, "r1", clean=False)
    fleet.fabric.run(20.0)
    assert fleet.granted_by(owner) == 1
    fleet.drop_cancels.clear()
    fleet.fabric.run(2.5)
    assert fleet.granted_by(owner) == 0
    assert not fleet.holders("r1")


def test_unresponsive_engine_gets_one_cancel_at_a_time(fleet):
    _, entry = fleet.roles(SHARD)
    request_ids = [f"r{index}" for index in range(8)]
    for request_id in request_ids:
        fleet.request_completion(entry, request_id)
    fleet.silent = set(fleet.held)
    fleet.fabric.run(0.5)
    for request_id in request_ids:
        fleet.end(entry, request_id, clean=False)
    fleet.fabric.run(10.0)
    fleet.silent.clear()
    fleet.fabric.run(2.5)
    assert not any(fleet.holders(request_id) for request_id in request_ids)


def test_unlisted_replica_frees_its_grants(fleet):
    owner, entry = fleet.roles(SHARD)
    grant = fleet.request_completion(entry, "r1")
    fleet.silent.add(grant.replica)
    fleet.end(entry, "r1", clean=False)
    fleet.fabric.run(3.0)
    assert fleet.granted_by(owner) == 1
    fleet.replicas = tuple(
        replica
        for replica in fleet.replicas
        if replica.address != grant.replica
    )
    fleet.fabric.run(2.0)
    assert fleet.granted_by(owner) == 0


def test_grant_made_while_an_entry_lists_its_grants_is_kept(fleet):
    """Requests were cancelled as their entry's list was older than them."""
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    heartbeat = messages.Heartbeat(
        sender=entry,
        epoch=fleet.fabric.boards[entry].identity.epoch,
        count=2,
        digest=1,
    )
    fleet.fabric.post(owner, heartbeat)
    fleet.request_completion(entry, "r2")
    fleet.fabric.run(1.0)
    assert fleet.holders("r1") and fleet.holders("r2")
    assert fleet.cancelled == []


def test_grant_whose_message_is_lost_is_revoked(fleet):
    owner, entry = fleet.roles(SHARD)
    fleet.fabric.cut({owner}, {entry})
    fleet.request_completion(entry, "r1", seconds=0.05)
    assert fleet.granted_by(owner) == 1
    fleet.fabric.cuts.clear()
    fleet.end(entry, "r1", clean=True)
    fleet.fabric.run(FREE_WITHIN_S)
    assert fleet.granted_by(owner) == 0


@pytest.mark.parametrize("zone", fleet_fabric.ZONES)
@pytest.mark.parametrize("seed", range(3))
def test_isolated_zone_ends_no_stream_on_the_other_side(zone, seed):
    fleet = fleet_fabric.Fleet(daemons=12, seed=seed)
    for index in range(36):
        fleet.request_completion(host(index % 12), f"r{index}")
    grants_given = dict(fleet.working)
    zones = {replica.address: replica.zone for replica in fleet.replicas}
    inside, _ = fleet.cut_zone(zone)
    fleet.fabric.run(20.0)
    fleet.restore_network()
    fleet.fabric.run(20.0)
    checked = 0
    for index in range(36):
        near_zone = host(index % 12) in inside
        grant = grants_given[f"r{index}"]
        engine_in_zone = zones[grant.replica] == zone
        # A stream whose entry or engine is in the isolated zone may end,
        # since its lease may expire at an owner on the other side.
        if not near_zone and not engine_in_zone:
            checked += 1
            assert fleet.holders(f"r{index}"), index
    assert checked
    holding = [fleet.granted_by(at) for at in fleet.fabric.boards]
    assert sum(holding) == len(fleet.working)


def test_minority_that_reaches_the_engines_ends_no_stream_of_the_others():
    fleet = fleet_fabric.Fleet(daemons=12)
    owner = fleet.roles(SHARD)[0]
    boards_by_host = fleet.fabric.boards
    owner_zone = boards_by_host[owner].identity.zone
    zone = next(zone for zone in fleet_fabric.ZONES if zone != owner_zone)
    outside = [
        at
        for at, board in boards_by_host.items()
        if board.identity.zone != zone
    ]
    for index, at in enumerate(outside):
        fleet.request_completion(at, f"r{index}")
    fleet.cut_zone(zone)
    fleet.severed.clear()
    fleet.fabric.run(20.0)
    assert all(fleet.holders(f"r{index}") for index in range(len(outside)))
    assert fleet.cancelled == []


def test_requests_of_dead_entries_are_freed_during_a_partition():
    fleet = fleet_fabric.Fleet(daemons=12)
    for index in range(12):
        fleet.request_completion(host(index), f"r{index}")
    _, outside = fleet.cut_zone("orkanger")
    fleet.fabric.run(10.0)
    victim = max(outside - {fleet.roles(SHARD)[0]})
    held = [r for r in fleet.working if r == f"r{victim.split('.')[3][:-5]}"]
    fleet.fabric.kill(victim)
    assert [fleet.seconds_held(r) < FREE_WITHIN_S for r in held] == [True]


def test_draining_owner_hands_over_its_grants_and_exits():
    fleet = fleet_fabric.Fleet()
    owner, entry = fleet.roles(SHARD)
    fleet.request_completion(entry, "r1")
    fleet.fabric.post(owner, events.DrainRequested())
    fleet.fabric.run(drain.ADDRESS_TTL_S + drain.MEMBERSHIP_SPREAD_S + 1.0)
    assert fleet.holders("r1")
    assert fleet.cancelled == []
    assert grants.is_idle(fleet.fabric.boards[owner])
    assert fleet.fabric.performed(owner, actions.Exit)
    fleet.fabric.kill(owner)
    new = fleet.roles(SHARD)[0]
    assert new != owner
    assert fleet.granted_by(new) == 1


def track_request(fleet, entry, owner, resend_in_s):
    """Returns a request that ``entry`` is about to send to ``owner``."""
    request = messages.AdmissionRequest(
        sender=entry,
        epoch=fleet.fabric.boards[entry].identity.epoch,
        request_id="r1",
        attempt=1,
        shard=SHARD,
        organisation="acme",
    )
    tracked = entries.Request(request, [owner], fleet.fabric.now)
    tracked.deadline = fleet.fabric.now + 60.0
    tracked.resend_at = fleet.fabric.now + resend_in_s
    at_entry = fleet.fabric.boards[entry].state(entries.State)
    at_entry.requests["r1"] = tracked
    return request


def test_queued_requests_of_a_draining_owner_go_to_the_next_one():
    fleet = fleet_fabric.Fleet()
    owner, entry = fleet.roles(SHARD)
    state = fleet.fabric.boards[owner].state(grants.State)
    request = track_request(fleet, entry, owner, resend_in_s=60.0)
    grants.open_ledger(fleet.fabric.boards[owner], SHARD)
    state.waiting["r1", 1] = grants.WaitingRequest(SHARD, request, 1e9)
    fleet.fabric.post(owner, events.DrainRequested())
    fleet.fabric.run(1.0)
    assert not state.waiting
    assert fleet.replies["r1"].sender == fleet.roles(SHARD)[0] != owner


def test_owner_that_knows_no_replicas_yet_refuses_no_request():
    """A host that joined was "no backend server" to callers of others."""
    fleet = fleet_fabric.Fleet()
    _, entry = fleet.roles(SHARD)
    fleet.start(4)
    joined = fleet_fabric.host(4)
    request = track_request(fleet, entry, joined, resend_in_s=0.3)
    fleet.fabric.post(joined, request)
    fleet.fabric.run(1.0)
    assert isinstance(fleet.replies["r1"], messages.Grant)


def test_late_heartbeat_does_not_restore_a_revoked_grant():
    fleet = fleet_fabric.Fleet()
    owner, entry = fleet.roles(SHARD)
    grant = fleet.request_completion(entry, "r1")
    board: boards.Board = fleet.fabric.boards[owner]
    fleet.drop_cancels = set(fleet.held)
    list(grants.revoke(board, grant.grant_id, fleet.fabric.now))
    fleet.fabric.run(2.0)
    leases = board.state(grants.State).leases
    assert leases.get(grant.grant_id) is None
    assert fleet.replies["r1"] == outcomes.may_have_run(
        outcomes.Reason.REVOKED
    )
