"""Opens paths to replicas for other hosts, and carries their bytes.

A path is opened only for a member of the region and only to a replica that
this host might call itself, and never over another path. A thread carries
each of them.
"""

from collections.abc import Callable
import contextlib
import queue
import socket
import threading
from typing import Any

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import reachability

from .. import caller_sockets
from .. import clock
from .. import logs
from .. import path_sockets

MAX_PATHS = 96  # at once; each occupies a thread and two descriptors
BACKLOG = 128
LINE_TIMEOUT_S = 1.0
MAX_CONNECT_S = 0.5
MAX_PATH_S = 600.0  # longer than any request
# A board that doesn't answer leaves the user time to ask another host.
REFUSED_WITHOUT_BOARD = "busy"


class PathServer:
    """The listener for other hosts that ask for paths.

    ``query`` and ``post`` are those of the loop, ``count`` counts the paths
    by result.
    """

    def __init__(
        self,
        address: str,
        query: Callable[[Callable[[Any], Any]], Any],
        post: Callable[[Any], None],
        count: Callable[[str], None],
    ):
        self._address = address
        self._query = query
        self._post = post
        self._count = count
        self._free = threading.BoundedSemaphore(MAX_PATHS)
        self._open = 0
        self._lock = threading.Lock()

    @property
    def active(self) -> int:
        """The number of open paths with a caller's request."""
        return self._open

    def start(self) -> None:
        """Binds the address and starts to serve in background threads."""
        host, _, port = self._address.rpartition(":")
        self._listener = socket.create_server(
            (host, int(port)), backlog=BACKLOG
        )
        threading.Thread(
            target=self._accept, name="paths", daemon=True
        ).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, (ip, _) = self._listener.accept()
            except OSError as error:
                logs.write("path_not_accepted", {"error": repr(error)})
                continue
            if not self._free.acquire(blocking=False):
                self._reply(sock, "busy")
                sock.close()
                continue
            try:
                threading.Thread(
                    target=self._serve, args=(sock, ip), daemon=True
                ).start()
            except RuntimeError:  # no room for another thread
                self._free.release()
                sock.close()

    def _serve(self, sock: socket.socket, ip: str) -> None:
        try:
            with sock:
                line = path_sockets.read_line(
                    sock, clock.now() + LINE_TIMEOUT_S
                )
                request = path_sockets.decode_request(line)
                if request is None:
                    self._count("no_request")
                    return
                found = self._find(request, ip)
                if not isinstance(found, str):
                    found = self._connect(found, request.wait_ms / 1000)
                if isinstance(found, str):
                    self._count(found)
                    self._reply(sock, found)
                    return
                with found:
                    self._carry(sock, found, request.brief)
        finally:
            self._free.release()

    def _find(
        self, request: path_sockets.PathRequest, ip: str
    ) -> instances.Instance | str:
        def find(board: Any) -> instances.Instance | str:
            if not reachability.is_member(board, ip):
                return "stranger"
            return reachability.find_for_path(
                board,
                request.replica,
                request.born,
                clock.now(),
            )

        try:
            return self._query(find)
        except queue.Empty:
            return REFUSED_WITHOUT_BOARD

    def _connect(
        self, instance: instances.Instance, wait_s: float
    ) -> socket.socket | str:
        """Connects to the replica; returns why that failed."""
        host, _, port = instance.address.rpartition(":")
        wait_s = max(0.001, min(wait_s, MAX_CONNECT_S))
        try:
            sock = socket.create_connection((host, int(port)), wait_s)
            caller_sockets.enable_keepalive(sock)
        except OSError as error:
            self._post(
                reachability.DirectFailed(
                    instance.id, instance.service, str(error)
                )
            )
            return "unreached"
        self._post(reachability.DirectReached(instance.id, instance.service))
        return sock

    def _carry(
        self, sock: socket.socket, replica: socket.socket, brief: bool
    ) -> None:
        self._reply(sock, path_sockets.OPEN)
        self._count(path_sockets.OPEN)
        with contextlib.suppress(OSError):
            caller_sockets.enable_keepalive(sock)
        carrier = path_sockets.Carrier(sock, replica)
        self._add_open(0 if brief else 1)
        try:
            carrier.run(clock.now() + MAX_PATH_S)
        finally:
            self._add_open(0 if brief else -1)

    def _add_open(self, count: int) -> None:
        with self._lock:
            self._open += count

    def _reply(self, sock: socket.socket, status: str) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(path_sockets.encode(path_sockets.PathReply(status)))
