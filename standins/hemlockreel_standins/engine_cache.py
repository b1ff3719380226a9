"""The prefix cache of a simulated engine, with delayed change events."""

import collections
from typing import Any
from typing import NamedTuple

MAX_EVENTS = 1000  # readers see the loss of older events as a gap in ``seq``


class _Event(NamedTuple):
    seq: int
    at: float
    type: str
    prefix: int


class PrefixCache:
    """An LRU cache of up to ``capacity`` blocks, each known by its hash.

    An event becomes visible ``event_lag_s`` seconds after its change.
    """

    def __init__(self, capacity: int, event_lag_s: float):
        self.capacity = capacity
        self.event_lag_s = event_lag_s
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[_Event] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._seq = 0

    def match(self, prefixes: tuple[int, ...]) -> int:
        """Returns the number of consecutive leading blocks that are cached."""
        count = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            count += 1
        return count

    def store(self, prefixes: tuple[int, ...], now: float) -> None:
        """Caches the blocks of a prompt; leading blocks are evicted last."""
        for prefix in reversed(prefixes):
            if prefix not in self._blocks:
                self._record(now, "stored", prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self.capacity:
            prefix, _ = self._blocks.popitem(last=False)
            self._record(now, "evicted", prefix)

    def events(self, after: int, now: float) -> dict[str, Any]:
        """Returns the visible events with a number above ``after``."""
        shown = [
            event
            for event in self._events
            if event.seq > after and event.at + self.event_lag_s <= now
        ]
        seq = shown[-1].seq if shown else after
        body = [
            {"type": event.type, "prefix": event.prefix} for event in shown
        ]
        return {"seq": seq, "events": body}

    def lose_events(self) -> None:
        """Drops all retained events, which leaves a gap in the numbers."""
        self._events.clear()

    def _record(self, now: float, kind: str, prefix: int) -> None:
        self._seq += 1
        self._events.append(_Event(self._seq, now, kind, prefix))
