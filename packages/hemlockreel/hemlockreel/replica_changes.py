"""Determines which replicas of a pool change, and the orders they need.

All functions are pure: they compare the reports of owners with the declared
objects. Of an order only its time is kept; its outcome is read from the next
report, so an order that was lost or came late is repeated or corrected then.
Following the "Otter Convergence Specification", a rollout that exceeds the
limit is done in parts, and replicas that change anyway come first.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from . import declared_objects
from . import messages
from . import role_balance


class ReplicaChange(NamedTuple):
    """The pending change of a replica.

    ``role`` is the role it should take, empty to keep its own.
    ``announced_to`` is the owner that was sent a plan to retire the replica,
    ``ordered_at`` the time of the last order and ``failures`` the number of
    orders that failed since the last success.
    """

    shard: str
    role: str = ""
    announced_to: str = ""
    ordered_at: float | None = None
    failures: int = 0


class Order(NamedTuple):
    """An order to an engine, see docs/design/protocols.md.

    The engine carries it out only if it is in the ``expected`` state.
    """

    order: str
    value: str
    expected: dict[str, Any]


def next_order(
    replica: messages.ReplicaReport,
    change: ReplicaChange | None,
    rollout: declared_objects.Rollout | None,
) -> Order | None:
    """Returns the order that ``replica`` needs next, if any.

    The order contains the reported role and version as the expected state, so
    that a late order does not undo a newer change.
    """
    expected = {"role": replica.role, "version": replica.version}
    if rollout is not None:
        if replica.version != rollout.version:
            return Order("load_version", rollout.version, expected)
        for adapter in rollout.adapters:
            if adapter not in replica.adapters:
                return Order("load_adapter", adapter, expected)
    if change is not None and change.role not in ("", replica.role):
        return Order("set_role", change.role, expected)
    return None


def select_changes(
    shard: str,
    replicas: Iterable[messages.ReplicaReport],
    changes: Mapping[str, ReplicaChange],
    proposal: role_balance.RoleChange | None,
    rollout: declared_objects.Rollout | None,
    max_new_changes: int,
) -> dict[str, ReplicaChange]:
    """Returns the changes of ``shard`` that continue or start now.

    ``max_new_changes`` is how many more replicas of the pool may become
    unavailable for the rollout. It does not limit ``proposal``, since changes
    of role are proposed one at a time.
    """
    known = {replica.address: replica for replica in replicas}
    chosen = {
        address: change
        for address, change in changes.items()
        if address in known
        and next_order(known[address], change, rollout) is not None
    }
    if proposal is not None and proposal.address not in chosen:
        chosen[proposal.address] = ReplicaChange(shard, proposal.role.value)
    waiting = [
        replica
        for address, replica in sorted(known.items())
        if address not in chosen
        and next_order(replica, None, rollout) is not None
    ]
    waiting.sort(key=lambda replica: replica.granted)
    for replica in waiting[: max(0, max_new_changes)]:
        chosen[replica.address] = ReplicaChange(shard)
    return chosen


def shard_load(
    report: messages.ShardReport, changes: Mapping[str, ReplicaChange]
) -> role_balance.ShardLoad:
    """Returns the load of the replicas that are not changing."""
    usable = [
        replica
        for replica in report.replicas
        if replica.address not in changes
    ]
    by_role: dict[str, dict[str, int]] = {"prefill": {}, "decode": {}}
    for replica in usable:
        by_role[replica.role][replica.address] = replica.granted
    return role_balance.ShardLoad(
        by_role["prefill"],
        by_role["decode"],
        report.prefill_demand,
        report.decode_demand,
        bool(changes),
    )
