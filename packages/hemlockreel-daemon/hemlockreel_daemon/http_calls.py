"""Blocking HTTP calls, each on a new connection.

Connections are not reused here: a late response can't be taken for that of
another request, and a connection that a device in between has dropped is never
used again. This costs one round trip per call, which :mod:`kept_connections`
saves for short calls in quick succession.

All reads of a response together are bounded in time and size, see
:mod:`bounded_sockets`.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from http import client
import io
import json
import socket
from typing import Any
from typing import NamedTuple

import urllib3
from urllib3 import connection
from urllib3 import exceptions

from . import bounded_sockets
from . import caller_sockets
from . import json_documents
from . import mailbox
from . import response_framing
from . import response_memory

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 * 1024

# On malformed response bytes the connection raises the exceptions of
# http.client, while the response wraps them in those of urllib3.
CALL_ERRORS = (exceptions.HTTPError, client.HTTPException, OSError)


# Returns a connection within a number of seconds, or raises an OSError.
OpenSocket = Callable[[float], bounded_sockets.BoundedSocket]


class Connecting(NamedTuple):
    """How to connect: within ``timeout_s``, and by ``open_socket`` if set."""

    timeout_s: float = CONNECT_TIMEOUT_S
    open_socket: OpenSocket | None = None


class _Limits:
    """The limits of all responses of this process."""

    current = bounded_sockets.ResponseLimits()
    memory = response_memory.Budget(current.total_bytes)


def limits() -> bounded_sockets.ResponseLimits:
    """Returns the limits of responses."""
    return _Limits.current


def set_limits(found: bounded_sockets.ResponseLimits) -> None:
    """Sets the limits of the responses to later calls."""
    _Limits.current = found
    _Limits.memory.limit = found.total_bytes


def hold_memory(sock: socket.socket) -> response_memory.Holding:
    """Returns what accounts for the memory of a response from ``sock``."""
    return _Limits.memory.hold(sock)


class _Connection(connection.HTTPConnection):
    """A connection over a bounded socket, opened by ``open_socket``."""

    response_class = response_framing.Response
    open_socket: OpenSocket | None = None

    def _new_conn(self) -> socket.socket:
        if self.open_socket is not None:
            return self.open_socket(self.timeout)
        return bounded_sockets.BoundedSocket(super()._new_conn())


class CallFailed(NamedTuple):
    """A call without a complete response.

    ``sent`` is true if any byte may have reached the server, ``timed_out`` if
    the timeout passed without a response.
    """

    sent: bool
    detail: str
    timed_out: bool = False


class OpenResponse(NamedTuple):
    """A response whose body has not been read yet."""

    connection: connection.HTTPConnection
    response: urllib3.BaseHTTPResponse
    sock: bounded_sockets.BoundedSocket

    def read_body(self) -> bytes:
        """Returns the whole body, undecoded.

        It is read in parts: a single read would allocate the length that the
        server states. Raises one of :data:`CALL_ERRORS`.
        """
        if (self.response.length_remaining or 0) > limits().body_bytes:
            raise bounded_sockets.ResponseTooLarge("the body is too long")
        # Its value shares the buffer; joined parts would take it twice.
        with hold_memory(self.sock) as holding, io.BytesIO() as body:
            while part := self.response.read1(
                READ_BYTES, decode_content=False
            ):
                body.write(part)
                holding.resize(body.tell())
            return body.getvalue()

    def read_json(self) -> Any:
        """Returns the whole body as JSON; a stated empty one is an object.

        Raises one of :data:`CALL_ERRORS`, or :class:`ValueError`.
        """
        body = self.read_body()
        if not body and response_framing.is_framed(self.response):
            return {}
        return json_documents.loads(body)

    def close(self) -> None:
        """Closes the connection, even if the body was not fully read."""
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
    connecting: Connecting | None = None,
) -> OpenResponse | CallFailed:
    """Sends a request and waits for the head of the response.

    The call fails at once when ``box`` is stopped. ``timeout_s`` limits the
    time of the whole response. The limits of the returned socket are those of
    a body; a caller that reads a stream replaces them.
    """
    how = connecting or Connecting()
    host, _, port = address.rpartition(":")
    conn = _Connection(host, int(port), timeout=min(timeout_s, how.timeout_s))
    conn.open_socket = how.open_socket
    try:
        conn.connect()
    except CALL_ERRORS as error:
        conn.close()
        return CallFailed(False, f"connect: {error}")
    sock = conn.sock
    try:
        caller_sockets.enable_keepalive(sock)
    except OSError as error:
        conn.close()
        return CallFailed(False, f"connect: {error}")
    return _send(conn, sock, method, path, body, headers or {}, timeout_s, box)


def send_again(
    kept: OpenResponse,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    timeout_s: float,
) -> OpenResponse | CallFailed:
    """Sends another request on the connection of a finished response.

    The connection is closed if that fails.
    """
    return _send(
        kept.connection, kept.sock, method, path, body, headers, timeout_s
    )


def _send(
    conn: connection.HTTPConnection,
    sock: bounded_sockets.BoundedSocket,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    timeout_s: float,
    box: mailbox.Mailbox | None = None,
) -> OpenResponse | CallFailed:
    """Sends a request on an open connection and waits for the head."""
    try:
        # urllib3 sets this on the socket before each step of the request.
        conn.timeout = timeout_s
        sock.set_limits(timeout_s, limits().head_bytes)
        sock.begin_request()
        with interrupting(box, sock):
            conn.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
            )
            response = conn.getresponse()
        sock.set_size(limits().body_bytes)
        return OpenResponse(conn, response, sock)
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
) -> tuple[int, dict[str, Any], Mapping[str, str]] | CallFailed:
    """Makes a call with JSON bodies; returns status, body and headers.

    The names of the headers are case-insensitive.
    """
    data = None if body is None else json.dumps(body).encode()
    sent = {"Content-Type": "application/json", **(headers or {})}
    opened = open_call(address, method, path, data, sent, timeout_s, box)
    if isinstance(opened, CallFailed):
        return opened
    try:
        with interrupting(box, opened.sock):
            value = opened.read_json()
        return opened.response.status, value, opened.response.headers
    except (*CALL_ERRORS, ValueError) as error:
        return to_failure(error)
    finally:
        opened.close()


def to_failure(error: Exception) -> CallFailed:
    """Returns ``error`` as a failure after which the server may have run."""
    timed_out = isinstance(error, TimeoutError | exceptions.TimeoutError)
    return CallFailed(True, f"{type(error).__name__}: {error}", timed_out)


@contextlib.contextmanager
def interrupting(
    box: mailbox.Mailbox | None, sock: socket.socket
) -> Iterator[None]:
    """Lets ``box``, if not ``None``, interrupt the use of ``sock``."""
    if box is None:
        yield
        return
    with box.interrupting(sock):
        yield
