"""What the system knows of a connection beyond the bytes that were read."""

import contextlib
import fcntl
import socket
import sys
import termios

_CLOSED = 7  # TCP_CLOSE of the system; after an ordered end it is CLOSE_WAIT
_COUNT = bytes(4)


def unread_bytes(sock: socket.socket) -> int:
    """Returns the number of bytes that have arrived and were not read."""
    return _count(sock, termios.FIONREAD)


def untaken_bytes(sock: socket.socket) -> int:
    """Returns the number of written bytes that the other system hasn't got.

    Each segment confirms what its sender has received by then. So a server
    that responds to a whole request leaves none when its response arrives.
    """
    return _count(sock, termios.TIOCOUTQ)


def was_reset(sock: socket.socket) -> bool:
    """Returns whether a connection that has ended was reset.

    A reset that follows an ordered end, or whose error another call has got,
    is not reported by reads: they return the end.
    """
    with contextlib.suppress(OSError):
        found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return found[0] == _CLOSED
    return False  # not over TCP


def _count(sock: socket.socket, request: int) -> int:
    """Returns a count of the system, 0 where it keeps none."""
    try:
        found = fcntl.ioctl(sock, request, _COUNT)
    except OSError:
        return 0
    return int.from_bytes(found, sys.byteorder)
