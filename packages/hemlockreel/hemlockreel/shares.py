"""What each organisation holds, and how much a flooding one may hold.

An organisation floods when it asks for a large part of all that is asked for.
It then gets no more decode memory than a max-min fair share by weight: who
wants less than the level gets it, a flooding one gets the level. A part of
the memory is left out of the sharing, so that the asks of the others find
room at once although the flood would take it all.
"""

import math

from . import prediction

FLOOD_SHARE = 1 / 3  # share of all that is asked for that makes a flood
WINDOW_S = 20.0  # time over which it is counted what is asked for
HEADROOM = 0.15  # share of memory that is not given to a flood
PERIOD_S = 0.2  # how long a level is kept
MIN_WEIGHT = 0.001
MAX_ASKING = 1024


class Shares:
    """The pieces that organisations hold and wait for."""

    def __init__(self):
        self._held: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._asked: dict[str, prediction.Rate] = {}
        self._all_asked = prediction.Rate(WINDOW_S)
        self._level = math.inf
        self._level_at = -math.inf

    def ask(self, name: str, pieces: int, now: float) -> None:
        """Counts pieces that an organisation asks for, granted or not."""
        rate = self._asked.get(name)
        if rate is None:
            self._forget(now)
            rate = self._asked[name] = prediction.Rate(WINDOW_S)
        rate.add(pieces, now)
        self._all_asked.add(pieces, now)

    def floods(self, name: str, now: float) -> bool:
        """Returns whether an organisation asks for a large part of all."""
        rate = self._asked.get(name)
        if rate is None:
            return False
        return rate.get(now) > FLOOD_SHARE * self._all_asked.get(now)

    def wait(self, name: str, weight: float, pieces: int) -> None:
        """Counts pieces that an organisation waits for, or no longer."""
        self._weights[name] = max(weight, MIN_WEIGHT)
        self._add(self._waiting, name, pieces)

    def hold(self, name: str, pieces: int) -> None:
        """Counts pieces that an organisation holds, or no longer."""
        self._add(self._held, name, pieces)

    def allows(self, name: str, pieces: int, total: int, now: float) -> bool:
        """Returns whether a flooding one may hold ``pieces`` more."""
        if not self._level_at <= now < self._level_at + PERIOD_S:
            self._level = self._fill(total)
            self._level_at = now
        limit = self._level * self._weights.get(name, 1.0)
        held = self._held.get(name, 0)
        return held == 0 or held + pieces <= limit

    def _fill(self, total: int) -> float:
        """Returns the level, infinite when all demands fit below it."""
        wanted = []
        for name in self._held.keys() | self._waiting.keys():
            pieces = self._held.get(name, 0) + self._waiting.get(name, 0)
            weight = self._weights.get(name, 1.0)
            wanted.append((pieces / weight, pieces, weight))
        wanted.sort()
        left = total * (1 - HEADROOM)
        weights = sum(weight for _, _, weight in wanted)
        for per_weight, pieces, weight in wanted:
            if per_weight * weights > left:
                return left / weights
            left -= pieces
            weights -= weight
        return math.inf

    def _forget(self, now: float) -> None:
        """Drops organisations that ask no more, when there are many."""
        if len(self._asked) < MAX_ASKING:
            return
        self._asked = {
            name: rate
            for name, rate in self._asked.items()
            if rate.get(now) * WINDOW_S > 1
        }

    def _add(self, counts: dict[str, int], name: str, pieces: int) -> None:
        count = counts.get(name, 0) + pieces
        if count:
            counts[name] = count
            return
        counts.pop(name, None)
        if name not in self._held and name not in self._waiting:
            self._weights.pop(name, None)
