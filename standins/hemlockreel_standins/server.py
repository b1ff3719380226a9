"""The HTTP server with fault switches that all stand-ins use.

A stand-in subclasses :class:`StandIn`, lists its own fault switches with their
defaults, and implements :meth:`StandIn.respond`. This module applies the
faults that all stand-ins have:

- ``delay_s``: each response is delayed by so many seconds.
- ``freeze``: requests wait until the switch is reset.
- ``silent``: requests get no response, and the connection stays open.
- ``refuse``: connections are closed without a response.
- ``outage``: requests get a 503.

Tests read and set the switches at ``/_faults``, and read what happened at
``/_journal``; no fault applies to these two paths.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
from http import server
import json
import signal
import socket
import threading
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

COMMON_FAULTS: dict[str, Any] = {
    "delay_s": 0.0,
    "freeze": False,
    "silent": False,
    "refuse": False,
    "outage": False,
}
FREEZE_POLL_S = 0.05
MAX_SILENCE_S = (
    120.0  # bounds how long a silent or frozen request keeps its thread
)


class Request(NamedTuple):
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: Any
    body: bytes
    target: str = ""  # path and query, undecoded

    def json(self) -> Any:
        """Returns the body as JSON, ``None`` when it is empty."""
        return json.loads(self.body) if self.body else None


class Response(NamedTuple):
    """A response of a stand-in.

    ``body`` is sent as JSON unless it is bytes. An iterator of bytes is sent
    in chunks; ``None`` in it cuts the connection. ``drop`` closes the
    connection without a response.
    """

    status: int
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()
    drop: bool = False


DROP = Response(0, drop=True)


class StandIn:
    """Base class of a server that stands in for an external system.

    A subclass lists its fault switches with their defaults in ``faults``; on
    an instance, ``faults`` holds their current values.
    """

    faults: dict[str, Any] = {}

    def __init__(self):
        self.defaults = {**COMMON_FAULTS, **self.faults}
        self.faults = dict(self.defaults)
        self.lock = threading.RLock()
        self.closing = threading.Event()

    def respond(self, request: Request) -> Response:
        """Returns the response to a request; called from many threads."""
        raise NotImplementedError

    def journal(self) -> Any:
        """Returns the record of past calls that tests read, as JSON."""
        return {}

    def consume_fault(self, fault: str) -> bool:
        """Returns whether a fault is due, and counts it down or resets it."""
        with self.lock:
            remaining = self.faults[fault]
            if not remaining:
                return False
            self.faults[fault] = False if remaining is True else remaining - 1
            return True

    def handle(self, request: Request) -> Response:
        """Applies the common faults, then returns the response."""
        if request.path.startswith("/_"):
            return self._control(request)
        if self.faults["refuse"]:
            return DROP
        if self.faults["silent"]:
            self.wait(lambda: False)
            return DROP
        self.wait(lambda: not self.faults["freeze"])
        if self.faults["delay_s"]:
            time.sleep(self.faults["delay_s"])
        if self.faults["outage"]:
            return Response(503, {"error": "outage"})
        return self.respond(request)

    def wait(self, done: Callable[[], bool]) -> None:
        """Blocks until ``done``, the end of the stand-in or the time limit."""
        end = time.monotonic() + MAX_SILENCE_S
        while not done() and time.monotonic() < end:
            if self.closing.wait(FREEZE_POLL_S):
                return

    def _control(self, request: Request) -> Response:
        if request.path == "/_journal":
            return Response(200, self.journal())
        if request.path != "/_faults":
            return Response(404, {"error": "no such path"})
        with self.lock:
            if request.method == "PUT":
                switches = request.json()
                unknown = sorted(set(switches) - set(self.defaults))
                if unknown:
                    return Response(
                        400, {"error": f"unknown faults: {unknown}"}
                    )
                self.faults.update(switches)
            elif request.method == "DELETE":
                self.faults.update(self.defaults)
            return Response(200, dict(self.faults))


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    stand_in: StandIn

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, *args):
        """Suppresses the line per request on the standard error."""

    def _serve(self):
        split = parse.urlsplit(self.path)
        size = int(self.headers.get("Content-Length") or 0)
        request = Request(
            self.command,
            split.path,
            dict(parse.parse_qsl(split.query)),
            self.headers,
            self.rfile.read(size),
            self.path,
        )
        response = self.stand_in.handle(request)
        if response.drop:
            self.close_connection = True
            self.connection.close()
            return
        try:
            self._send(response)
        except OSError:
            self.close_connection = True

    do_GET = do_PUT = do_POST = do_DELETE = do_PATCH = _serve
    do_HEAD = do_OPTIONS = _serve

    def _send(self, response: Response) -> None:
        if isinstance(response.body, Iterator):
            self._send_chunks(response)
            return
        body = response.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(response.status)
        self.send_header("Content-Type", "application/json")
        for name, value in response.headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def _send_chunks(self, response: Response) -> None:
        self.send_response(response.status)
        self.send_header("Content-Type", "application/x-ndjson")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for chunk in response.body:
            if chunk is None:
                self.close_connection = True
                self.connection.shutdown(socket.SHUT_RDWR)
                return
            self.wfile.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            self.wfile.flush()
        self.wfile.write(b"0\r\n\r\n")


def open_server(
    stand_in: StandIn, listen: str = "127.0.0.1:0"
) -> tuple[server.ThreadingHTTPServer, str]:
    """Returns a bound server for ``stand_in`` and its ``IP:PORT``."""
    host, _, port = listen.rpartition(":")
    handler = type("Handler", (_Handler,), {"stand_in": stand_in})
    http_server = _Server((host, int(port)), handler)
    return http_server, f"{host}:{http_server.server_port}"


def start(stand_in: StandIn, listen: str = "127.0.0.1:0") -> str:
    """Serves ``stand_in`` on a thread of this process, for tests.

    Returns its ``IP:PORT``.
    """
    http_server, address = open_server(stand_in, listen)
    threading.Thread(target=http_server.serve_forever, daemon=True).start()
    return address


def main(
    make: Callable[[argparse.Namespace], StandIn],
    parser: argparse.ArgumentParser,
) -> None:
    """Runs a stand-in as a process until SIGTERM.

    Prints ``ready IP:PORT`` when it accepts connections.
    """
    parser.add_argument("--listen", default="127.0.0.1:0")
    options = parser.parse_args()
    stand_in = make(options)
    http_server, address = open_server(stand_in, options.listen)

    def stop(number, frame):
        stand_in.closing.set()
        threading.Thread(target=http_server.shutdown, daemon=True).start()

    signal.signal(signal.SIGTERM, stop)
    print(f"ready {address}", flush=True)
    http_server.serve_forever(poll_interval=0.05)
