"""What happens to the core: inputs of :func:`hemlockreel.core.step`.

Messages of peers (:mod:`hemlockreel.messages`) are events too.
"""

from typing import Any
from typing import NamedTuple

from . import outcomes
from . import replicas


class Tick(NamedTuple):
    """Time has passed; sent every 100 ms or so.

    ``unix_s`` is the wall clock in seconds, 0 when it is not known. It only
    dates what is kept for hours.
    """

    unix_s: float = 0.0


class CompletionRequested(NamedTuple):
    """A caller wants a completion.

    ``organisation`` may be empty. ``max_tokens`` of 0 takes the pool's most.
    ``excluded`` names replicas that failed this request before.
    """

    request_id: str
    attempt: int
    model: str
    organisation: str
    priority_class: str
    prompt_tokens: int
    max_tokens: int
    prefixes: tuple[int, ...]
    deadline_s: float
    excluded: tuple[str, ...] = ()
    traceparent: str = ""


class CallRequested(NamedTuple):
    """A caller wants a plain call to ``service``."""

    request_id: str
    attempt: int
    service: str
    organisation: str
    deadline_s: float
    excluded: tuple[str, ...] = ()
    traceparent: str = ""


class PrefillFinished(NamedTuple):
    """The worker of a request has its prefill result."""

    request_id: str
    cached_tokens: int


class FirstTokenReceived(NamedTuple):
    """The worker of a request has its first token."""

    request_id: str


class RequestFinished(NamedTuple):
    """The worker of a request is done with its grant, or gives up waiting.

    See :class:`hemlockreel.messages.Release` for ``clean`` and ``failed``.
    """

    request_id: str
    attempt: int
    clean: bool
    failed: bool = False
    output_tokens: int = 0


class ClaimRequested(NamedTuple):
    """A caller wants a non-idempotent call with an idempotency key.

    ``fingerprint`` is the hash of method, path and body.
    """

    request_id: str
    attempt: int
    organisation: str
    key: str
    fingerprint: str


class ClaimFinished(NamedTuple):
    """The outcome of a claimed call, to be recorded for repeats."""

    request_id: str
    outcome: outcomes.Answered | outcomes.Refused


class DrainRequested(NamedTuple):
    """The daemon was told to stop gracefully."""


class CallersCounted(NamedTuple):
    """How many callers' requests are being answered.

    It is sent while the daemon takes no new ones.
    """

    active: int


class HostListRead(NamedTuple):
    """The platform's host list was read; ``None`` when the read failed."""

    hosts: tuple[replicas.Replica, ...] | None
    entries: tuple[str, ...] = ()


class StoreResponded(NamedTuple):
    """The store's answer to the call ``call_id``.

    ``status`` is the HTTP status, or 0 when no answer came: the write may
    have taken effect.
    """

    call_id: str
    status: int
    body: dict[str, Any]
    retry_after_s: float = 0.0


class EngineResponded(NamedTuple):
    """An engine's answer to the call ``call_id``; 0 when none came."""

    call_id: str
    address: str
    operation: str
    status: int
    body: dict[str, Any]
