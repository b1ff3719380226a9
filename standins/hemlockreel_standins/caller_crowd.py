"""Callers outside the limits, many of them, on one thread of this process."""

import contextlib
import math
import selectors
import socket
import threading
import time
from typing import NamedTuple

PART_BYTES = 64 * 1024  # read at once
PAUSE_S = 0.002  # between two rounds, so that other threads run
CONNECT_S = 5.0
RETURN_S = 0.05  # from the end of a connection to the next one


class Script(NamedTuple):
    """What each caller sends and reads.

    It sends ``start``, then ``part`` up to ``parts`` times, then nothing. It
    reads up to ``read_bytes_per_s``, and comes again when its connection has
    ended if it ``returns``. It closes the connection itself, once all is sent,
    if it ``leaves``.
    """

    start: bytes = b""
    part: bytes = b""
    parts: float = math.inf
    read_bytes_per_s: float = math.inf
    returns: bool = True
    leaves: bool = False


class _Caller:
    """One caller and its connection, ``None`` while it has none."""

    def __init__(self, address: tuple[str, int], script: Script):
        self._address = address
        self._script = script
        self.sock: socket.socket | None = None
        self.connects_at = 0.0
        self._unsent = memoryview(b"")
        self._parts_left = 0.0
        self._may_read_at = 0.0

    def connect(self) -> None:
        """Opens a new connection."""
        sock = socket.socket()
        if self._script.read_bytes_per_s < math.inf:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(CONNECT_S)
        try:
            sock.connect(self._address)
        except OSError:
            sock.close()
            self.connects_at = time.monotonic() + RETURN_S
            return
        sock.setblocking(False)
        self.sock = sock
        self._unsent = memoryview(self._script.start)
        self._parts_left = self._script.parts if self._script.part else 0
        self._may_read_at = 0.0

    def close(self) -> None:
        """Closes the connection."""
        if self.sock is not None:
            self.sock.close()
        self.sock = None
        returns = self._script.returns
        self.connects_at = time.monotonic() + (
            RETURN_S if returns else math.inf
        )

    def events(self, now: float) -> int:
        """Returns what this caller waits for on its connection."""
        found = 0
        if self._has_more():
            found |= selectors.EVENT_WRITE
        if self._script.read_bytes_per_s and now >= self._may_read_at:
            found |= selectors.EVENT_READ
        return found

    def use(self, events: int, now: float) -> None:
        """Reads and writes once; closes a connection that has ended."""
        try:
            if events & selectors.EVENT_READ:
                self._read(now)
            if events & selectors.EVENT_WRITE and self.sock is not None:
                self._write()
            if self._script.leaves and not self._has_more():
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def _has_more(self) -> bool:
        return bool(self._unsent or self._parts_left)

    def _read(self, now: float) -> None:
        rate = self._script.read_bytes_per_s
        size = PART_BYTES if rate == math.inf else 4096
        data = self.sock.recv(size)
        if not data:
            self.close()
        elif rate < math.inf:
            self._may_read_at = now + len(data) / rate

    def _write(self) -> None:
        if not self._unsent:
            self._parts_left -= 1
            self._unsent = memoryview(self._script.part)
        self._unsent = self._unsent[self.sock.send(self._unsent) :]


class Crowd:
    """``count`` callers that follow one script, as a context manager.

    They come to ``address`` when the block begins and leave at its end.
    """

    def __init__(self, address: str, script: Script, count: int):
        host, _, port = address.rpartition(":")
        self._callers = [
            _Caller((host, int(port)), script) for _ in range(count)
        ]
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._ended.set()
        self._thread.join()
        for each in self._callers:
            each.close()

    def _run(self) -> None:
        while not self._ended.wait(PAUSE_S):
            now = time.monotonic()
            with selectors.DefaultSelector() as selector:
                for each in self._callers:
                    if each.sock is None and now >= each.connects_at:
                        each.connect()
                    if each.sock is None:
                        continue
                    events = each.events(now)
                    if events:
                        with contextlib.suppress(OSError, ValueError):
                            selector.register(each.sock, events, each)
                for key, events in selector.select(0.01):
                    key.data.use(events, now)
