"""Blocking HTTP calls on a connection of their own.

Each call opens a fresh connection: an answer that comes late can then never
reach another request, and a connection that something between the two ends
has forgotten is never used again. It costs one round trip.
"""

from collections.abc import Iterator
import contextlib
from http import client
import json
import socket
from typing import Any
from typing import NamedTuple

import urllib3
from urllib3 import connection
from urllib3 import exceptions

from . import caller_sockets
from . import mailbox

CONNECT_TIMEOUT_S = 1.0

# The connection raises what the standard library does for bytes that are no
# answer; the response wraps it.
CALL_ERRORS = (exceptions.HTTPError, client.HTTPException, OSError)


class CallFailed(NamedTuple):
    """No answer; ``sent`` tells whether any byte may have arrived.

    ``silent`` tells that the time-out passed without an answer.
    """

    sent: bool
    detail: str
    timed_out: bool = False


class OpenResponse(NamedTuple):
    """An answer whose body is still to be read."""

    connection: connection.HTTPConnection
    response: urllib3.BaseHTTPResponse
    sock: socket.socket

    def close(self) -> None:
        """Closes the connection, whatever of the body was read."""
        self.response.close()
        self.connection.close()
        self.sock.close()


def open_call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
    box: mailbox.Mailbox | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> OpenResponse | CallFailed:
    """Sends a request and waits for the head of its answer.

    The call fails at once when ``box`` is told to stop.
    """
    host, _, port = address.rpartition(":")
    conn = connection.HTTPConnection(
        host, int(port), timeout=min(timeout_s, connect_timeout_s)
    )
    try:
        conn.connect()
    except CALL_ERRORS as error:
        conn.close()
        return CallFailed(False, f"connect: {error}")
    sock = conn.sock
    try:
        caller_sockets.enable_keepalive(sock)
        conn.timeout = timeout_s  # The library sets it at each step.
        with interrupting(box, sock):
            conn.request(
                method,
                path,
                body=body,
                headers=headers or {},
                preload_content=False,
            )
            return OpenResponse(conn, conn.getresponse(), sock)
    except CALL_ERRORS as error:
        conn.close()
        return to_failure(error)


def call_json(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    box: mailbox.Mailbox | None = None,
) -> tuple[int, dict[str, Any], dict[str, str]] | CallFailed:
    """Calls with JSON both ways; returns status, body and headers."""
    data = None if body is None else json.dumps(body).encode()
    sent = {"Content-Type": "application/json", **(headers or {})}
    opened = open_call(address, method, path, data, sent, timeout_s, box)
    if isinstance(opened, CallFailed):
        return opened
    try:
        with interrupting(box, opened.sock):
            answer = json.loads(opened.response.read() or b"{}")
        return opened.response.status, answer, dict(opened.response.headers)
    except (*CALL_ERRORS, ValueError) as error:
        return to_failure(error)
    finally:
        opened.close()


def to_failure(error: Exception) -> CallFailed:
    """Returns the failure of a call that may have reached the server."""
    timed_out = isinstance(error, TimeoutError | exceptions.TimeoutError)
    return CallFailed(True, f"{type(error).__name__}: {error}", timed_out)


@contextlib.contextmanager
def interrupting(
    box: mailbox.Mailbox | None, sock: socket.socket
) -> Iterator[None]:
    """Lets ``box``, if there is one, interrupt the use of ``sock``."""
    if box is None:
        yield
        return
    with box.interrupting(sock):
        yield
