"""Decisions of a shard's owner about admission requests."""

from typing import NamedTuple

from . import messages
from . import outcomes


class Granted(NamedTuple):
    """``request`` got a reservation; ``prefill`` is empty for a plain call."""

    request: messages.AdmissionRequest
    grant_id: int
    replica: str
    prefill: str = ""


class Denied(NamedTuple):
    """``request`` got none; it may be retried after ``retry_after_s``."""

    request: messages.AdmissionRequest
    reason: outcomes.Reason
    retry_after_s: float


Decision = Granted | Denied
