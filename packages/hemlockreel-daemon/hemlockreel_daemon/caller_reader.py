"""Reads a caller's connection, with no more than one part in memory."""

from collections.abc import Callable
import socket
from typing import TypeVar

from . import caller_memory

LINE_PART_BYTES = 8 * 1024

_Received = TypeVar("_Received")


class Reader:
    """The reading side of a connection, as the HTTP server uses a file."""

    def __init__(self, sock: socket.socket, caller: caller_memory.Caller):
        self._sock = sock
        self._caller = caller
        self._rest = b""
        self._at = 0  # the first byte of ``_rest`` that wasn't returned
        self.bytes_read = 0
        self.closed = False

    def has_data(self) -> bool:
        """Returns whether bytes were received that weren't returned yet."""
        return self._at < len(self._rest)

    def readline(self, size: int) -> bytes:
        """Returns a line, or its first ``size`` bytes.

        It ends without a line feed if the connection has ended.
        """
        while True:
            end = self._rest.find(b"\n", self._at, self._at + size) + 1
            if end:
                return self._take(end - self._at)
            if len(self._rest) - self._at >= size:
                return self._take(size)
            data = self._receive(lambda: self._sock.recv(LINE_PART_BYTES))
            if not data:
                return self._take(size)
            self._rest = self._rest[self._at :] + data
            self._at = 0

    def read_into(self, room: memoryview) -> int:
        """Reads into ``room``; returns how much, 0 at the connection's end."""
        if self.has_data():
            taken = self._take(len(room))
            room[: len(taken)] = taken
            return len(taken)
        count = self._receive(lambda: self._sock.recv_into(room))
        self.bytes_read += count
        return count

    def read(self, size: int) -> bytes:
        """Returns ``size`` bytes, fewer at the connection's end."""
        if self._at + size <= len(self._rest):
            return self._take(size)
        found = bytearray(size)
        filled = 0
        while filled < size:
            count = self.read_into(memoryview(found)[filled:])
            if not count:
                break
            filled += count
        return bytes(found[:filled])

    def close(self) -> None:
        """Forgets what wasn't read."""
        self.closed = True
        self._rest = b""
        self._at = 0

    def _take(self, size: int) -> bytes:
        taken = self._rest[self._at : self._at + size]
        self._at += len(taken)
        self.bytes_read += len(taken)
        if self._at == len(self._rest):
            self._rest = b""
            self._at = 0
        return taken

    def _receive(self, receive: Callable[[], _Received]) -> _Received:
        while True:
            try:
                found = receive()
            except TimeoutError:
                # The socket's own timeout may be that of an earlier response.
                if self._caller.is_late():
                    raise
            else:
                self._caller.note_bytes()
                return found
