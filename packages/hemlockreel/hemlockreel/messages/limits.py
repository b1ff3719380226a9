"""Messages on limits that replicas name.

See :mod:`hemlockreel.forwarding.replica_limits`.
"""

from . import shared


class ReplicaLimited(shared.Message):
    """The run ``born`` of a replica takes ``rate`` requests a second.

    That is from all hosts together; ``None`` means that it names no limit
    any more.
    """

    replica: str
    born: int
    rate: float | None


class PermitAsked(shared.Message):
    """A host wants to make ``calls`` calls to a replica with a limit.

    ``key`` identifies the answer, ``rate`` is the limit as this host knows
    it. The first call can wait for ``max_wait_s``.
    """

    key: str
    replica: str
    born: int
    rate: float
    max_wait_s: float
    calls: int = 1


class PermitGiven(shared.Message):
    """The answer to :class:`PermitAsked`.

    A ``granted`` request may be sent after ``after_s`` seconds. Otherwise
    that is when to ask again.
    """

    key: str
    granted: bool
    after_s: float
