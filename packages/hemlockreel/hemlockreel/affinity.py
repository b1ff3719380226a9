"""Estimates which prompt prefixes a prefill replica has cached.

A request whose prefix is cached needs a shorter prefill there, so placement
prefers that replica.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

MAX_CAPACITY = 4096  # hints per replica
MIN_CAPACITY = 32
SHRINK_FACTOR = 0.9  # applied to the capacity after a wrong hint
GROWTH_FACTOR = 1.02  # applied to the capacity after a right hint


class PrefixHints:
    """The prefix blocks that a replica has probably cached, oldest first.

    Hints come from finished prefills and from the replica's cache events,
    which are late and incomplete. A wrong hint costs time but never changes a
    response. ``capacity`` follows the size of the replica's cache.
    """

    def __init__(self, capacity: int = MAX_CAPACITY):
        self.capacity = capacity
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match(self, prefixes: Sequence[int]) -> int:
        """Returns how many leading blocks are probably cached.

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
        """Records that the replica used the blocks, as the newest hints."""
        for prefix in prefixes:
            self._known[prefix] = None
            self._known.move_to_end(prefix)
        while len(self._known) > self.capacity:
            self._known.popitem(last=False)

    def adapt_capacity(self, expected: int, cached: int) -> None:
        """Adapts the number of hints to a finished prefill.

        ``expected`` and ``cached`` are what the hints promised and what the
        replica found in its cache, in one unit. If it found less, it has
        evicted blocks earlier than assumed and fewer hints are kept; the
        oldest ones are dropped by the next :meth:`add`.
        """
        if cached < expected:
            size = int(len(self._known) * SHRINK_FACTOR)
            self.capacity = max(MIN_CAPACITY, size)
        elif expected:
            self.capacity = min(
                MAX_CAPACITY, int(self.capacity * GROWTH_FACTOR) + 1
            )

    def apply_events(self, events: Iterable[dict]) -> None:
        """Applies cache events, see docs/design/protocols.md."""
        for event in events:
            if event["type"] == "stored":
                self.add([event["prefix"]])
            else:
                self._known.pop(event["prefix"], None)
