"""Holds the bytes of a body while it is received."""

import io

from . import process_memory

FIRST_BYTES = 8 * 1024  # more than most bodies have
# The C library maps a block of this size, and unmaps it when it is freed.
# Bodies that grow side by side in the heap would leave gaps in it, which stay
# with the process.
SEGMENT_BYTES = process_memory.MMAP_THRESHOLD_BYTES


class BodyBuffer:
    """Takes a body part by part, in segments that never move.

    ``length`` is that of the body, ``None`` if it isn't known; ``size`` is the
    number of bytes that were added, ``next_bytes`` the size of the segment
    that is allocated once the last one ``is_full``.

    >>> buffer = BodyBuffer(None)
    >>> buffer.room(3)[:] = b"abc"
    >>> buffer.add(3)
    >>> buffer.take()
    b'abc'
    """

    def __init__(self, length: int | None):
        self.size = 0
        self.next_bytes = min(length or FIRST_BYTES, FIRST_BYTES)
        self._segments: list[bytearray] = []
        self._room = memoryview(b"")

    @property
    def is_full(self) -> bool:
        """Whether there is no room in the last segment."""
        return not self._room

    def room(self, most: int) -> memoryview:
        """Returns room for up to ``most`` further bytes, but not for none."""
        if not self._room:
            self._segments.append(bytearray(self.next_bytes))
            self._room = memoryview(self._segments[-1])
            self.next_bytes = SEGMENT_BYTES
        return self._room[:most]

    def add(self, count: int) -> None:
        """Notes that ``count`` bytes were written into the room."""
        self._room = self._room[count:]
        self.size += count

    def take(self) -> bytes:
        """Returns the body, and frees each segment as it is copied."""
        self._room = memoryview(b"")
        self._segments.reverse()
        with io.BytesIO() as whole:
            while self._segments:
                segment = self._segments.pop()
                whole.write(memoryview(segment)[: self.size - whole.tell()])
            return whole.getvalue()

    def clear(self) -> None:
        """Frees what was received."""
        self._room = memoryview(b"")
        self._segments.clear()
