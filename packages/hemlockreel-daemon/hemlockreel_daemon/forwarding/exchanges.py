"""The listener of callers: requests and answers byte by byte, on cheroot.

CherryPy's applications map headers and bodies to objects of their own, which
what is passed on unchanged must not go through. So this listener uses only
CherryPy's server.
"""

from collections.abc import Callable
from collections.abc import Iterable
from http import client
import socket
import threading

from cheroot import server as cheroot

from .. import caller_sockets
from .. import logs
from .. import servers
from . import edges

CLOSE_LATER_S = 3.0  # beyond the operator's idle limit, so that a caller
# which keeps to it never meets a closing connection
REQUEST_QUEUE = 1024
SPARE_THREADS = 8  # idle ones, for requests until the next look
GROWTH = 16  # threads added at a look


class Exchange:
    """One request of a caller and the answer to it."""

    def __init__(self, request: cheroot.HTTPRequest):
        self._request = request

    @property
    def caller(self) -> socket.socket:
        """The connection of the caller."""
        return self._request.conn.socket

    @property
    def begun(self) -> bool:
        """Whether the head of the answer was sent."""
        return self._request.sent_headers

    def head(self) -> edges.Head:
        """Returns the head of the request as it came."""
        lines = servers.parse_header_lines(self._request.header_reader.lines)
        return edges.Head(
            self._request.method.decode("latin-1"),
            self._request.uri.decode("latin-1"),
            lines,
        )

    def read_body(self) -> bytes:
        """Returns the whole body, whatever its framing."""
        return self._request.rfile.read()

    def reply(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> bool:
        """Sends a whole answer; false when the caller has gone."""
        named = [
            each for each in headers if each[0].lower() != "content-length"
        ]
        length = ("Content-Length", str(len(body)))
        sent = self.start(status, [*named, length])
        if sent and body and self._request.method != b"HEAD":
            return self.send(body)
        return sent

    def start(self, status: int, headers: Iterable[tuple[str, str]]) -> bool:
        """Sends the head of an answer; :meth:`send` adds to its body.

        Returns false when the caller has gone.
        """
        request = self._request
        reason = client.responses.get(status, "Status")
        request.status = f"{status} {reason}".encode()
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        return self._write(request.ensure_headers_sent)

    def send(self, data: bytes) -> bool:
        """Sends a part of the body; false when the caller has gone."""
        return self._write(lambda: self._request.write(data))

    def _write(self, write: Callable[[], None]) -> bool:
        try:
            write()
        except OSError as error:
            logs.write("caller_lost", {"error": repr(error)})
            self.cut()
            return False
        return True

    def close_after(self) -> None:
        """Tells the caller that this answer is the last on its connection."""
        self._request.close_connection = True

    def fail(self) -> None:
        """Ends an exchange of which nothing is known any more."""
        if not self.begun:
            self.reply(client.INTERNAL_SERVER_ERROR, (), b"")
        self.cut()

    def cut(self) -> None:
        """Breaks the connection, so that the answer can't look whole."""
        self._request.chunked_write = False
        self._request.close_connection = True
        self._request.sent_headers = True
        caller_sockets.abort(self.caller)


class _Connection(cheroot.HTTPConnection):
    RequestHandlerClass = servers.RecordingRequest


class Server:
    """One listener that hands each request to ``handler``."""

    def __init__(
        self,
        address: str,
        handler: Callable[[Exchange], None],
        threads: int,
        most_threads: int | None = None,
    ):
        host, _, port = address.rpartition(":")

        class Gateway(cheroot.Gateway):
            """Hands a request over."""

            def respond(self) -> None:
                """Answers the request."""
                handler(Exchange(self.req))

        self._server = cheroot.HTTPServer(
            (host, int(port)),
            gateway=Gateway,
            minthreads=threads,
            maxthreads=most_threads or threads,
            server_name="hemlockreel",
        )
        self._server.ConnectionClass = _Connection
        self._server.request_queue_size = REQUEST_QUEUE
        self._server.shutdown_timeout = 0
        self._server.keep_alive_conn_limit = None

    def limit(self, head_bytes: int, body_bytes: int, idle_s: float) -> None:
        """Sets what callers may send and how long they may stay idle."""
        self._server.max_request_header_size = head_bytes
        self._server.max_request_body_size = body_bytes
        self._server.timeout = idle_s + CLOSE_LATER_S

    @property
    def threads(self) -> int:
        """The number of threads that answer requests."""
        return len(self._server.requests._threads)

    def grow_if_busy(self) -> None:
        """Adds threads while few are idle, up to the most.

        A thread is held for as long as a stream lasts, and most hosts carry
        few at once.
        """
        if self._server.requests.idle < SPARE_THREADS:
            self._server.requests.grow(GROWTH)

    def start(self) -> None:
        """Binds the address and serves on threads of its own."""
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="exchanges", daemon=True
        ).start()

    def stop(self) -> None:
        """Closes the listener and its connections."""
        self._server.stop()
