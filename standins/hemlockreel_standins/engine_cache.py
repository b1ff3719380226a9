"""The prefix cache of a model engine, and its late events."""

import collections
from typing import Any
from typing import NamedTuple

MAX_EVENTS = 1000  # older events are gone, which readers see as a gap


class _Event(NamedTuple):
    seq: int
    at: float
    type: str
    prefix: int


class PrefixCache:
    """Keeps the blocks that were used last, up to ``capacity`` of them."""

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
        """Returns how many leading blocks of a prompt are cached."""
        count = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            count += 1
        return count

    def store(self, prefixes: tuple[int, ...], now: float) -> None:
        """Keeps the blocks of a prompt, the leading ones the longest."""
        for prefix in reversed(prefixes):
            if prefix not in self._blocks:
                self._record(now, "stored", prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self.capacity:
            prefix, _ = self._blocks.popitem(last=False)
            self._record(now, "evicted", prefix)

    def events(self, after: int, now: float) -> dict[str, Any]:
        """Returns the events above ``after`` that are old enough to show."""
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
        """Drops all events that nobody has read, leaving a gap."""
        self._events.clear()

    def _record(self, now: float, kind: str, prefix: int) -> None:
        self._seq += 1
        self._events.append(_Event(self._seq, now, kind, prefix))
