"""Orders to engines: two controllers, lost orders, lost answers."""

import pytest

from hemlockreel import actions
from hemlockreel import configuration
from hemlockreel import events
from hemlockreel import leader
from hemlockreel import messages
from hemlockreel import objects
from hemlockreel import region_controller
from hemlockreel_standins import region_fabric

CONVERGED_S = 120.0
SUCCESSOR_S = leader.TAKEOVER_WAIT_S + 10.0


@pytest.fixture(params=range(3))
def made(request):
    return region_fabric.Region(seed=request.param)


def run_until(made, done, limit_s=CONVERGED_S):
    end = made.fabric.now + limit_s
    while not done() and made.fabric.now < end:
        made.fabric.run(0.1)
    assert done()


def await_versions(made, version="2"):
    run_until(made, lambda: made.versions() == [version] * 5)


def await_holder(made, without=""):
    run_until(made, lambda: made.holder() not in ("", without), SUCCESSOR_S)
    return made.holder()


def test_rollout_converges_one_replica_at_a_time(made):
    run_until(made, lambda: made.status().get("state") == "CONVERGED")
    assert made.versions() == ["2"] * 5
    assert made.status()["updated"] == made.status()["total"] == 5
    assert len(made.orders) == 5
    assert len({at for _, at, *_ in made.orders}) == 1


def test_at_most_max_unavailable_replicas_are_retired():
    made = region_fabric.Region({"max_unavailable": 2})
    most = 0
    while made.versions() != ["2"] * 5:
        made.fabric.run(0.1)
        for board in made.fabric.boards.values():
            most = max(most, len(board.state(region_controller.State).changes))
        assert made.fabric.now < CONVERGED_S
    assert most == 2


def test_busy_replica_is_emptied_before_its_order(made):
    for index in range(8):
        made.ask(next(iter(made.fabric.boards)), f"r{index}")
    made.fabric.run(60.0)
    busy = [at for at, held in made.held.items() if held]
    assert busy
    assert all(held == 0 for *_, held in made.orders)
    assert made.status()["state"] == "CONVERGING"
    for request_id in list(made.working):
        made.end(next(iter(made.fabric.boards)), request_id, clean=True)
    await_versions(made)


def test_killed_controller_is_followed_by_another(made):
    first = await_holder(made)
    made.fabric.kill(first)
    killed_at = made.fabric.now
    second = await_holder(made, without=first)
    # The successor waits until the first one no longer believes in it.
    assert made.fabric.now - killed_at >= leader.LEASE_S
    assert second != first
    await_versions(made)


def test_stopped_controller_hands_over_at_once(made):
    first = await_holder(made)
    board = made.fabric.boards[first]
    made.fabric.post(first, events.DrainAsked())
    run_until(made, lambda: made.holder() not in ("", first), 4.0)
    assert not leader.lease_time_left(board, made.fabric.now)


@pytest.mark.parametrize("fencing", [True, False])
def test_frozen_controller_gives_no_order_after_its_lease(made, fencing):
    made.fencing = fencing
    first = await_holder(made)
    run_until(made, lambda: made.orders)
    made.fabric.frozen.add(first)
    await_holder(made, without=first)
    thawed_at = made.fabric.now
    made.fabric.frozen.clear()
    await_versions(made)
    made.fabric.run(30.0)
    late = [o for o in made.orders if o[1] == first and o[0] > thawed_at]
    second = made.holder()
    assert second
    if second != first:
        assert late == []


@pytest.mark.parametrize("fencing", [True, False])
def test_order_that_left_late_changes_nothing(made, fencing):
    # The freeze came between the decision and the call.
    made.fencing = fencing
    run_until(made, lambda: made.orders)
    _, first, address, body, _ = made.orders[0]
    await_versions(made)
    made.states[address]["version"] = "3"
    made.states[address]["fence"] += 100
    late = actions.CallEngine("orders", address, "orders", body)
    answer = made.do_order(first, late)
    assert answer.status == (409 if fencing else 412)
    assert made.states[address]["version"] == "3"


@pytest.mark.parametrize("fault", ["lose_orders", "lose_answers"])
def test_lost_orders_and_answers_are_put_right(made, fault):
    setattr(made, fault, 4)
    await_versions(made)
    run_until(made, lambda: made.status()["state"] == "CONVERGED")
    assert len(made.orders) == 5


def test_no_orders_while_the_store_is_down_and_the_lease_over(made):
    run_until(made, lambda: made.orders)
    made.store_down = True
    down_at = made.fabric.now
    made.fabric.run(40.0)
    assert all(order[0] < down_at + leader.LEASE_S for order in made.orders)
    made.store_down = False
    await_versions(made)


def test_lost_answers_of_the_store_leave_one_holder(made):
    await_holder(made)
    made.lose_writes = 3
    made.fabric.run(10.0)
    holding = [
        at
        for at, board in made.fabric.boards.items()
        if leader.lease_time_left(board, made.fabric.now)
    ]
    assert holding == [made.holder()]


def test_two_controllers_never_hold_at_the_same_time(made):
    for _ in range(6):
        frozen = made.holder()
        made.fabric.frozen = {frozen} - {""}
        for _ in range(180):
            made.fabric.run(0.1)
            holding = [
                at
                for at, board in made.fabric.boards.items()
                if leader.lease_time_left(board, made.fabric.now)
            ]
            assert len(holding) <= 1


def test_order_that_engines_refuse_puts_the_rollout_in_error():
    made = region_fabric.Region()
    made.unknown_version = "2"
    run_until(made, lambda: made.status().get("state") == "ERROR")
    assert made.status()["reason"].endswith(": unknown_version")
    # Convergence goes on when the cause is gone.
    made.unknown_version = ""
    run_until(made, lambda: made.status()["state"] == "CONVERGED")


def test_rollout_of_an_unknown_pool_is_in_error():
    # Such a rollout is not accepted, unless its pool goes at the same time.
    made = region_fabric.Region()
    rollout = objects.Rollout(pool="nowhere", version="2")
    found = configuration.Configuration(5, {}, {}, {"new": rollout}, {})
    holder = await_holder(made)
    board = made.fabric.boards[holder]
    board.state(configuration.State).current = found
    run_until(made, lambda: made.status().get("state") == "ERROR", 5.0)
    assert made.status()["reason"] == "the pool 'nowhere' does not exist"


def test_change_of_role_empties_the_replica_first():
    pool = {"balance_roles": True}
    made = region_fabric.Region({"version": "1"}, pool=pool)
    holder = await_holder(made)
    address = "10.1.0.0:80"
    reports = [
        messages.ReplicaReport(at, made.states[at]["role"], "1", [], granted)
        for at, granted in zip(made.held, [2, 3, 20, 20, 20], strict=True)
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
        assert not made.orders
        made.fabric.post(holder, report)
        made.fabric.run(0.05)
    assert [body["value"] for *_, body, _ in made.orders] == ["decode"]
    assert made.states[address]["role"] == "decode"
