"""Tests of the region's controller and its lease.

Faults of the controller, the store and the engines must neither lead to
orders from two controllers at once nor stop a rollout.
"""

import pytest

from hemlockreel import actions
from hemlockreel import configuration
from hemlockreel import declared_objects
from hemlockreel import events
from hemlockreel import leader
from hemlockreel import messages
from hemlockreel import region_controller
from hemlockreel_standins import region_fabric

CONVERGED_S = 120.0
SUCCESSOR_S = leader.TAKEOVER_WAIT_S + 10.0


@pytest.fixture(params=range(3))
def region(request):
    return region_fabric.Region(seed=request.param)


def run_until(region, done, limit_s=CONVERGED_S):
    end = region.fabric.now + limit_s
    while not done() and region.fabric.now < end:
        region.fabric.run(0.1)
    assert done()


def await_versions(region, version="2"):
    run_until(region, lambda: region.versions() == [version] * 5)


def await_holder(region, without=""):
    run_until(
        region, lambda: region.holder() not in ("", without), SUCCESSOR_S
    )
    return region.holder()


def test_rollout_converges_one_replica_at_a_time(region):
    run_until(region, lambda: region.status().get("state") == "CONVERGED")
    assert region.versions() == ["2"] * 5
    assert region.status()["updated"] == region.status()["total"] == 5
    assert len(region.orders) == 5
    assert len({at for _, at, *_ in region.orders}) == 1


def test_at_most_max_unavailable_replicas_are_retired():
    region = region_fabric.Region({"max_unavailable": 2})
    most = 0
    while region.versions() != ["2"] * 5:
        region.fabric.run(0.1)
        for board in region.fabric.boards.values():
            most = max(most, len(board.state(region_controller.State).changes))
        assert region.fabric.now < CONVERGED_S
    assert most == 2


def test_busy_replica_is_drained_before_its_order(region):
    for index in range(8):
        region.request_completion(
            next(iter(region.fabric.boards)), f"r{index}"
        )
    region.fabric.run(60.0)
    busy = [at for at, held in region.held.items() if held]
    assert busy
    assert all(held == 0 for *_, held in region.orders)
    assert region.status()["state"] == "CONVERGING"
    for request_id in list(region.working):
        region.end(next(iter(region.fabric.boards)), request_id, clean=True)
    await_versions(region)


def test_killed_controller_is_replaced_by_another(region):
    first = await_holder(region)
    region.fabric.kill(first)
    killed_at = region.fabric.now
    second = await_holder(region, without=first)
    # The successor waits until the lease of the first one has expired.
    assert region.fabric.now - killed_at >= leader.LEASE_S
    assert second != first
    await_versions(region)


def test_draining_controller_releases_its_lease_at_once(region):
    first = await_holder(region)
    board = region.fabric.boards[first]
    region.fabric.post(first, events.DrainRequested())
    run_until(region, lambda: region.holder() not in ("", first), 4.0)
    assert not leader.lease_time_left(board, region.fabric.now)


@pytest.mark.parametrize("fencing", [True, False])
def test_paused_controller_sends_no_order_after_its_lease(region, fencing):
    region.fencing = fencing
    first = await_holder(region)
    run_until(region, lambda: region.orders)
    region.fabric.frozen.add(first)
    await_holder(region, without=first)
    resumed_at = region.fabric.now
    region.fabric.frozen.clear()
    await_versions(region)
    region.fabric.run(30.0)
    late = [o for o in region.orders if o[1] == first and o[0] > resumed_at]
    second = region.holder()
    assert second
    if second != first:
        assert late == []


@pytest.mark.parametrize("fencing", [True, False])
def test_order_sent_late_changes_nothing(region, fencing):
    # The controller was paused between its decision and the call.
    region.fencing = fencing
    run_until(region, lambda: region.orders)
    _, first, address, body, _ = region.orders[0]
    await_versions(region)
    region.states[address]["version"] = "3"
    region.states[address]["fence"] += 100
    late = actions.CallEngine("orders", address, "orders", body)
    answer = region.do_order(first, late)
    assert answer.status == (409 if fencing else 412)
    assert region.states[address]["version"] == "3"


@pytest.mark.parametrize("fault", ["lose_orders", "lose_answers"])
def test_lost_orders_and_responses_are_repaired(region, fault):
    setattr(region, fault, 4)
    await_versions(region)
    run_until(region, lambda: region.status()["state"] == "CONVERGED")
    assert len(region.orders) == 5


def test_no_orders_after_the_lease_expires_without_the_store(region):
    run_until(region, lambda: region.orders)
    region.store_down = True
    down_at = region.fabric.now
    region.fabric.run(40.0)
    assert all(order[0] < down_at + leader.LEASE_S for order in region.orders)
    region.store_down = False
    await_versions(region)


def test_lost_responses_of_the_store_leave_one_holder(region):
    await_holder(region)
    region.lose_writes = 3
    region.fabric.run(10.0)
    holding = [
        at
        for at, board in region.fabric.boards.items()
        if leader.lease_time_left(board, region.fabric.now)
    ]
    assert holding == [region.holder()]


def test_no_two_controllers_hold_the_lease_at_once(region):
    for _ in range(6):
        frozen = region.holder()
        region.fabric.frozen = {frozen} - {""}
        for _ in range(180):
            region.fabric.run(0.1)
            holding = [
                at
                for at, board in region.fabric.boards.items()
                if leader.lease_time_left(board, region.fabric.now)
            ]
            assert len(holding) <= 1


def test_refused_orders_put_the_rollout_in_error():
    region = region_fabric.Region()
    region.unknown_version = "2"
    run_until(region, lambda: region.status().get("state") == "ERROR")
    assert region.status()["reason"].endswith(": unknown_version")
    # The rollout continues once the cause is removed.
    region.unknown_version = ""
    run_until(region, lambda: region.status()["state"] == "CONVERGED")


def test_rollout_of_an_unknown_pool_is_in_error():
    # Such a rollout is accepted only if its pool is deleted at the same time.
    region = region_fabric.Region()
    rollout = declared_objects.Rollout(pool="nowhere", version="2")
    invalid_configuration = configuration.Configuration(
        5, {}, {}, {"new": rollout}, {}
    )
    holder = await_holder(region)
    board = region.fabric.boards[holder]
    board.state(configuration.State).current = invalid_configuration
    run_until(region, lambda: region.status().get("state") == "ERROR", 5.0)
    assert region.status()["reason"] == "the pool 'nowhere' does not exist"


def test_replica_is_drained_before_its_change_of_role():
    pool = {"balance_roles": True}
    region = region_fabric.Region({"version": "1"}, pool=pool)
    holder = await_holder(region)
    address = "10.1.0.0:80"
    reports = [
        messages.ReplicaReport(at, region.states[at]["role"], "1", [], granted)
        for at, granted in zip(region.held, [2, 3, 20, 20, 20], strict=True)
    ]
    report = messages.ShardReport(
        sender=holder,
        epoch=1,
        shard="lesar@midt-norge/shared/",
        replicas=reports,
        prefill_demand=0.2,
        decode_demand=6.0,
    )
    for granted in (2, 2, 0):
        reports[0] = messages.ReplicaReport(
            address, "prefill", "1", [], granted
        )
        assert not region.orders
        region.fabric.post(holder, report)
        region.fabric.run(0.05)
    assert [body["value"] for *_, body, _ in region.orders] == ["decode"]
    assert region.states[address]["role"] == "decode"
