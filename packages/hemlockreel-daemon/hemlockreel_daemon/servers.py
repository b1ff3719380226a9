"""The HTTP servers of the daemon, on cheroot.

Request targets and header lines are kept as received, including repeated
headers, because they are forwarded to backend servers.
"""

from collections.abc import Callable
from collections.abc import Iterable
from http import client
import sys
import threading
from typing import Any

from cheroot import makefile
from cheroot import server
from cheroot import wsgi

from . import caller_bodies
from . import caller_limits
from . import caller_memory
from . import caller_reader
from . import caller_sockets

SOCKET_KEY = "hemlockreel.socket"
LINES_KEY = "hemlockreel.header_lines"
REPEATED_KEY = "hemlockreel.repeated_headers"

MAX_HEAD_BYTES = 16 * 1024  # if nothing else is configured
LINE_BYTES = 256  # of the objects for a header line, with a margin
# A body of which more is left isn't read for the sake of its connection.
DRAINED_BYTES = 64 * 1024
RETRY_AFTER_S = 1.0  # for callers that were refused to free memory
LIMITS_BY_STATUS = {"413": "body", "414": "head", "431": "head"}


class _RecordingReader:
    """A file wrapper that records and accounts for the lines it reads."""

    def __init__(
        self, rfile: Any, lines: list[bytes], caller: caller_memory.Caller
    ):
        self._rfile = rfile
        self._lines = lines
        self._caller = caller

    def readline(self) -> bytes:
        """Reads, records and returns the next line."""
        line = self._rfile.readline()
        self._lines.append(line)
        self._caller.check()
        self._caller.held += len(line) + LINE_BYTES
        self._caller.resize(self._caller.held)
        return line


class _HeaderReader(server.HeaderReader):
    """A header reader that records the raw lines, including repeated ones."""

    def __init__(self, caller: caller_memory.Caller):
        self.lines: list[bytes] = []
        self._caller = caller

    def __call__(self, rfile, hdict=None):
        reader = _RecordingReader(rfile, self.lines, self._caller)
        return super().__call__(reader, hdict)


class RecordingRequest(server.HTTPRequest):
    """A request that records its raw header lines and keeps the limits."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.header_reader = _HeaderReader(self.conn.caller)

    def parse_request(self):
        """Reads the head, unless its caller is given up meanwhile."""
        try:
            super().parse_request()
        except caller_limits.Refused as refused:
            self.ready = False
            self.refuse(refused)

    def refuse(self, refused: caller_limits.Refused) -> None:
        """Responds that a limit was met, and closes the connection."""
        reason = client.responses[refused.status]
        self.close_connection = True
        super().simple_response(f"{refused.status} {reason}", str(refused))

    def simple_response(self, status, msg=""):
        """Responds to a request that can't be read; reports met limits."""
        limit = LIMITS_BY_STATUS.get(str(status)[:3])
        if limit:
            self.server.account.report(limit)
        super().simple_response(status, msg)

    def respond(self):
        """Calls the gateway, which reads the body within its limits."""
        length = None
        if not self.chunked_read:
            length = int(self.inheaders.get(b"Content-Length", 0))
        caller = self.conn.caller
        self.rfile = caller_bodies.Body(
            self.conn.rfile,
            caller,
            length,
            self.server.max_request_body_size or sys.maxsize,
            self.server.max_request_header_size,
        )
        if self.rfile.is_read:
            try:
                caller.begin_run()
            except caller_limits.Refused as refused:
                self.refuse(refused)
                return
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self):
        """Sends the head of the response.

        The connection is closed after it if much of the body is left.
        """
        if self.conn.caller.retires:
            self.close_connection = True
        body = self.rfile
        if not body.is_read and not 0 < body.remaining <= DRAINED_BYTES:
            self.close_connection = True
        super().send_headers()


class Connection(server.HTTPConnection):
    """A connection that its server's account knows."""

    RequestHandlerClass = RecordingRequest

    def __init__(self, parent, sock, make_file=makefile.MakeFile):
        self.caller = parent.account.admit(sock, parent)

        def make(of, mode="r", size=makefile.io.DEFAULT_BUFFER_SIZE):
            if "r" in mode:
                return caller_reader.Reader(of, self.caller)
            return make_file(of, mode, size)

        super().__init__(parent, sock, make)
        # The caches of these refer to the connection, which would then stay in
        # memory after its end until the next collection of cycles.
        del self.resolve_peer_creds, self.get_peer_creds

    def communicate(self):
        """Reads a request and responds; true if another one may follow."""
        try:
            if not self.caller.begin():
                return False
            return super().communicate() and not self.caller.retires
        finally:
            self.caller.finish()

    def close(self):
        """Closes the connection."""
        try:
            # The account closes one that has waited in vain for a thread.
            if self.socket.fileno() >= 0:
                super().close()
        finally:
            self.server.account.leave(self.caller)


