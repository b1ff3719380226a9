"""The controller of a region: changes the roles and versions of engines.

It is level-triggered: each report of a shard is compared with the declared
objects and leads to at most one order for each replica. Only the holder of
the region's lease sends orders. Each carries the lease's fencing number, and
is sent only if the lease lasts longer than the order's timeout. See
docs/design/orders.md.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards
from . import configuration
from . import declared_objects
from . import events
from . import leader
from . import messages
from . import replica_changes
from . import role_balance
from . import shards

ORDER_TIMEOUT_S = 2.0
LEASE_MARGIN_S = 1.0  # lease time that must be left after the timeout
ORDER_RETRY_S = 6.0  # by then reports show whether it was carried out
MAX_FAILURES = 3  # consecutive failures that put a rollout in error
REPORT_TTL_S = 20.0  # older reports are left out of the status
STATUS_PERIOD_S = 2.0
ORDERS_CALL = "orders"  # call id and operation


class TimedReport(NamedTuple):
    """The last report of a shard and the time at which it was received."""

    report: messages.ShardReport
    received_at: float


class State:
    """The reports by shard, and by replica the changes in progress.

    ``failure_reasons`` holds why a replica's last order failed,
    ``written_statuses`` the status last written by rollout.
    """

    def __init__(self):
        self.reports: dict[str, TimedReport] = {}
        self.changes: dict[str, replica_changes.ReplicaChange] = {}
        self.failure_reasons: dict[str, str] = {}
        self.written_statuses: dict[str, dict[str, Any]] = {}
        self.next_status = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the controller; all others yield nothing."""
    return ()


