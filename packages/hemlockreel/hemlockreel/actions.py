"""What the core wants done: outputs of :func:`hemlockreel.core.step`."""

from typing import Any
from typing import NamedTuple

from . import messages


class Send(NamedTuple):
    """Sends a message to the daemon whose peer address is ``to``.

    A message to the own address comes back as an event.
    """

    to: str
    message: messages.Message


class Reconnect(NamedTuple):
    """Opens a new connection to the peer ``to`` for what is sent next.

    The present one may have lost its other end without a sign of it.
    """

    to: str


class Reply(NamedTuple):
    """Hands ``value`` to the worker that waits for ``request_id``.

    ``value`` is a ``messages.Grant``, an ``outcomes.Refused``, an
    ``outcomes.Answered`` or a ``claims`` value.
    """

    request_id: str
    value: Any


class CallStore(NamedTuple):
    """Calls the object API; answered by ``events.StoreAnswered``.

    ``method`` is ``GET``, ``PUT`` or ``DELETE``. ``expected`` is the version
    that must be current, 0 for "must not exist", ``None`` for no condition.
    """

    call_id: str
    method: str
    path: str
    value: Any = None
    expected: int | None = None
    timeout_s: float = 2.0


class ReadHostList(NamedTuple):
    """Reads the host list on a fresh connection."""

    timeout_s: float = 1.0


class CallEngine(NamedTuple):
    """Calls a model engine; answered by ``events.EngineAnswered``.

    ``operation`` is ``load``, ``cancel``, ``requests``, ``cache/events`` or
    ``orders``; a call with a ``body`` is a POST. After ``not_after``, on the
    clock of the core, the call is not made any more. ``instance`` names the
    run of the engine that is meant, where engines can check it.
    """

    call_id: str
    address: str
    operation: str
    body: dict[str, Any] | None = None
    query: str = ""
    timeout_s: float = 1.0
    not_after: float | None = None
    instance: str = ""


class Count(NamedTuple):
    """Adds ``amount`` to the counter ``name``."""

    name: str
    amount: float = 1
    labels: tuple[str, ...] = ()


class Log(NamedTuple):
    """Writes one line about a change of state."""

    event: str
    fields: dict[str, Any]


class Span(NamedTuple):
    """Records the span of a decision made in the core."""

    name: str
    traceparent: str
    start_s: float
    end_s: float
    attributes: dict[str, Any]


class Exit(NamedTuple):
    """Ends the process; nothing is left to be done."""


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
