"""Decisions of a shard's owner about the requests that ask it."""

from typing import NamedTuple

from . import messages
from . import outcomes


class Granted(NamedTuple):
    """``ask`` got a place; ``prefill`` is empty for a plain call."""

    request: messages.Ask
    grant_id: int
    replica: str
    prefill: str = ""


class Denied(NamedTuple):
    """``ask`` gets no place; it may come back after ``retry_after_s``."""

    request: messages.Ask
    reason: outcomes.Reason
    retry_after_s: float


Decision = Granted | Denied