@handle.register
def _report_received(
    event: messages.ShardReport, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Sends the owner its plan, and orders to replicas that it has retired.

    A change starts with a plan. Orders follow with the next report of the same
    owner, which shows how many grants each replica still has.
    """
    if not leader.lease_time_left(board, now):
        return
    state = board.state(State)
    state.reports[event.shard] = TimedReport(event, now)
    declared = _pool_and_rollout(board, event.shard)
    if declared is None:
        return
    pool, rollout = declared
    chosen = _select_changes(board, event, pool, rollout)
    for address, change in list(state.changes.items()):
        if change.shard == event.shard and address not in chosen:
            del state.changes[address]
            state.failure_reasons.pop(address, None)
    for replica in event.replicas:
        change = chosen.get(replica.address)
        if change is not None:
            if change.announced_to == event.sender:
                order = replica_changes.next_order(replica, change, rollout)
                yield from _send_order(board, replica, change, order, now)
            else:
                change = change._replace(announced_to=event.sender)
                state.changes[replica.address] = change
    yield _send_plan(board, event, sorted(chosen))


def _pool_and_rollout(
    board: boards.Board, shard: str
) -> tuple[declared_objects.ModelPool, declared_objects.Rollout | None] | None:
    """Returns the pool of a shard and its rollout, ``None`` without a pool."""
    active = configuration.current(board)
    if active is None:
        return None
    for name, pool in active.modelpools.items():
        if pool.service == shards.service_of(shard):
            return pool, _rollout_of(active, name)
    return None


def _rollout_of(
    active: configuration.Configuration, pool: str
) -> declared_objects.Rollout | None:
    """Returns the rollout of a pool, the first by name if there are more."""
    for _, rollout in sorted(active.rollouts.items()):
        if rollout.pool == pool:
            return rollout
    return None


def _select_changes(
    board: boards.Board,
    event: messages.ShardReport,
    pool: declared_objects.ModelPool,
    rollout: declared_objects.Rollout | None,
) -> dict[str, replica_changes.ReplicaChange]:
    state = board.state(State)
    service = shards.service_of(event.shard)
    own_changes = {
        address: change
        for address, change in state.changes.items()
        if change.shard == event.shard
    }
    elsewhere = sum(
        shards.service_of(change.shard) == service
        for change in state.changes.values()
    ) - len(own_changes)
    proposal = None
    if pool.balance_roles:
        load = replica_changes.shard_load(event, own_changes)
        proposal = role_balance.propose_role_change(
            load, pool.min_prefill, pool.min_decode
        )
    limit = 0 if rollout is None else rollout.max_unavailable
    room = limit - elsewhere - len(own_changes)
    return replica_changes.select_changes(
        event.shard, event.replicas, own_changes, proposal, rollout, room
    )


def _send_plan(
    board: boards.Board, event: messages.ShardReport, retiring: list[str]
) -> actions.Send:
    plan = messages.ShardPlan(
        **board.sender_fields, shard=event.shard, retiring=retiring
    )
    return actions.Send(event.sender, plan)


def _send_order(
    board: boards.Board,
    replica: messages.ReplicaReport,
    change: replica_changes.ReplicaChange,
    order: replica_changes.Order | None,
    now: float,
) -> Iterable[actions.Action]:
    """Sends ``order`` to an engine without grants, if the lease suffices."""
    if order is None or replica.granted:
        return
    ordered_at = change.ordered_at
    if ordered_at is not None and now < ordered_at + ORDER_RETRY_S:
        return
    if leader.lease_time_left(board, now) < ORDER_TIMEOUT_S + LEASE_MARGIN_S:
        return
    state = board.state(State)
    state.changes[replica.address] = change._replace(ordered_at=now)
    fence = leader.fencing_number(board)
    body = {
        "order_id": f"{fence}/{replica.address}/{order.order}/{order.value}",
        "fence": fence,
        "order": order.order,
        "value": order.value,
        "expected": order.expected,
    }
    yield actions.Count("orders", 1, (order.order,))
    yield actions.CallEngine(
        ORDERS_CALL,
        replica.address,
        ORDERS_CALL,
        body,
        timeout_s=ORDER_TIMEOUT_S,
        not_after=now + LEASE_MARGIN_S,
    )


@handle.register
def _order_responded(
    event: events.EngineResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.operation != ORDERS_CALL:
        return
    state = board.state(State)
    change = state.changes.get(event.address)
    reason = _failure_reason(event)
    if reason == "stale_fence":
        yield from leader.step_down(board, reason)
    if change is None:
        return
    if not reason:
        state.failure_reasons.pop(event.address, None)
        state.changes[event.address] = change._replace(failures=0)
        return
    yield actions.Count("order_failures", 1, (reason,))
    state.failure_reasons[event.address] = reason
    failures = change.failures + 1
    state.changes[event.address] = change._replace(failures=failures)


def _failure_reason(event: events.EngineResponded) -> str:
    """Returns why an order failed, empty if it was carried out."""
    if event.status == 200:
        return ""
    if event.status == 0:
        return "no_answer"
    return str(event.body.get("error", f"status_{event.status}"))


# Status


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if not leader.lease_time_left(board, now):
        # A later holder of the lease starts from new reports.
        state.reports.clear()
        state.changes.clear()
        state.failure_reasons.clear()
        state.written_statuses.clear()
        return
    if now < state.next_status:
        return
    state.next_status = now + STATUS_PERIOD_S
    for shard, (_, at) in list(state.reports.items()):
        if at + REPORT_TTL_S < now:
            del state.reports[shard]
    active = configuration.current(board)
    for name, rollout in active.rollouts.items() if active else ():
        value = _rollout_status(board, active, rollout)
        if state.written_statuses.get(name) != value:
            state.written_statuses[name] = value
            region_name = board.identity.region
            path = f"/v1/objects/status/rollouts-{name}-{region_name}"
            call_id = f"rollouts/{name}"
            yield actions.CallStore(call_id, "PUT", path, value)


@handle.register
def _status_written(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    kind, _, name = event.call_id.partition("/")
    if kind == "rollouts" and event.status not in (200, 201):
        board.state(State).written_statuses.pop(name, None)
    return ()


def _rollout_status(
    board: boards.Board,
    active: configuration.Configuration,
    rollout: declared_objects.Rollout,
) -> dict[str, Any]:
    """Returns the status object of a rollout."""
    value = {"version": rollout.version, "region": board.identity.region}
    pool = active.modelpools.get(rollout.pool)
    if pool is None:
        reason = f"the pool {rollout.pool!r} does not exist"
        return {**value, "state": "ERROR", "reason": reason}
    if _rollout_of(active, rollout.pool) is not rollout:
        reason = f"another rollout changes the pool {rollout.pool!r}"
        return {**value, "state": "ERROR", "reason": reason}
    state = board.state(State)
    reported = [
        replica
        for shard, (report, _) in state.reports.items()
        if shards.service_of(shard) == pool.service
        for replica in report.replicas
    ]
    outdated = [
        r for r in reported if replica_changes.next_order(r, None, rollout)
    ]
    changing = [r.address for r in reported if r.address in state.changes]
    value["total"] = len(reported)
    value["updated"] = len(reported) - len(outdated)
    value["unavailable"] = len(changing)
    failing = [
        f"{address}: {state.failure_reasons[address]}"
        for address in sorted(changing)
        if state.changes[address].failures >= MAX_FAILURES
    ]
    if failing:
        return {**value, "state": "ERROR", "reason": failing[0]}
    reason = "" if reported else "no replica has been reported yet"
    if reported and not outdated:
        return {**value, "state": "CONVERGED", "reason": reason}
    return {**value, "state": "CONVERGING", "reason": reason}
