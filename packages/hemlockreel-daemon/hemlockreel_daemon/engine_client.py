"""The client of model engines."""

from collections.abc import Callable
from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

from hemlockreel import actions
from hemlockreel import events

from . import http_calls

CONTROL_PATHS = {
    "load": "/v1/load",
    "cancel": "/v1/cancel",
    "requests": "/v1/requests",
    "cache/events": "/v1/cache/events",
    "orders": "/v1/orders",
}


class Token(NamedTuple):
    """One line of a decode stream."""

    request_id: str
    attempt: int
    offset: int
    text: str
    done: bool


def control(action: actions.CallEngine) -> events.EngineAnswered:
    """Makes a call of the control path; status 0 when none came."""
    method = "GET" if action.body is None else "POST"
    path = CONTROL_PATHS[action.operation] + action.query
    answer = http_calls.call_json(
        action.address, method, path, action.body, None, action.timeout_s
    )
    if isinstance(answer, http_calls.Failed):
        status, body = 0, {}
    else:
        status, body = answer[:2]
    return events.EngineAnswered(
        action.call_id, action.address, action.operation, status, body
    )


def prefill(
    address: str,
    body: dict[str, Any],
    traceparent: str,
    timeout_s: float,
    gone: Callable[[], bool],
) -> tuple[int, dict[str, Any]] | http_calls.Failed:
    """Runs a prefill; returns the status and the answer."""
    headers = {"traceparent": traceparent}
    answer = http_calls.call_json(
        address, "POST", "/v1/prefill", body, headers, timeout_s, gone
    )
    return answer if isinstance(answer, http_calls.Failed) else answer[:2]


def decode(
    address: str,
    body: dict[str, Any],
    traceparent: str,
    timeout_s: float,
    gone: Callable[[], bool],
) -> http_calls.Opened | http_calls.Failed:
    """Starts or resumes a decode; read the stream with :func:`tokens`."""
    data = json.dumps(body).encode()
    headers = {
        "Content-Type": "application/json",
        "traceparent": traceparent,
    }
    return http_calls.open_call(
        address, "POST", "/v1/decode", data, headers, timeout_s, gone
    )


def tokens(opened: http_calls.Opened, silence_s: float) -> Iterator[Token]:
    """Yields the tokens of a stream, and ends early when it is cut.

    ``silence_s`` is the longest wait for the next bytes.
    """
    if opened.connection.sock is not None:
        opened.connection.sock.settimeout(silence_s)
    rest = b""
    try:
        for chunk in opened.response.stream(None, decode_content=False):
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                yield Token(**json.loads(line))
    except (*http_calls.FAILURES, ValueError, TypeError):
        return
