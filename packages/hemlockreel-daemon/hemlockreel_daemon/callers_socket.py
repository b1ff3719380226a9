"""Notices a caller that has left while a worker waits for something else."""

from collections.abc import Callable
import queue
import socket
import time
from typing import Any

POLL_S = 0.1
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 3000  # unacknowledged data for this long ends a connection


class Gone:
    """What :func:`wait` returns when the caller has left."""


def watch(sock: socket.socket) -> Callable[[], bool]:
    """Returns a function that tells whether the peer of ``sock`` has gone.

    Keep-alive probes let the kernel notice a peer that went silent.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )

    def gone() -> bool:
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return sock.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    return gone


def wait(
    box: queue.SimpleQueue, timeout_s: float, gone: Callable[[], bool]
) -> Any:
    """Waits on a mailbox; ``Gone`` when the caller left, else ``None``."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            return box.get(timeout=POLL_S)
        except queue.Empty:
            if gone():
                return Gone
    return None
