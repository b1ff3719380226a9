"""Events: the inputs of :func:`hemlockreel.core.step`.

Messages from peers (:mod:`hemlockreel.messages`) are events as well. A request
handler is the part of the daemon that serves one caller's request.
"""

import math
from typing import Any
from typing import NamedTuple

from . import outcomes
from . import replicas


class Tick(NamedTuple):
    """Time has passed; sent about every 100 ms.

    ``unix_s`` is the wall-clock time in seconds, 0 if it is unknown. It is
    used only for the age of records that are kept for hours.
    """

    unix_s: float = 0.0


class CompletionRequested(NamedTuple):
    """A caller has requested a completion.

    ``organisation`` may be empty. ``max_tokens`` of 0 means the pool's
    maximum. ``excluded`` are replicas that have failed this request before.
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
    """A caller has requested a plain call to ``service``."""

    request_id: str
    attempt: int
    service: str
    organisation: str
    deadline_s: float
    excluded: tuple[str, ...] = ()
    traceparent: str = ""


class PrefillFinished(NamedTuple):
    """The request handler has received the result of the prefill."""

    request_id: str
    cached_tokens: int


class FirstTokenReceived(NamedTuple):
    """The request handler has received the first token."""

    request_id: str


class RequestFinished(NamedTuple):
    """The request handler has used its grant or no longer waits for one.

    See :class:`hemlockreel.messages.Release` for ``clean`` and ``failed``.
    """

    request_id: str
    attempt: int
    clean: bool
    failed: bool = False
    output_tokens: int = 0


class ClaimRequested(NamedTuple):
    """A caller has requested a non-idempotent call with an idempotency key.

    ``fingerprint`` is a hash of the method, path and body.
    """

    request_id: str
    attempt: int
    organisation: str
    key: str
    fingerprint: str


class ClaimFinished(NamedTuple):
    """A claimed call has finished; its outcome is stored for repeats."""

    request_id: str
    outcome: outcomes.Responded | outcomes.Refused


class DrainRequested(NamedTuple):
    """The daemon has been requested to stop gracefully."""


class CallersCounted(NamedTuple):
    """The number of callers' requests in progress.

    It is sent while the daemon accepts no new ones. The last one was received
    ``quiet_s`` ago.
    """

    active: int
    quiet_s: float = math.inf


class HostListRead(NamedTuple):
    """The platform's host list was read.

    ``hosts`` are its replicas, ``None`` if the read failed; ``entries`` are
    the peer addresses of the daemons.
    """

    hosts: tuple[replicas.Replica, ...] | None
    entries: tuple[str, ...] = ()


class StoreResponded(NamedTuple):
    """The store has responded to the call ``call_id``, or the call has failed.

    ``status`` is the HTTP status, or 0 without a response; a write may then
    have taken effect or not. ``era`` is the era of the store, see
    :mod:`hemlockreel.store_era`; 0 if the response doesn't state it.
    """

    call_id: str
    status: int
    body: dict[str, Any]
    retry_after_s: float = 0.0
    era: int = 0


class EngineResponded(NamedTuple):
    """An engine has responded to the call ``call_id``, or the call has failed.

    ``status`` is the HTTP status, or 0 without a response.
    """

    call_id: str
    address: str
    operation: str
    status: int
    body: dict[str, Any]