class Listener:
    """The part of a server that accepts connections.

    Only those that have sent something occupy a thread.
    """

    def process_conn(self, conn: Connection) -> None:
        """Queues a connection for a thread once it has bytes to read."""
        if conn.last_used is None:
            self.put_conn(conn)
        elif conn.caller.queue():
            super().process_conn(conn)
        else:
            conn.close()


class HTTPServer(Listener, server.HTTPServer):
    """An HTTP server without an application."""


class _WsgiServer(Listener, wsgi.Server):
    """An HTTP server of a WSGI application."""


def configure(
    found: server.HTTPServer, account: caller_memory.Account | None
) -> None:
    """Makes a server keep the limits of ``account``, or of one of its own."""
    found.account = account or caller_memory.Account()
    found.ConnectionClass = Connection
    found.max_request_header_size = MAX_HEAD_BYTES

    def count_waiting() -> int:
        pool = found.requests
        can_grow = len(pool._threads) < pool.max
        return 0 if can_grow or pool.idle else pool.qsize

    found.account.add_listener(found, count_waiting)


def prepare(found: server.HTTPServer) -> None:
    """Binds the address of a server.

    Raises :class:`OSError` if that is impossible.
    """
    found.prepare()
    caller_sockets.set_receive_buffer(
        found.socket, caller_sockets.RECEIVE_BUFFER_BYTES
    )


class _Gateway(wsgi.Gateway_10):
    """Passes the socket and the raw header lines in the WSGI environment."""

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[LINES_KEY] = self.req.header_reader.lines
        return environ

    def respond(self):
        """Responds, with headers that occur more than once."""
        self.env[REPEATED_KEY] = []
        super().respond()

    def start_response(self, status, headers, exc_info=None):
        """Adds repeated headers, which CherryPy's mapping can't hold."""
        headers = list(headers) + self.env[REPEATED_KEY]
        return super().start_response(status, headers, exc_info)


class Server:
    """One listener of a WSGI ``application``, with its own thread pool."""

    def __init__(
        self,
        address: str,
        application: Any,
        threads: int,
        account: caller_memory.Account | None = None,
    ):
        host, _, port = address.rpartition(":")
        self._server = _WsgiServer(
            (host, int(port)),
            application,
            numthreads=threads,
            request_queue_size=1024,
            server_name="hemlockreel",
        )
        self._server.gateway = _Gateway
        configure(self._server, account)
        self._server.shutdown_timeout = 1

    def start(self) -> None:
        """Binds the address and starts serving; doesn't block.

        Raises :class:`OSError` if the address can't be bound.
        """
        prepare(self._server)
        threading.Thread(
            target=self._server.serve, name="server", daemon=True
        ).start()

    def stop(self) -> None:
        """Closes the listener and its connections."""
        self._server.stop()


class LateApplication:
    """A WSGI application that ``make`` returns at the first request.

    It keeps what few requests need out of the memory of the process.
    """

    def __init__(self, make: Callable[[], Any]):
        self._make = make
        self._lock = threading.Lock()
        self._made: Any = None

    def __call__(self, environ: Any, start_response: Any) -> Any:
        """Responds to a request."""
        with self._lock:
            if self._made is None:
                self._made = self._make()
        return self._made(environ, start_response)


def parse_header_lines(lines: Iterable[bytes]) -> tuple[tuple[str, str], ...]:
    """Returns header lines as pairs of name and value.

    A continuation line is joined to the line before it.
    """
    parsed: list[tuple[str, str]] = []
    for line in lines:
        text = line.decode("latin-1").rstrip("\r\n")
        if text[:1] in (" ", "\t") and parsed:
            name, value = parsed.pop()
            parsed.append((name, f"{value} {text.strip()}"))
        elif text:
            name, _, value = text.partition(":")
            parsed.append((name.strip(), value.strip()))
    return tuple(parsed)
