"""A TCP proxy on the loopback interface that injects network faults.

Bytes that are held back while a link is silent or blocked in one direction
are delivered once the link is whole again, as with TCP retransmission.
"""

import contextlib
import enum
import socket
import struct
import threading

BLOCK_BYTES = 64 * 1024
POLL_S = 0.05
CONNECT_TIMEOUT_S = 2.0
# With this SO_LINGER value, close() sends RST instead of FIN.
RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How a link treats bytes and connections."""

    WHOLE = "whole"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"
    NO_REQUESTS = "no_requests"  # blocks this direction only: responses pass
    NO_ANSWERS = "no_answers"


BLOCKS_REQUESTS = (Mode.SILENT, Mode.NO_REQUESTS)
BLOCKS_ANSWERS = (Mode.SILENT, Mode.NO_ANSWERS)


class Link:
    """A proxy that listens at ``address`` and forwards to ``target``."""

    def __init__(self, target: str):
        self.target = target
        self.mode = Mode.WHOLE
        self.delay_s = 0.0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._closing = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Changes the mode; ``RESET`` also resets open connections."""
        self.delay_s = delay_s if mode is Mode.DELAYED else 0.0
        self.mode = mode
        if mode is Mode.RESET:
            with self._lock:
                found = list(self._open)
            for sock in found:
                _reset(sock)

    def close(self) -> None:
        """Stops listening and resets open connections."""
        self._closing.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            found = list(self._open)
        for sock in found:
            _reset(sock)

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                client_sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._proxy_connection, args=(client_sock,), daemon=True
            ).start()

    def _proxy_connection(self, client_sock: socket.socket) -> None:
        if self.mode is Mode.RESET:
            _reset(client_sock)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_sock = socket.create_connection(
                (host, int(port)), CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset(client_sock)
            return
        target_sock.settimeout(None)
        pair = (client_sock, target_sock)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open.update(pair)
        back = threading.Thread(
            target=self._copy,
            args=(target_sock, client_sock, BLOCKS_ANSWERS),
            daemon=True,
        )
        back.start()
        self._copy(client_sock, target_sock, BLOCKS_REQUESTS)
        back.join()
        with self._lock:
            self._open.difference_update(pair)
        for sock in pair:
            sock.close()

    def _copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        blocked: tuple[Mode, ...],
    ) -> None:
        """Copies bytes in one direction until one side closes."""
        try:
            while data := source.recv(BLOCK_BYTES):
                if self.delay_s:
                    self._closing.wait(self.delay_s)
                while self.mode in blocked:
                    if self._closing.wait(POLL_S):
                        return
                sink.sendall(data)
            while self.mode in blocked and not self._closing.wait(POLL_S):
                continue
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                _reset(sock)


def _reset(sock: socket.socket) -> None:
    """Resets a connection, and wakes a thread blocked in ``recv`` on it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
