"""Actions: the outputs of :func:`hemlockreel.core.step`."""

from typing import Any
from typing import NamedTuple

from . import messages


class Send(NamedTuple):
    """Sends a message to the daemon with the peer address ``to``.

    A message to the own address becomes an event of this daemon.
    """

    to: str
    message: messages.Message


class Reconnect(NamedTuple):
    """Opens a new connection to the peer ``to`` for the next messages.

    The present connection may be dead without an error: its other end may
    have disappeared without closing it.
    """

    to: str


class Reply(NamedTuple):
    """Passes ``value`` to the request handler that waits for ``request_id``.

    ``value`` is a ``messages.Grant``, an ``outcomes.Refused``, an
    ``outcomes.Responded`` or a ``claims.Claimed``.
    """

    request_id: str
    value: Any


class CallStore(NamedTuple):
    """Calls the store's object API; results in ``events.StoreResponded``.

    ``method`` is ``GET``, ``PUT`` or ``DELETE``. ``expected`` is the version
    that a write replaces: 0 if the object must not exist, ``None`` for an
    unconditional write.
    """

    call_id: str
    method: str
    path: str
    value: Any = None
    expected: int | None = None
    timeout_s: float = 2.0


class ReadHostList(NamedTuple):
    """Reads the platform's host list on a new connection."""

    timeout_s: float = 1.0


class TryConnect(NamedTuple):
    """Connects to a replica and closes the connection again.

    The result is an event of :mod:`hemlockreel.forwarding.reachability`.
    """

    instance: Any


class CallEngine(NamedTuple):
    """Calls a model engine; results in ``events.EngineResponded``.

    ``operation`` is ``load``, ``cancel``, ``requests``, ``cache/events`` or
    ``orders``. A call with a ``body`` is a POST. After ``not_after``, on the
    core's clock, the call is dropped. ``instance`` identifies the run of the
    engine that the call is for, where engines can check it, and ``born`` the
    start of that run.
    """

    call_id: str
    address: str
    operation: str
    body: dict[str, Any] | None = None
    query: str = ""
    timeout_s: float = 1.0
    not_after: float | None = None
    instance: str = ""
    born: int = 0


class Count(NamedTuple):
    """Adds ``amount`` to the counter ``name``."""

    name: str
    amount: float = 1
    labels: tuple[str, ...] = ()


class Log(NamedTuple):
    """Writes one log line about a change of state."""

    event: str
    fields: dict[str, Any]


class Span(NamedTuple):
    """Records a trace span of a decision that the core has made."""

    name: str
    traceparent: str
    start_s: float
    end_s: float
    attributes: dict[str, Any]


class Exit(NamedTuple):
    """Ends the process; the drain is complete."""


Action = (
    Send
    | Reconnect
    | Reply
    | CallStore
    | ReadHostList
    | CallEngine
    | Count
    | Log
    | Span
    | Exit
)
