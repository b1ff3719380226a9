"""The order in which requests that wait for a place are served.

Organisations within their max-min fair share come before those above it, then
the more urgent request, then the organisation that holds least, then the one
that waits longest. A small part of the places goes to the one that waits
longest, so that nothing starves behind a flood of more urgent requests.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from . import pool_load

# Of the places, in tokens, for the one that waits longest.
OLDEST_SHARE = 0.05


class Waiting(NamedTuple):
    """A request that waits for a place; see ``messages.PlaceAsked``.

    It waits until ``until`` and was received at ``asked_at``.
    """

    key: str
    host: str
    number: int
    tokens: int
    priority: int
    organisation: str
    asked_at: float
    until: float
    exclude: tuple[str, ...] = ()


class PoolQueue:
    """The requests that wait for a place, by key."""

    def __init__(self):
        self.waiting: dict[str, Waiting] = {}
        self._credit = 0.0

    def ordered(
        self, load: pool_load.PoolLoad, capacity: float
    ) -> list[Waiting]:
        """Returns those that wait in the order in which to serve them.

        ``capacity`` is the cost of all places of the pool.
        """
        if len(self.waiting) < 2:
            return list(self.waiting.values())
        demands = self._demands(load)
        level = max_min_level(demands.values(), capacity)
        held = {name: load.held_by(name) for name in demands}

        def key(each: Waiting) -> tuple[bool, int, int, float, str]:
            own = held[each.organisation]
            is_above = own > 0 and own + max(each.tokens, 1) > level
            return (is_above, each.priority, own, each.asked_at, each.key)

        result = sorted(self.waiting.values(), key=key)
        oldest = min(result, key=lambda each: each.asked_at)
        if self._credit >= pool_load.cost(oldest.tokens):
            result.remove(oldest)
            result.insert(0, oldest)
        return result

    def take(self, served: Waiting) -> None:
        """Removes a request that gets its place."""
        self.waiting.pop(served.key, None)
        oldest = min(
            (each.asked_at for each in self.waiting.values()), default=math.inf
        )
        if oldest < served.asked_at:
            self._credit += OLDEST_SHARE * pool_load.cost(served.tokens)
        else:
            spent = pool_load.cost(served.tokens)
            self._credit = max(0.0, self._credit - spent)

    def is_only_one(self, each: Waiting) -> bool:
        """Returns whether no other of its kind and organisation waits."""
        return not any(
            other.key != each.key
            and other.organisation == each.organisation
            and other.priority == each.priority
            for other in self.waiting.values()
        )

    def _demands(self, load: pool_load.PoolLoad) -> dict[str, int]:
        """Returns what each organisation holds and waits for."""
        demands = {name: load.held_by(name) for name in load.holders()}
        for each in self.waiting.values():
            demands[each.organisation] = demands.get(
                each.organisation, 0
            ) + pool_load.cost(each.tokens)
        return demands


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the share that none exceeds, infinite if all demands fit.

    >>> max_min_level([10, 50, 90], 100)
    45.0
    >>> max_min_level([10, 50], 100)
    inf
    """
    rising = sorted(demands)
    left = float(capacity)
    for number, demand in enumerate(rising):
        share = left / (len(rising) - number)
        if demand > share:
            return share
        left -= demand
    return math.inf
