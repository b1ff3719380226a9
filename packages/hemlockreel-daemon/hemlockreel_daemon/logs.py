"""Structured logs: one JSON object per line on standard output.

A separate thread writes the lines, so a slow log reader blocks no other
thread. The rate and the queue are bounded; excess lines are dropped and their
number is logged. Lines about the life of the process and its dependencies are
rare and exempt from the rate limit; a part of the queue is kept for them.
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
MAX_QUEUED_LINES = 2000  # about 600 KB
RESERVED_LINES = 200  # of the queue, beyond the others, for exempt lines
LINES_PER_S = 200.0  # several times what the requests of a busy host need
BURST_LINES = 1000
RATE_LIMIT_EXEMPT = frozenset(
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
# Names that a log record uses itself; fields may not override them.
RECORD_ATTRIBUTES = frozenset(
    {*logging.makeLogRecord({}).__dict__, "message", "asctime"}
)
STOP_TIMEOUT_S = 1.0  # for writing the queued lines, if the log is not read


class _RateLimitedHandler(handlers.QueueHandler):
    """Queues lines for the writing thread, with a token bucket as limit."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self._tokens = float(BURST_LINES)
        self._filled_at = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line or counts it as dropped."""
        if record.msg not in RATE_LIMIT_EXEMPT and (
            self.queue.qsize() >= MAX_QUEUED_LINES or not self._take_token()
        ):
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
    bounded = _RateLimitedHandler(
        queue.Queue(MAX_QUEUED_LINES + RESERVED_LINES)
    )
    _listener = handlers.QueueListener(bounded.queue, writer)
    _listener.start()
    LOG.handlers = [bounded]
    LOG.propagate = False
    LOG.setLevel(level)


def stop() -> None:
    """Writes the queued lines and ends the writing thread."""
    global _listener
    listener, _listener = _listener, None
    if listener is not None:
        LOG.handlers = []
        # QueueListener.stop() would block for ever if the log is not read.
        stopper = threading.Thread(target=listener.stop, daemon=True)
        stopper.start()
        stopper.join(STOP_TIMEOUT_S)


def write(event: str, fields: dict[str, Any]) -> None:
    """Logs ``event`` with ``fields``; reserved names get a prefix."""
    extra = {
        f"field_{name}" if name in RECORD_ATTRIBUTES else name: value
        for name, value in fields.items()
    }
    LOG.info(event, extra=extra)
