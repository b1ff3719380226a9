"""What each organisation holds, and how much a flooding one may hold.

An organisation floods when it asks for a large part of all that is asked for,
and for clearly more than its share by weight. It then gets no more decode
memory than a max-min fair share: who wants less than the level gets it, a
flooding one gets the level. A part of the memory is left out of the sharing,
so that the asks of the others find room at once although the flood would take
it all.
"""

import math

from . import running_stats

FLOOD_SHARE = 1 / 3  # share of all that is asked for that makes a flood
FLOOD_FACTOR = 1.5  # the least multiple of the own share by weight
DEMAND_WINDOW_S = 20.0  # time over which it is counted what is asked for
HEADROOM_SHARE = 0.15  # share of memory that is not given to a flood
UPDATE_PERIOD_S = 0.2  # how long a level is kept
MIN_WEIGHT = 0.001
MIN_DEMAND_KV_BLOCKS = 0.1  # an organisation that asked for less has gone


class FairShares:
    """The pieces that organisations hold and wait for."""

    def __init__(self):
        self._held: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._demand: dict[str, running_stats.DecayingRate] = {}
        self._level = math.inf
        self._flooding: set[str] = set()
        self._updated_at = -math.inf

    def record_demand(
        self, name: str, weight: float, kv_blocks: int, now: float
    ) -> None:
        """Counts pieces that an organisation asks for, granted or not."""
        rate = self._demand.get(name)
        if rate is None:
            rate = self._demand[name] = running_stats.DecayingRate(
                DEMAND_WINDOW_S
            )
        rate.add(kv_blocks, now)
        self._weights[name] = max(weight, MIN_WEIGHT)

    def is_flooding(self, name: str, total: int, now: float) -> bool:
        """Returns whether an organisation asks for a large part of all.

        ``total`` is the memory of the shard in pieces.
        """
        if not self._updated_at <= now < self._updated_at + UPDATE_PERIOD_S:
            self._updated_at = now
            self._update_flooding(now)
            self._level = (
                self._max_min_level(total) if self._flooding else math.inf
            )
        return name in self._flooding

    def adjust_waiting(self, name: str, weight: float, kv_blocks: int) -> None:
        """Counts pieces that an organisation waits for, or no longer."""
        self._weights[name] = max(weight, MIN_WEIGHT)
        self._adjust(self._waiting, name, kv_blocks)

    def adjust_held(self, name: str, kv_blocks: int) -> None:
        """Counts pieces that an organisation holds, or no longer."""
        self._adjust(self._held, name, kv_blocks)

    def may_hold(self, name: str, kv_blocks: int) -> bool:
        """Returns whether a flooding one may hold ``pieces`` more."""
        limit = self._level * self._weights.get(name, 1.0)
        held = self._held.get(name, 0)
        return held == 0 or held + kv_blocks <= limit

    def _update_flooding(self, now: float) -> None:
        """Finds out who floods, and forgets who no longer asks."""
        rates = {name: rate.get(now) for name, rate in self._demand.items()}
        for name, rate in rates.items():
            if rate * DEMAND_WINDOW_S < MIN_DEMAND_KV_BLOCKS:
                del self._demand[name]
                self._forget_idle(name)
        total_demand = sum(rates.values())
        weights = sum(self._weights[name] for name in self._demand)
        self._flooding = {
            name
            for name in self._demand
            if rates[name] > FLOOD_SHARE * total_demand
            and rates[name] * weights
            > FLOOD_FACTOR * total_demand * self._weights[name]
        }

    def _max_min_level(self, total: int) -> float:
        """Returns the level, infinite when all demands fit below it."""
        demands = []
        for name in self._held.keys() | self._waiting.keys():
            kv_blocks = self._held.get(name, 0) + self._waiting.get(name, 0)
            weight = self._weights.get(name, 1.0)
            demands.append((kv_blocks / weight, kv_blocks, weight))
        demands.sort()
        left = total * (1 - HEADROOM_SHARE)
        weights = sum(weight for _, _, weight in demands)
        for per_weight, kv_blocks, weight in demands:
            if per_weight * weights > left:
                return left / weights
            left -= kv_blocks
            weights -= weight
        return math.inf

    def _adjust(
        self, counts: dict[str, int], name: str, kv_blocks: int
    ) -> None:
        count = counts.get(name, 0) + kv_blocks
        if count:
            counts[name] = count
            return
        counts.pop(name, None)
        self._forget_idle(name)

    def _forget_idle(self, name: str) -> None:
        """Forgets the weight of who holds, waits and asks for nothing."""
        known = (self._held, self._waiting, self._demand)
        if not any(name in counts for counts in known):
            self._weights.pop(name, None)
