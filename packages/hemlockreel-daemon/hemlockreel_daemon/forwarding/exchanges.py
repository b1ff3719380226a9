"""The listener for callers, on the HTTP server cheroot.

CherryPy applications parse headers and bodies into objects, but forwarding
must pass them on unchanged. So the listener uses only CherryPy's server.
"""

from collections.abc import Callable
from collections.abc import Iterable
from http import client
import socket
import struct
import threading

from cheroot import server as cheroot

from .. import caller_limits
from .. import caller_memory
from .. import caller_sockets
from .. import logs
from .. import servers
from . import interfaces

# Added to the operator's idle limit, so that a caller within the limit never
# uses a connection that is being closed.
IDLE_MARGIN_S = 3.0
LISTEN_BACKLOG = 1024
MAX_BODY_BYTES = 4 * 2**20  # if nothing else is configured
MIN_IDLE_THREADS = 8  # for requests until the next check
THREADS_PER_GROWTH = 16  # threads added at a check
PART_BYTES = 16 * 1024  # of a body that are written at once
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time


class Exchange:
    """One request of a caller and the response to it.

    ``reply_bytes`` is the size of the body of a complete response.
    """

    def __init__(self, request: cheroot.HTTPRequest):
        self._request = request
        self._is_aborted = False
        self.reply_bytes = 0

    @property
    def caller(self) -> socket.socket:
        """The socket of the caller's connection."""
        return self._request.conn.socket

    @property
    def has_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._request.sent_headers

    def head(self) -> interfaces.Head:
        """Returns the head of the request as received."""
        lines = servers.parse_header_lines(self._request.header_reader.lines)
        return interfaces.Head(
            self._request.method.decode("latin-1"),
            self._request.uri.decode("latin-1"),
            lines,
            self._request.conn.remote_addr or "",
        )

    def read_body(self) -> bytes | None:
        """Returns the complete body, whether chunked or of a given length.

        Returns ``None`` if the connection ended within it, or if its chunks
        are malformed. Raises :class:`caller_limits.Refused`.
        """
        try:
            return self._request.rfile.read()
        except caller_limits.MalformedBody:
            return None

    def reserve(self, size: int) -> None:
        """Keeps room for a response; raises :class:`caller_limits.Refused`."""
        self._request.conn.caller.reserve(size)

    def reply(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> bool:
        """Sends a complete response; false if the caller has disconnected.

        One that has begun is aborted, as the caller would take the second for
        a part of it.
        """
        if self.has_started:
            self.abort()
            return False
        self.reply_bytes = len(body)
        try:
            self._request.conn.caller.begin_write(len(body))
        except caller_limits.Refused as refused:
            # The request may have run, so no refusal is sent.
            logs.write("response_given_up", {"limit": refused.limit})
            self.abort()
            return False
        named = [
            each for each in headers if each[0].lower() != "content-length"
        ]
        length = ("Content-Length", str(len(body)))
        sent = self.start(status, [*named, length])
        if self._request.method == b"HEAD":
            return sent
        # The server copies what it has yet to write.
        view = memoryview(body)
        for begin in range(0, len(body), PART_BYTES):
            sent = sent and self.send(view[begin : begin + PART_BYTES])
        return sent

    def start(self, status: int, headers: Iterable[tuple[str, str]]) -> bool:
        """Sends the head of a response; :meth:`send` sends its body.

        Returns false if the caller has disconnected.
        """
        request = self._request
        reason = client.responses.get(status, "Status")
        request.status = f"{status} {reason}".encode()
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        return self._write(request.ensure_headers_sent)

    def send(self, data: bytes | memoryview) -> bool:
        """Sends a part of the body; false if the caller has disconnected."""
        return self._write(lambda: self._request.write(data))

    def _write(self, write: Callable[[], None]) -> bool:
        try:
            write()
        except OSError as error:
            logs.write("caller_lost", {"error": repr(error)})
            self.abort()
            return False
        self._request.conn.caller.note_written()
        return True

    def close_after_response(self) -> None:
        """Marks the response as the last one on its connection."""
        self._request.close_connection = True

    def fail(self) -> None:
        """Ends an exchange after an unexpected error."""
        if not self.has_started:
            self.reply(client.INTERNAL_SERVER_ERROR, (), b"")
        self.abort()

    def abort(self) -> None:
        """Cuts the connection, so that the response can't look complete."""
        if self._is_aborted:
            return
        self._is_aborted = True
        request = self._request
        if self.has_started and not _states_end(request):
            # Callers of HTTP/1.0 take the end of the connection for that of
            # the response, unless it is reset.
            request.conn.is_reset = True
        else:
            caller_sockets.abort(self.caller)
        request.chunked_write = False
        request.close_connection = True
        request.sent_headers = True


def _states_end(request: cheroot.HTTPRequest) -> bool:
    """Returns whether the response that was started states where it ends."""
    names = {name.lower() for name, _ in request.outheaders}
    return request.chunked_write or b"content-length" in names


class _Connection(servers.Connection):
    """A connection that is reset when it is closed if ``is_reset`` is set."""

    is_reset = False

    def _close_kernel_socket(self) -> None:
        if not self.is_reset:
            super()._close_kernel_socket()
            return
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )


class Server:
    """A listener that calls ``handler`` for each request."""

    def __init__(
        self,
        address: str,
        handler: Callable[[Exchange], None],
        threads: int,
        max_threads: int | None = None,
        account: caller_memory.Account | None = None,
    ):
        host, _, port = address.rpartition(":")

        class Gateway(cheroot.Gateway):
            """Passes a request to the handler."""

            def respond(self) -> None:
                """Responds to the request."""
                handler(Exchange(self.req))

        self._server = servers.HTTPServer(
            (host, int(port)),
            gateway=Gateway,
            minthreads=threads,
            maxthreads=max_threads or threads,
            server_name="hemlockreel",
        )
        servers.configure(self._server, account)
        self._server.ConnectionClass = _Connection
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.shutdown_timeout = 0
        self._server.keep_alive_conn_limit = None

    def set_limits(
        self, head_bytes: int, body_bytes: int, idle_s: float
    ) -> None:
        """Limits the size of requests and the idle time of connections."""
        self._server.max_request_header_size = head_bytes
        self._server.max_request_body_size = body_bytes
        self._server.timeout = idle_s + IDLE_MARGIN_S

    @property
    def threads(self) -> int:
        """The number of threads that handle requests."""
        return len(self._server.requests._threads)

    def grow_if_busy(self) -> None:
        """Adds threads while few are idle, up to the maximum.

        A stream occupies a thread until it ends, and most hosts have few
        streams at once, so the maximum isn't started from the beginning.
        """
        if self._server.requests.idle < MIN_IDLE_THREADS:
            self._server.requests.grow(THREADS_PER_GROWTH)

    def start(self) -> None:
        """Binds the address and starts to serve in background threads."""
        servers.prepare(self._server)
        threading.Thread(
            target=self._server.serve, name="exchanges", daemon=True
        ).start()

    def stop(self) -> None:
        """Closes the listener and its connections."""
        self._server.stop()
