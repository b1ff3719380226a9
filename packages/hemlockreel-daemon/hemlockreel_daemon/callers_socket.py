"""Notices a caller that has left while a worker waits for something else."""

from collections.abc import Callable
import queue
import select
import socket
import time
from typing import Any

POLL_S = 0.1
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 3000  # unacknowledged data for this long ends a connection


GONE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Gone:
    """What :func:`wait` returns when the caller has left."""


def watch(sock: socket.socket) -> Callable[[], bool]:
    """Returns a function that tells whether the peer of ``sock`` has gone.

    Keep-alive probes let the kernel notice a peer that went silent.
    """
    _keep_alive(sock)
    poller = select.poll()
    poller.register(sock, GONE_EVENTS)

    def gone() -> bool:
        # recv() would wait for the time-out that the server set.
        return bool(poller.poll(0))

    return gone


def _keep_alive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


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
