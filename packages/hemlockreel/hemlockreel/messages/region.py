"""Messages on the control of a region and on the platform's lists."""

import msgspec

from ..forwarding import instances
from . import shared


class ReplicaReport(msgspec.Struct, frozen=True, array_like=True):
    """A shard owner's view of an engine; ``granted`` counts its grants."""

    address: str
    role: str
    version: str
    adapters: list[str]
    granted: int


class ShardReport(shared.Message):
    """A shard owner reports the state of a shard to the controller.

    The demands are in busy engines, see :mod:`hemlockreel.role_balance`.
    """

    shard: str
    replicas: list[ReplicaReport]
    prefill_demand: float = 0.0
    decode_demand: float = 0.0


class ShardPlan(shared.Message):
    """The controller lists the engines that must get no new work."""

    shard: str
    retiring: list[str]


class ReplicaChanging(shared.Message):
    """A replica was ordered to change its stage or has confirmed the change.

    ``replica`` is an id. The replica gets no new requests for ``for_s``, as
    its entry in the list still shows the previous ``stage``, which is empty
    if the sender doesn't know it.
    """

    replica: str
    for_s: float
    stage: str = ""


class ReplicaLeaving(shared.Message):
    """A replica has stated in a response that it leaves.

    ``replica`` is an id and ``born`` the start of the run that leaves.
    """

    replica: str
    born: int


class ListRead(shared.Message):
    """What a reader has read from the platform's store, for other hosts.

    ``kind`` is the value of an ``ObjectKind`` of
    :mod:`hemlockreel.forwarding.store_fanout`. The sender has read all changes
    up to the revision ``at``; the store's last response is ``age_s`` old. A
    receiver that has all changes up to ``base`` needs only ``changed`` and
    ``gone``, the replicas that have changed and disappeared since.
    ``version`` is that of the deployment in force at the sender.

    ``era`` is that of the store at ``at``. ``base_era`` is that of ``base``
    if it differs: the store was restored, and this is what the restored list
    changes for a receiver that knows exactly the state at ``base``.
    """

    kind: str
    at: int
    base: int
    age_s: float
    version: int = 0
    changed: list[instances.Instance] = []
    gone: list[str] = []
    era: int = 0
    base_era: int | None = None
