"""Hints about which prefill replica has which prefix cached."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

MAX_CAPACITY = 4096  # most hints kept per replica
MIN_CAPACITY = 32
SHRINK_FACTOR = 0.9  # factor on the hints that are kept after a wrong one
GROWTH_FACTOR = 1.02  # the same after a right one


class PrefixHints:
    """The prefixes that a replica is believed to have.

    Hints come from prefills that ended there and from its cache events, which
    are late and have gaps. A wrong hint costs time, never an answer.
    """

    def __init__(self, capacity: int = MAX_CAPACITY):
        self.capacity = capacity
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match(self, prefixes: Sequence[int]) -> int:
        """Returns how many leading blocks are believed to be cached.

        >>> hints = PrefixHints()
        >>> hints.add([1, 2])
        >>> hints.match([1, 2, 3])
        2
        """
        count = 0
        for prefix in prefixes:
            if prefix not in self._known:
                break
            count += 1
        return count

    def add(self, prefixes: Iterable[int]) -> None:
        """Notes that the blocks were used at the replica."""
        for prefix in prefixes:
            self._known[prefix] = None
            self._known.move_to_end(prefix)
        while len(self._known) > self.capacity:
            self._known.popitem(last=False)

    def adapt_capacity(self, expected: int, cached: int) -> None:
        """Learns from a prefill how much the replica really keeps.

        ``believed`` blocks were thought to be cached and ``found`` were. The
        oldest hints are dropped when they turn out to be wrong.
        """
        if cached < expected:
            size = int(len(self._known) * SHRINK_FACTOR)
            self.capacity = max(MIN_CAPACITY, size)
        elif expected:
            self.capacity = min(
                MAX_CAPACITY, int(self.capacity * GROWTH_FACTOR) + 1
            )

    def apply_events(self, events: Iterable[dict]) -> None:
        """Takes over cache events, see docs/design/protocols.md."""
        for event in events:
            if event["type"] == "stored":
                self.add([event["prefix"]])
            else:
                self._known.pop(event["prefix"], None)
