"""The balance of a shard's replicas between prefill and decode.

:func:`propose_role_change` is a pure function of the demand and of the number
of replicas in each role. The controller of a region calls it with each report
of a shard and makes one change at a time.
"""

from collections.abc import Mapping
from typing import NamedTuple

from . import replicas

# Highest utilisation at which prefill engines still meet the targets.
MAX_PREFILL_UTILISATION = 0.75
MAX_DECODE_UTILISATION = 0.95  # the same for decode memory
# A change must raise the load that can be served at least by this factor.
MIN_GAIN = 1.15
# Nothing changes while the demand is below this share of the load that the
# present roles can serve.
MIN_UTILISATION = 0.8


class ShardLoad(NamedTuple):
    """The usable replicas of a shard and its demand.

    ``prefills`` and ``decodes`` map the addresses of replicas to the amount
    granted there, in any unit that is the same within a role. The demands are
    in busy engines, see :class:`hemlockreel.forecast.Demand`.
    """

    prefills: Mapping[str, int]
    decodes: Mapping[str, int]
    prefill_demand: float
    decode_demand: float
    is_role_change_pending: bool


class RoleChange(NamedTuple):
    """A proposal that the replica at ``address`` takes ``role``."""

    address: str
    role: replicas.Role


def propose_role_change(
    load: ShardLoad, min_prefill: int = 1, min_decode: int = 1
) -> RoleChange | None:
    """Returns the change of role that helps the most, ``None`` if none is due.

    Nothing is proposed while a change is pending, while the present roles can
    serve the demand, or when the gain is small: a replica is drained before it
    changes, which costs more than a small gain returns.

    >>> busy = ShardLoad({"a": 0, "b": 0, "c": 3}, {"d": 20}, 0.5, 1.5, False)
    >>> propose_role_change(busy).role
    <Role.DECODE: 'decode'>
    """
    prefills = len(load.prefills)
    decodes = len(load.decodes)
    if load.is_role_change_pending or not prefills or not decodes:
        return None
    load_factor = _supported_load_factor(load, prefills, decodes)
    if load_factor * MIN_UTILISATION > 1:
        return None
    more_decode = _supported_load_factor(load, prefills - 1, decodes + 1)
    more_prefill = _supported_load_factor(load, prefills + 1, decodes - 1)
    if more_decode >= more_prefill:
        if prefills <= min_prefill or more_decode < MIN_GAIN * load_factor:
            return None
        return RoleChange(_least_loaded(load.prefills), replicas.Role.DECODE)
    if decodes <= min_decode or more_prefill < MIN_GAIN * load_factor:
        return None
    return RoleChange(_least_loaded(load.decodes), replicas.Role.PREFILL)


def _supported_load_factor(
    load: ShardLoad, prefills: int, decodes: int
) -> float:
    """Returns which multiple of the demand the replicas could serve."""
    return min(
        MAX_PREFILL_UTILISATION * prefills / max(load.prefill_demand, 1e-6),
        MAX_DECODE_UTILISATION * decodes / max(load.decode_demand, 1e-6),
    )


def _least_loaded(granted: Mapping[str, int]) -> str:
    """Returns the replica with the least granted, which drains first."""
    return min(granted, key=lambda address: (granted[address], address))
