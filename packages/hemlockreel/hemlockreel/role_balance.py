"""The balance of a shard's replicas between prefill and decode.

:func:`propose` is a pure function of what callers ask for and of how many
replicas have which role. The controller of a region calls it again and again
and carries out one change at a time.
"""

from collections.abc import Mapping
from typing import NamedTuple

from . import replicas

PREFILL_GOAL = 0.75  # utilisation of prefill engines that still keeps targets
DECODE_GOAL = 0.95  # the same for decode memory
MIN_GAIN = 1.15  # factor on the load that fits, below which nothing changes
PRESSED = 0.8  # share of the load that fits, below which nothing changes


class Shape(NamedTuple):
    """The replicas of a shard and their load.

    ``prefills`` and ``decodes`` map the addresses of usable replicas to what
    is granted there. The demands are in busy engines, see
    :class:`hemlockreel.forecast.Demand`. ``changing`` says that a replica is
    on its way to another role.
    """

    prefills: Mapping[str, int]
    decodes: Mapping[str, int]
    prefill_demand: float
    decode_demand: float
    changing: bool


class Proposal(NamedTuple):
    """``address`` should take ``role``."""

    address: str
    role: replicas.Role


def propose(
    shape: Shape, min_prefill: int = 1, min_decode: int = 1
) -> Proposal | None:
    """Returns the one change of role that helps the most, if any is due.

    Nothing is proposed while a change is under way, while the present roles
    fit the load, or when the gain is small: a change empties a replica first,
    which costs more than a small gain returns.

    >>> busy = Shape({"a": 0, "b": 0, "c": 3}, {"d": 20}, 0.5, 1.5, False)
    >>> propose(busy).role
    <Role.DECODE: 'decode'>
    """
    prefills = len(shape.prefills)
    decodes = len(shape.decodes)
    if shape.changing or not prefills or not decodes:
        return None
    now = _fits(shape, prefills, decodes)
    if now * PRESSED > 1:
        return None
    more_decode = _fits(shape, prefills - 1, decodes + 1)
    more_prefill = _fits(shape, prefills + 1, decodes - 1)
    if more_decode >= more_prefill:
        if prefills <= min_prefill or more_decode < MIN_GAIN * now:
            return None
        return Proposal(_least(shape.prefills), replicas.Role.DECODE)
    if decodes <= min_decode or more_prefill < MIN_GAIN * now:
        return None
    return Proposal(_least(shape.decodes), replicas.Role.PREFILL)


def _fits(shape: Shape, prefills: int, decodes: int) -> float:
    """Returns which multiple of the present load the replicas could serve."""
    return min(
        PREFILL_GOAL * prefills / max(shape.prefill_demand, 1e-6),
        DECODE_GOAL * decodes / max(shape.decode_demand, 1e-6),
    )


def _least(held: Mapping[str, int]) -> str:
    """Returns the replica that is emptied the soonest."""
    return min(held, key=lambda address: (held[address], address))
