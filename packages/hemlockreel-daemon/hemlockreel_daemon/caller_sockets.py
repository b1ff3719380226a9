"""Detects callers that disconnect while a worker waits for something else."""

import contextlib
import select
import socket
import threading

from hemlockreel import outcomes

from . import mailbox

KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000  # for data that the peer doesn't acknowledge
WRITE_TIMEOUT_S = 3.0  # for a caller that doesn't read
SEND_BUFFER_BYTES = 16 * 1024
# What the system receives ahead of the reads of a connection; it may keep up
# to twice as much. The wide one is for a long body while it is read.
RECEIVE_BUFFER_BYTES = 8 * 1024
WIDE_RECEIVE_BUFFER_BYTES = 64 * 1024
DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Watcher:
    """One thread that watches the connections of all callers.

    The kernel reports a connection that the peer has closed or that failed
    its keep-alive probes, so workers don't have to poll. File descriptors are
    reused at once, so an event may belong to an earlier connection.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._boxes: dict[int, mailbox.Mailbox] = {}

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, name="callers", daemon=True).start()

    def watch(self, sock: socket.socket, box: mailbox.Mailbox) -> None:
        """Stops ``box`` when the peer of ``sock`` disconnects."""
        configure(sock)
        self._boxes[sock.fileno()] = box
        self._epoll.register(
            sock.fileno(), DISCONNECT_EVENTS | select.EPOLLONESHOT
        )

    def stop_watching(self, sock: socket.socket) -> None:
        """Ends :meth:`watch`; must be called before ``sock`` is closed."""
        descriptor = sock.fileno()
        self._boxes.pop(descriptor, None)
        if descriptor >= 0:
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll():
                # The event may be that of a closed connection whose descriptor
                # a new one now has, so the state is checked again. The mailbox
                # is looked up before that: if the descriptor is reused in
                # between, the mailbox belongs to a request that has ended.
                box = self._boxes.get(descriptor)
                if box is not None and _is_disconnected(descriptor):
                    box.stop(outcomes.Reason.CALLER_GONE)


def _is_disconnected(descriptor: int) -> bool:
    """Returns whether this descriptor's connection is closed or dead."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def set_receive_buffer(sock: socket.socket, size: int) -> None:
    """Limits what the system receives ahead; of a listener, for all callers.

    It counts as memory of the process and may arrive on all connections.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def configure(sock: socket.socket) -> None:
    """Sets timeouts so that dead and slow callers are detected.

    With a small send buffer, writes to a caller that no longer reads block
    early and run into the timeout.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    enable_keepalive(sock)
    sock.settimeout(WRITE_TIMEOUT_S)


def enable_keepalive(sock: socket.socket) -> None:
    """Makes the kernel end a connection whose peer is unreachable.

    Also disables Nagle's algorithm.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def abort(sock: socket.socket) -> None:
    """Shuts a connection down, so that its response doesn't look complete.

    Data that was written before still reaches the caller.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
