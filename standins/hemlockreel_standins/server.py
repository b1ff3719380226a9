"""What all stand-ins share: an HTTP server with fault switches.

A stand-in subclasses :class:`StandIn`, lists its fault switches with their
defaults, and answers requests in :meth:`StandIn.respond`. Faults that are the
same for all (``delay_s``, ``freeze``, ``silent``, ``refuse``, ``outage``) are
applied here.
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
MAX_SILENCE_S = 120.0  # a silent connection ends with the test at the latest


class Request(NamedTuple):
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: Any
    body: bytes
    target: str = ""  # path and query as they came

    def json(self) -> Any:
        """Returns the body as JSON, ``None`` when it is empty."""
        return json.loads(self.body) if self.body else None


class Response(NamedTuple):
    """An answer; an iterator as ``body`` is sent in chunks.

    ``drop`` closes the connection without an answer.
    """

    status: int
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()
    drop: bool = False


DROP = Response(0, drop=True)


class StandIn:
    """A small server that plays an outside system."""

    faults: dict[str, Any] = {}

    def __init__(self):
        self.defaults = {**COMMON_FAULTS, **self.faults}
        self.faults = dict(self.defaults)
        self.lock = threading.RLock()
        self.closing = threading.Event()

    def respond(self, request: Request) -> Response:
        """Answers a request; called from many threads."""
        raise NotImplementedError

    def journal(self) -> Any:
        """Returns what tests may want to know of the past."""
        return {}

    def consume_fault(self, fault: str) -> bool:
        """Uses up one of a counted or a one-time fault."""
        with self.lock:
            left = self.faults[fault]
            if not left:
                return False
            self.faults[fault] = False if left is True else left - 1
            return True

    def handle(self, request: Request) -> Response:
        """Applies the common faults, then answers."""
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
        """Blocks until ``done``, or until the stand-in ends."""
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
                given = request.json()
                unknown = sorted(set(given) - set(self.defaults))
                if unknown:
                    return Response(400, {"error": f"no faults {unknown}"})
                self.faults.update(given)
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
        """Keeps the standard error free of a line per request."""

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
    opened = _Server((host, int(port)), handler)
    return opened, f"{host}:{opened.server_port}"


def start(stand_in: StandIn, listen: str = "127.0.0.1:0") -> str:
    """Serves ``stand_in`` on a thread of this process, for tests."""
    opened, address = open_server(stand_in, listen)
    threading.Thread(target=opened.serve_forever, daemon=True).start()
    return address


def main(
    make: Callable[[argparse.Namespace], StandIn],
    parser: argparse.ArgumentParser,
) -> None:
    """Runs a stand-in as a process until SIGTERM."""
    parser.add_argument("--listen", default="127.0.0.1:0")
    options = parser.parse_args()
    stand_in = make(options)
    opened, address = open_server(stand_in, options.listen)

    def stop(number, frame):
        stand_in.closing.set()
        threading.Thread(target=opened.shutdown, daemon=True).start()

    signal.signal(signal.SIGTERM, stop)
    print(f"ready {address}", flush=True)
    opened.serve_forever(poll_interval=0.05)
