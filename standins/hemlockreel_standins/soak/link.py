"""A TCP proxy on the loopback interface that injects network faults.

Bytes that are held back while a link is silent or blocked in one direction
are delivered once the link is whole again, as with TCP retransmission.
"""

import contextlib
import enum
import socket
import struct
import threading
import time

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
    CUT = "cut"  # connects hang and open connections are silent
    REFUSED = "refused"  # connects are refused, open connections reset
    NEW_REFUSED = "new_refused"  # connects are refused, open ones live on


BLOCKS_REQUESTS = (Mode.SILENT, Mode.NO_REQUESTS, Mode.CUT)
BLOCKS_ANSWERS = (Mode.SILENT, Mode.NO_ANSWERS, Mode.CUT)
REFUSES = (Mode.REFUSED, Mode.NEW_REFUSED)
RESETS = (Mode.RESET, Mode.REFUSED)
BACKLOG = 128
# Connections that fill the queue of a listener with a backlog of 0, so that
# the system drops the first packet of any further one.
FILLERS = 4


class Link:
    """A proxy that listens at ``address`` and forwards to ``target``."""

    def __init__(self, target: str):
        self.target = target
        self.mode = Mode.WHOLE
        self.delay_s = 0.0
        self._port = 0
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._changing = threading.Lock()
        self._closing = threading.Event()
        self._listen()
        self.address = f"127.0.0.1:{self._port}"

    def set(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Changes the mode; some modes also reset open connections."""
        with self._changing:
            if self._closing.is_set():
                return
            self.delay_s = delay_s if mode is Mode.DELAYED else 0.0
            before, self.mode = self.mode, mode
            if mode in RESETS:
                self._reset_open()
            if mode in REFUSES:
                self._stop_listening()
            elif before in REFUSES:
                self._listen()
            if mode is Mode.CUT:
                self._fill_queue()
            elif before is Mode.CUT and self._listener is not None:
                self._listener.listen(BACKLOG)
                self._drop_fillers()

    def close(self) -> None:
        """Stops listening and resets open connections."""
        with self._changing:
            self._closing.set()
            self._stop_listening()
            self._drop_fillers()
        self._reset_open()

    def _listen(self) -> None:
        self._listener = socket.create_server(
            ("127.0.0.1", self._port), backlog=BACKLOG
        )
        self._listener.settimeout(POLL_S)
        self._port = self._listener.getsockname()[1]
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def _stop_listening(self) -> None:
        found, self._listener = self._listener, None
        if found is not None:
            with contextlib.suppress(OSError):
                found.shutdown(socket.SHUT_RDWR)
            found.close()

    def _fill_queue(self) -> None:
        """Makes connects hang, as nothing is accepted meanwhile."""
        self._listener.listen(0)
        time.sleep(2 * POLL_S)  # the thread that accepts has seen the mode
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self._port))
            self._fillers.append(filler)

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _reset_open(self) -> None:
        with self._lock:
            found = list(self._open)
        for sock in found:
            _reset(sock)

    def _accept(self, listener: socket.socket) -> None:
        while not self._closing.is_set():
            if self.mode is Mode.CUT:
                self._closing.wait(POLL_S)
                continue
            try:
                client_sock, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            client_sock.settimeout(None)
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
