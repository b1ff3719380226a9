"""The control of a region, and what is read of the platform."""

import msgspec

from ..forwarding import instances
from . import shared


class ReplicaReport(msgspec.Struct, frozen=True, array_like=True):
    """What an owner knows of an engine; ``granted`` counts its grants."""

    address: str
    role: str
    version: str
    adapters: list[str]
    granted: int


class ShardReport(shared.Message):
    """An owner tells the region's controller how a shard fares.

    The demands are in busy engines, see :mod:`hemlockreel.balance`.
    """

    shard: str
    replicas: list[ReplicaReport]
    prefill_demand: float = 0.0
    decode_demand: float = 0.0


class ShardPlan(shared.Message):
    """The controller names the engines that are to get no new work."""

    shard: str
    retiring: list[str]


class ReplicaChanging(shared.Message):
    """A replica was ordered to change its stage, or has answered that it did.

    ``replica`` is an id. It runs nothing new for ``for_s``, while its entry
    still shows the stage before.
    """

    replica: str
    for_s: float


class ListRead(shared.Message):
    """What a host has read from the platform's store for the others.

    ``kind`` is a value of
    :class:`hemlockreel.forwarding.store_fanout.ObjectKind`. All is read up to
    the revision ``at``, as the store answered ``age_s`` ago. Who
    has read up to ``base`` misses nothing but ``changed`` and ``gone``, the
    replicas that have changed and disappeared. ``version`` is that of the
    deployment in force at the sender.
    """

    kind: str
    at: int
    base: int
    age_s: float
    version: int = 0
    changed: list[instances.Instance] = []
    gone: list[str] = []
