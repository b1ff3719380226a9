"""Which replicas of a pool should change, and by which orders.

All functions are pure: they compare what owners report with what is declared.
Nothing is remembered of an order but that it was given, so an order that was
lost or came late is put right on the next pass. Following the "Otter
Convergence Specification", a change that does not fit the limit is done in
part, and replicas that change anyway come first.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from . import messages
from . import objects
from . import role_balance


class ReplicaChange(NamedTuple):
    """A replica on its way to another state.

    ``role`` is the role it should take, empty to keep its own.
    ``announced_to`` is the owner that was told to give it no new work,
    ``ordered_at`` the time of the last order.
    """

    shard: str
    role: str = ""
    announced_to: str = ""
    ordered_at: float | None = None
    failures: int = 0


class Order(NamedTuple):
    """An order to an engine; see docs/design/protocols.md."""

    order: str
    value: str
    expected: dict[str, Any]


def next_order(
    replica: messages.ReplicaReport,
    change: ReplicaChange | None,
    rollout: objects.Rollout | None,
) -> Order | None:
    """Returns the order that ``replica`` needs next, if any.

    It states what the replica is believed to be, so that an order which comes
    late changes nothing that was changed since.
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
    rollout: objects.Rollout | None,
    max_new_changes: int,
) -> dict[str, ReplicaChange]:
    """Returns the changes of ``shard`` that go on or begin now.

    ``room`` is how many more replicas of the pool may be unavailable for the
    rollout; a change of role is limited by the balance itself.
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
    """Returns what the balance of roles depends on."""
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
