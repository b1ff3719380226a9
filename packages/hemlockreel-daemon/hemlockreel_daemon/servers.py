"""The HTTP servers of the daemon, on cheroot.

Request targets and header lines are kept as received, including repeated
headers, because they are forwarded to backend servers.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any

from cheroot import server
from cheroot import wsgi

SOCKET_KEY = "hemlockreel.socket"
LINES_KEY = "hemlockreel.header_lines"
REPEATED_KEY = "hemlockreel.repeated_headers"


class _RecordingReader:
    """A file wrapper that records the lines it reads."""

    def __init__(self, rfile: Any, lines: list[bytes]):
        self._rfile = rfile
        self._lines = lines

    def readline(self) -> bytes:
        """Reads, records and returns the next line."""
        line = self._rfile.readline()
        self._lines.append(line)
        return line


class _HeaderReader(server.HeaderReader):
    """A header reader that records the raw lines, including repeated ones."""

    def __init__(self):
        self.lines: list[bytes] = []

    def __call__(self, rfile, hdict=None):
        return super().__call__(_RecordingReader(rfile, self.lines), hdict)


class RecordingRequest(server.HTTPRequest):
    """A request that records its raw header lines."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.header_reader = _HeaderReader()


class _Connection(server.HTTPConnection):
    RequestHandlerClass = RecordingRequest


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

    def __init__(self, address: str, application: Any, threads: int):
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            application,
            numthreads=threads,
            request_queue_size=1024,
            server_name="hemlockreel",
        )
        self._server.gateway = _Gateway
        self._server.ConnectionClass = _Connection
        self._server.shutdown_timeout = 1

    def start(self) -> None:
        """Binds the address and starts serving; doesn't block.

        Raises :class:`OSError` if the address can't be bound.
        """
        self._server.prepare()
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
