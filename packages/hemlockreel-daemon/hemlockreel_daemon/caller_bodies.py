"""Reads the body of a caller's request within its limits.

A chunk has no least size and lines of its own, so that a caller can send
little in much: its lines are bounded, and callers that send many small chunks
share a part of the processor.
"""

import re
import threading
import time

from . import body_buffer
from . import caller_limits
from . import caller_memory
from . import caller_reader
from . import clock

SIZE = re.compile(rb"[ \t]*([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?\r?\n", re.DOTALL)
# Bytes of lines for each byte of data; a chunk of one byte has 5 of them.
LINES_PER_BYTE = 16
SMALL_CHUNK_BYTES = 64
CHUNKS_IN_TURN = 256
PAUSE_SHARE = 3.0  # of the processor time that small chunks have taken


class _Turns:
    """Pauses callers of small chunks while there are several of them.

    Together they use a quarter of a core.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._callers = 0
        self._free_at = 0.0

    def join(self) -> None:
        """Notes a further caller."""
        with self._lock:
            self._callers += 1

    def leave(self) -> None:
        """Notes that a caller has ended."""
        with self._lock:
            self._callers -= 1

    def pause(self, used_s: float) -> None:
        """Waits for the turn after one that took ``used_s``."""
        with self._lock:
            if self._callers < 2:
                return
            now = clock.now()
            self._free_at = max(self._free_at, now) + used_s * (
                1 + PAUSE_SHARE
            )
            until = self._free_at
        time.sleep(until - now)


_turns = _Turns()


class Body:
    """The body of one request; ``length`` is ``None`` if it is chunked."""

    def __init__(
        self,
        reader: caller_reader.Reader,
        caller: caller_memory.Caller,
        length: int | None,
        limit: int,
        line_limit: int,
    ):
        self._reader = reader
        self._caller = caller
        self._length = length
        self._limit = limit
        self._line_limit = line_limit
        self.is_read = length == 0
        self._is_begun = False

    @property
    def remaining(self) -> int:
        """The bytes of a body that could still be read to its end."""
        if self.is_read or self._is_begun:
            return 0
        return self._length or 0

    def read(self, size: int | None = None) -> bytes:
        """Returns the whole body, which has at most ``size`` bytes.

        Raises :class:`caller_limits.MalformedBody`, or
        :class:`caller_limits.Refused`.
        """
        if self.is_read:
            return b""
        limit = self._limit if size is None else min(size, self._limit)
        if (self._length or 0) < 0:
            raise caller_limits.MalformedBody("the length is negative")
        self._is_begun = True
        self._caller.begin_body()
        found = body_buffer.BodyBuffer(self._length)
        try:
            if self._length is None:
                self._read_chunks(found, limit)
                self._read_trailers()
            else:
                self._read_bytes(found, self._length)
            self._caller.begin_run()
        except caller_limits.Refused as refused:
            self._forget(found)
            self._caller.note_refusal(refused)
            raise
        except TimeoutError:
            self._forget(found)
            late = caller_limits.Refused(408, "time", "the body is late")
            self._caller.note_refusal(late)
            raise late from None
        except OSError as error:
            self._forget(found)
            raise caller_limits.MalformedBody(str(error)) from error
        self._caller.held += found.size
        self.is_read = True
        return found.take()

    def _forget(self, found: body_buffer.BodyBuffer) -> None:
        found.clear()
        self._caller.release()

    def _read_bytes(self, found: body_buffer.BodyBuffer, size: int) -> None:
        end = found.size + size
        while (left := end - found.size) > 0:
            if found.is_full:
                self._count_next(found)
            # A view that an exception refers to would keep the segment.
            with found.room(left) as room:
                count = self._reader.read_into(room)
            if not count:
                raise caller_limits.MalformedBody("the body is incomplete")
            found.add(count)

    def _count_next(self, found: body_buffer.BodyBuffer) -> None:
        """Counts the next segment before it is allocated."""
        if found.size:
            self._caller.widen()
        held = self._caller.held + found.size + found.next_bytes
        self._caller.resize(held)

    def _read_chunks(self, found: body_buffer.BodyBuffer, limit: int) -> None:
        lines = chunks = 0
        began_s = 0.0
        try:
            while True:
                line = self._read_line("size_line")
                size = _parse_size(line)
                if not size:
                    return
                lines += len(line) + 2
                end = found.size + size
                if end > limit:
                    raise caller_limits.Refused(
                        413, "body", f"the body is over {limit} bytes"
                    )
                if lines > self._line_limit + LINES_PER_BYTE * end:
                    raise caller_limits.Refused(
                        413, "size_line", "the sizes of chunks are too long"
                    )
                self._read_bytes(found, size)
                if self._reader.read(2) != b"\r\n":
                    raise caller_limits.MalformedBody("a chunk is malformed")
                if size > SMALL_CHUNK_BYTES:
                    continue
                chunks += 1
                if chunks % CHUNKS_IN_TURN == 0:
                    now_s = time.thread_time()
                    if not began_s:
                        _turns.join()
                    else:
                        _turns.pause(now_s - began_s)
                    began_s = time.thread_time()
        finally:
            if began_s:
                _turns.leave()

    def _read_trailers(self) -> None:
        left = self._line_limit
        while line := self._read_line("trailers", left):
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                break
            left -= len(line)
        raise caller_limits.MalformedBody("a trailer is malformed")

    def _read_line(self, name: str, limit: int | None = None) -> bytes:
        most = self._line_limit if limit is None else limit
        line = self._reader.readline(most + 1)
        if len(line) > most:
            status = 431 if name == "trailers" else 413
            raise caller_limits.Refused(status, name, "a line is too long")
        return line


def _parse_size(line: bytes) -> int:
    """Returns the size in the first line of a chunk.

    >>> _parse_size(b"1f;name=value\\r\\n")
    31
    """
    found = SIZE.fullmatch(line)
    if found is None:
        raise caller_limits.MalformedBody("the size of a chunk is malformed")
    return int(found[1], 16)
