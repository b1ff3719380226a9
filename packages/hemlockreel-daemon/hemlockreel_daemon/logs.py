"""Structured logs: one JSON object a line, for changes of state only."""

import logging
import sys
from typing import Any

from pythonjsonlogger import json as jsonlogger

LOG = logging.getLogger("hemlockreel")


def set_up(level: str) -> None:
    """Sends the log to standard error as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter("%(asctime)s %(levelname)s %(message)s")
    )
    LOG.handlers = [handler]
    LOG.propagate = False
    LOG.setLevel(level)


def write(event: str, fields: dict[str, Any]) -> None:
    """Writes one line about ``event``."""
    LOG.info(event, extra=fields)
