"""The HTTP servers of the daemon: CherryPy applications on cheroot.

Request targets and header lines are kept as received, including repeated
headers, because they are forwarded to backend servers.
"""

from collections.abc import Iterable
import threading
from typing import Any
from urllib import parse

from cheroot import server
from cheroot import wsgi
import cherrypy

from . import responses

SOCKET_KEY = "hemlockreel.socket"
LINES_KEY = "hemlockreel.header_lines"
REPEATED_KEY = "hemlockreel.repeated_headers"

# CherryPy's engine is not started, so its reloader, signal handlers and access
# log are off. Paths and queries are forwarded as received. They are decoded as
# latin-1, which accepts any byte.
CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "request.query_string_encoding": "latin-1",
        "request.uri_encoding": "latin-1",
        "request.error_response": responses.respond_to_unhandled_error,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
        "tools.no_parameters.on": True,
    }
}


def _drop_parameters() -> None:
    """Prevents CherryPy from passing query parameters to handlers."""
    cherrypy.request.params = {}


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
    """One listener with its own thread pool."""

    def __init__(self, address: str, root: Any, threads: int):
        cherrypy.config.update(
            {"environment": "embedded", "log.screen": False}
        )
        cherrypy.tools.no_parameters = cherrypy.Tool(
            "before_handler", _drop_parameters
        )
        application = cherrypy.Application(root, "", CONFIG)
        application.log.access_log.handlers = []
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


def request_target() -> str:
    """Returns path and query of the current request as received."""
    uri = cherrypy.request.wsgi_environ["REQUEST_URI"]
    if uri.startswith("/"):
        return uri
    split = parse.urlsplit(uri)
    return parse.urlunsplit(("", "", split.path or "/", split.query, ""))


def request_query() -> dict[str, str]:
    """Returns the query parameters of the current request."""
    return dict(parse.parse_qsl(cherrypy.request.query_string))


def request_headers() -> tuple[tuple[str, str], ...]:
    """Returns the headers of the current request, including repeated ones."""
    return parse_header_lines(cherrypy.request.wsgi_environ[LINES_KEY])


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


def set_response_headers(given: Iterable[tuple[str, str]]) -> None:
    """Sets the headers of the current response, including repeated ones."""
    mapping = cherrypy.response.headers
    repeated = cherrypy.request.wsgi_environ[REPEATED_KEY]
    seen = set()
    for name, value in given:
        if name.lower() in seen:
            repeated.append((name, value))
        else:
            seen.add(name.lower())
            mapping[name] = value
