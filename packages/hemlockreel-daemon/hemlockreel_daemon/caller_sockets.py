"""Notices callers that have left while a worker waits for something else."""

import contextlib
import select
import socket
import threading

from hemlockreel import outcomes

from . import mailbox

KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000  # unacknowledged data for this long ends a connection
WRITE_TIMEOUT_S = 3.0  # a caller that reads nothing for so long is cut off
SEND_BUFFER_BYTES = 16 * 1024
DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Watcher:
    """One thread that watches the connections of all callers.

    The kernel reports a connection that its peer closed, or that the
    keep-alive probes found dead, so no worker has to look at it in between.
    Numbers of connections are used again at once.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._boxes: dict[int, mailbox.Mailbox] = {}

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, name="callers", daemon=True).start()

    def watch(self, sock: socket.socket, box: mailbox.Mailbox) -> None:
        """Stops ``box`` when the peer of ``sock`` has gone."""
        configure(sock)
        self._boxes[sock.fileno()] = box
        self._epoll.register(
            sock.fileno(), DISCONNECT_EVENTS | select.EPOLLONESHOT
        )

    def stop_watching(self, sock: socket.socket) -> None:
        """Ends :meth:`watch`; to be called before ``sock`` is closed."""
        number = sock.fileno()
        self._boxes.pop(number, None)
        if number >= 0:
            with contextlib.suppress(OSError):
                self._epoll.unregister(number)

    def _run(self) -> None:
        while True:
            for number, _ in self._epoll.poll():
                # The event may be that of a connection which was closed since,
                # whose number the next one has. The mailbox is looked up
                # before the connection is looked at, so that at worst one is
                # stopped whose request has ended.
                box = self._boxes.get(number)
                if box is not None and _is_disconnected(number):
                    box.stop(outcomes.Reason.CALLER_GONE)


def _is_disconnected(number: int) -> bool:
    """Returns whether the connection with this number is closed or dead."""
    poll = select.poll()
    poll.register(number, select.POLLRDHUP)
    return bool(poll.poll(0))


def configure(sock: socket.socket) -> None:
    """Bounds how long a silent or a slow peer is waited for.

    The small buffer makes a peer that no longer reads show up by a write
    that does not end.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    enable_keepalive(sock)
    sock.settimeout(WRITE_TIMEOUT_S)


def enable_keepalive(sock: socket.socket) -> None:
    """Has the kernel end a connection whose peer is out of reach."""
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
    """Breaks a connection off, so that its answer can't look whole.

    What was written before still reaches the caller.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
