"""The shard owner's part in the control of a region.

An owner reports the state of its shards to the region's controller and stops
granting on the replicas that the controller plans to change. A plan expires
unless it is repeated, so that a replica gets work again if the controller
fails.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import configuration
from . import engine_polling
from . import events
from . import grants
from . import leader
from . import ledger
from . import messages
from . import shards

REPORT_PERIOD_S = 5.0
PLAN_TTL_S = 15.0


class State:
    """The time of the next report, and by shard when its plan expires."""

    def __init__(self):
        self.next_report = 0.0
        self.plan_expiries: dict[str, float] = {}


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of reports; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for shard, until in list(state.plan_expiries.items()):
        if until <= now:
            del state.plan_expiries[shard]
            _retire(board, shard, frozenset())
    if now < state.next_report:
        return
    state.next_report = now + REPORT_PERIOD_S
    controller = leader.preferred_controller(board)
    for report in _reports(board, now):
        yield actions.Send(controller, report)


def _reports(
    board: boards.Board, now: float
) -> Iterable[messages.ShardReport]:
    """Yields the reports of the owned shards that are controlled."""
    managed = _managed_services(board)
    counts = board.state(grants.State).leases.count_by_replica()
    last = board.state(engine_polling.State).last_loads
    for shard, members in engine_polling.owned_model_shards(board).items():
        if shards.service_of(shard) not in managed:
            continue
        replica_reports = [
            messages.ReplicaReport(
                replica.address,
                last[replica.address].get("role", replica.role.value),
                last[replica.address].get("version", ""),
                last[replica.address].get("adapters", []),
                counts[replica.address],
            )
            for replica in members
            if replica.address in last and not replica.leaving
        ]
        shard_ledger = board.state(grants.State).ledgers.get(shard)
        demands = (0.0, 0.0)
        if isinstance(shard_ledger, ledger.Ledger):
            load = shard_ledger.shard_load(now)
            demands = (load.prefill_demand, load.decode_demand)
        yield messages.ShardReport(
            **board.sender_fields,
            shard=shard,
            replicas=replica_reports,
            prefill_demand=demands[0],
            decode_demand=demands[1],
        )


def _managed_services(board: boards.Board) -> set[str]:
    """Returns the services whose roles or versions are controlled."""
    active = configuration.current(board)
    if active is None:
        return set()
    pools_with_rollout = {rollout.pool for rollout in active.rollouts.values()}
    return {
        pool.service
        for name, pool in active.modelpools.items()
        if pool.balance_roles or name in pools_with_rollout
    }


@handle.register
def _plan_received(
    event: messages.ShardPlan, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    board.state(State).plan_expiries[event.shard] = now + PLAN_TTL_S
    _retire(board, event.shard, frozenset(event.retiring))
    return ()


def _retire(
    board: boards.Board, shard: str, addresses: frozenset[str]
) -> None:
    shard_ledger = board.state(grants.State).ledgers.get(shard)
    if isinstance(shard_ledger, ledger.Ledger):
        shard_ledger.set_retiring(addresses)
