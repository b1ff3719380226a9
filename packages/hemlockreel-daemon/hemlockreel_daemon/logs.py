"""Structured logs: one JSON object a line on standard output.

A line is handed to a thread of its own, so nobody waits for whoever reads the
log. The rate and what waits are bounded. Lines beyond that are dropped and
counted, and the count is a line itself. Lines about the life of the process
and of its dependencies come seldom and are never dropped for the rate.
"""

import logging
from logging import handlers
import queue
import sys
import threading
import time
from typing import Any
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

LOG = logging.getLogger("hemlockreel")
MAX_QUEUED_LINES = 2000  # lines; some 600 KB
LINES_PER_S = 200.0  # several times the lines of a busy host's requests
BURST_LINES = 1000
NEVER_DROPPED = frozenset(
    {
        "started",
        "stopped",
        "reloaded",
        "reload_failed",
        "draining",
        "ready",
        "not_ready",
        "store_lost",
        "store_regained",
        "deployment_in_force",
        "loop_failed",
    }
)
# Names that a log record uses itself.
RECORD_ATTRIBUTES = frozenset(
    {*logging.makeLogRecord({}).__dict__, "message", "asctime"}
)
STOP_TIMEOUT_S = 1.0  # for the lines that wait, if nobody reads them


class _RateLimitedHandler(handlers.QueueHandler):
    """Hands lines to the writing thread, as far as the bounds allow."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self._tokens = float(BURST_LINES)
        self._filled_at = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Hands a line on, or counts it as dropped."""
        if record.msg not in NEVER_DROPPED and not self._take_token():
            self.dropped += 1
            return
        if self.dropped:
            self._report_dropped()
        self._put(record)

    def _take_token(self) -> bool:
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), filled)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _report_dropped(self) -> None:
        record = logging.makeLogRecord(
            {"msg": "lines_dropped", "levelno": logging.WARNING,
             "levelname": "WARNING", "count": self.dropped}
        )  # fmt: skip
        self.dropped = 0
        self._put(record)

    def _put(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += getattr(record, "count", 1)


_listener: handlers.QueueListener | None = None


def configure(level: str, stream: TextIO | None = None) -> None:
    """Sends the log to ``stream``, by default standard output, as JSON."""
    global _listener
    stop()
    writer = logging.StreamHandler(stream or sys.stdout)
    writer.setFormatter(
        jsonlogger.JsonFormatter("%(asctime)s %(levelname)s %(message)s")
    )
    bounded = _RateLimitedHandler(queue.Queue(MAX_QUEUED_LINES))
    _listener = handlers.QueueListener(bounded.queue, writer)
    _listener.start()
    LOG.handlers = [bounded]
    LOG.propagate = False
    LOG.setLevel(level)


def stop() -> None:
    """Writes what waits and ends the writing thread."""
    global _listener
    listener, _listener = _listener, None
    if listener is not None:
        LOG.handlers = []
        # The listener's own stop() would wait for a reader without end.
        stopper = threading.Thread(target=listener.stop, daemon=True)
        stopper.start()
        stopper.join(STOP_TIMEOUT_S)


def write(event: str, fields: dict[str, Any]) -> None:
    """Writes one line about ``event``."""
    extra = {
        f"field_{name}" if name in RECORD_ATTRIBUTES else name: value
        for name, value in fields.items()
    }
    LOG.info(event, extra=extra)
