"""Times the events of a stream, to learn the pace of its replica."""

from collections.abc import Callable
from typing import Any

from hemlockreel.forwarding import replica_pace

# A stream is reported this often, so that a replica that slows down is found
# before its streams end.
PERIOD_S = 0.5
# Of the time, that a caller may take to read. Events that wait for it come
# together afterwards and say nothing about the replica.
MAX_CALLER_SHARE = 0.1


class Timer:
    """Times one run of a stream that was sent to its replica at ``sent_at``.

    ``report`` is called with the kind, the seconds and the time for which the
    replica was busy. The first event is timed if the prompt ``was_prefilled``;
    it else waits for the prefill, which takes as long as the prompt is.
    """

    def __init__(
        self,
        report: Callable[[replica_pace.Kind, float, float], Any],
        sent_at: float,
        was_prefilled: bool,
    ):
        self._report = report
        self._sent_at = sent_at
        self._was_prefilled = was_prefilled
        self._first_at: float | None = None
        self._since = sent_at
        self._events = 0
        self._caller_s = 0.0

    def note_events(self, count: int, now: float) -> None:
        """Notes that ``count`` events were received."""
        if self._first_at is None:
            self._first_at = self._since = now
            if self._was_prefilled:
                seconds = now - self._sent_at
                self._report(replica_pace.Kind.FIRST_EVENT, seconds, 0.0)
            return
        self._events += count
        if now - self._since >= PERIOD_S:
            self._report_events(now)

    def note_caller(self, seconds: float) -> None:
        """Notes for how long events were written to the caller."""
        self._caller_s += seconds

    def finish(self, now: float) -> None:
        """Notes the end of a complete stream."""
        if self._events:
            self._report_events(now)

    def _report_events(self, now: float) -> None:
        passed_s = now - self._since
        if self._caller_s <= MAX_CALLER_SHARE * passed_s:
            seconds = passed_s / self._events
            self._report(replica_pace.Kind.EVENT, seconds, passed_s)
        self._since, self._events, self._caller_s = now, 0, 0.0
