"""Limits the decode memory of organisations that flood a shard.

An organisation is flooding when it requests a large part of all requested
memory and clearly more than its share by weight. It may then hold no more
than its max-min fair share: organisations that need less than the fair level
get all they need, a flooding one gets the level. Part of the memory is left
out of the sharing, so that requests of the others find free memory at once.
"""

import math

from . import running_stats

# An organisation floods above both this share of the total demand and this
# multiple of its own share by weight.
FLOOD_SHARE = 1 / 3
FLOOD_FACTOR = 1.5
DEMAND_WINDOW_S = 20.0  # time constant of the demand
HEADROOM_SHARE = 0.15  # share of memory that flooding organisations don't get
UPDATE_PERIOD_S = 0.2  # for which the flooding ones and the level are kept
MIN_WEIGHT = 0.001
MIN_DEMAND_KV_BLOCKS = 0.1  # organisations with less demand are dropped


class FairShares:
    """The KV blocks that each organisation requests, waits for and holds."""

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
        """Counts KV blocks that are requested, granted or not."""
        rate = self._demand.get(name)
        if rate is None:
            rate = self._demand[name] = running_stats.DecayingRate(
                DEMAND_WINDOW_S
            )
        rate.add(kv_blocks, now)
        self._weights[name] = max(weight, MIN_WEIGHT)

    def is_flooding(self, name: str, total: int, now: float) -> bool:
        """Returns whether an organisation floods the shard.

        ``total`` is the memory of the shard in KV blocks.
        """
        if not self._updated_at <= now < self._updated_at + UPDATE_PERIOD_S:
            self._updated_at = now
            self._update_flooding(now)
            self._level = (
                self._max_min_level(total) if self._flooding else math.inf
            )
        return name in self._flooding

    def adjust_waiting(self, name: str, weight: float, kv_blocks: int) -> None:
        """Adds to the KV blocks that an organisation waits for."""
        self._weights[name] = max(weight, MIN_WEIGHT)
        self._adjust(self._waiting, name, kv_blocks)

    def adjust_held(self, name: str, kv_blocks: int) -> None:
        """Adds to the KV blocks that an organisation holds."""
        self._adjust(self._held, name, kv_blocks)

    def may_hold(self, name: str, kv_blocks: int) -> bool:
        """Returns whether a flooding organisation may hold ``kv_blocks`` more.

        One that holds nothing may always hold one request.
        """
        limit = self._level * self._weights.get(name, 1.0)
        held = self._held.get(name, 0)
        return held == 0 or held + kv_blocks <= limit

    def _update_flooding(self, now: float) -> None:
        """Determines the flooding organisations and drops the inactive."""
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
        """Returns the fair KV blocks per weight, infinite if all fit."""
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
        """Drops an organisation that holds, waits for and requests nothing."""
        known = (self._held, self._waiting, self._demand)
        if not any(name in counts for counts in known):
            self._weights.pop(name, None)
