"""Messages on the pace of replicas.

See :mod:`hemlockreel.forwarding.replica_pace`.
"""

import msgspec

from . import shared


class ReplicaTimes(msgspec.Struct, frozen=True, array_like=True):
    """Sums over samples of the run ``born`` of a replica.

    ``kind`` says what was timed; the sums are those of
    :class:`hemlockreel.forwarding.pace_estimates.Sums`.
    """

    replica: str
    born: int
    kind: str
    count: int
    logs: float
    squares: float
    busy_s: float


class TimesReported(shared.Message):
    """The times that a host saw at ``service`` since its last report."""

    service: str
    times: list[ReplicaTimes]


class ReplicaPace(msgspec.Struct, frozen=True, array_like=True):
    """The run ``born`` of a replica has this ``pace``, 1 for the typical one.

    ``room`` is the share of its slots that it takes well.
    """

    replica: str
    born: int
    pace: float
    room: float = 1.0


class PacesTold(shared.Message):
    """The answer to :class:`TimesReported`: replicas that differ.

    Those that have ceased to differ are told for some more seconds.
    """

    service: str
    paces: list[ReplicaPace]
