"""Blocking HTTP calls on a connection of their own.

Each call opens a fresh connection: an answer that comes late can then never
reach another request, and a connection that something between the two ends
has forgotten is never used again. It costs one round trip.
"""

from collections.abc import Callable
import json
import select
import socket
from typing import Any
from typing import NamedTuple

import urllib3
from urllib3 import connection
from urllib3 import exceptions

CONNECT_TIMEOUT_S = 1.0
POLL_S = 0.1

FAILURES = (exceptions.HTTPError, OSError)


class Failed(NamedTuple):
    """No answer; ``sent`` tells whether any byte may have arrived."""

    sent: bool
    detail: str
    gone: bool = False


class Opened(NamedTuple):
    """An answer whose body is still to be read."""

    connection: connection.HTTPConnection
    response: urllib3.BaseHTTPResponse

    def close(self) -> None:
        """Closes the connection, whatever of the body was read."""
        self.response.close()
        self.connection.close()


def open_call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
    gone: Callable[[], bool] | None = None,
) -> Opened | Failed:
    """Sends a request and waits for the head of its answer.

    While it waits it asks ``gone`` whether the caller has left; the call is
    then given up.
    """
    host, _, port = address.rpartition(":")
    link = connection.HTTPConnection(
        host, int(port), timeout=min(timeout_s, CONNECT_TIMEOUT_S)
    )
    try:
        link.connect()
    except FAILURES as error:
        link.close()
        return Failed(False, f"connect: {error}")
    try:
        link.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link.sock.settimeout(timeout_s)
        link.request(
            method,
            path,
            body=body,
            headers=headers or {},
            preload_content=False,
        )
        if not _await_answer(link.sock, timeout_s, gone):
            link.close()
            caller_left = gone is not None and gone()
            return Failed(True, "no answer in time", caller_left)
        return Opened(link, link.getresponse())
    except FAILURES as error:
        link.close()
        return Failed(True, f"{type(error).__name__}: {error}")


def call_json(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    gone: Callable[[], bool] | None = None,
) -> tuple[int, dict[str, Any], dict[str, str]] | Failed:
    """Calls with JSON both ways; returns status, body and headers."""
    data = None if body is None else json.dumps(body).encode()
    sent = {"Content-Type": "application/json", **(headers or {})}
    opened = open_call(address, method, path, data, sent, timeout_s, gone)
    if isinstance(opened, Failed):
        return opened
    try:
        answer = json.loads(opened.response.read() or b"{}")
        return opened.response.status, answer, dict(opened.response.headers)
    except (*FAILURES, ValueError) as error:
        return Failed(True, f"{type(error).__name__}: {error}")
    finally:
        opened.close()


def _await_answer(
    sock: socket.socket,
    timeout_s: float,
    gone: Callable[[], bool] | None,
) -> bool:
    """Waits until ``sock`` can be read; false on time-out or caller gone."""
    # poll() takes any descriptor, where select() ends at 1,023.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    left = timeout_s
    while left > 0:
        if poller.poll(1000 * min(left, POLL_S)):
            return True
        left -= POLL_S
        if gone is not None and gone():
            return False
    return False
