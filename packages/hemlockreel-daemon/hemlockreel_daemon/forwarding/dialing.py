"""Connections to replicas that are being opened, directly or over a path.

Several of them may be open at once; :func:`wait` returns the first that ends.
None of them sends a byte of a request.
"""

import enum
import errno
import os
import select
import socket

from hemlockreel.forwarding import instances

from .. import bounded_sockets
from .. import clock
from .. import path_sockets


class Outcome(enum.Enum):
    """How the opening of a connection has ended."""

    OPEN = "open"
    FAILED = "failed"  # the other end or the network
    REFUSED = "refused"  # the helper answered that it opens no path


class Dial:
    """One connection that is being opened; ``mask`` is what it waits for.

    ``outcome`` is ``None`` until it has ended, and ``detail`` says why it
    failed. ``started_at`` is on the steady clock.
    """

    via = ""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.outcome: Outcome | None = None
        self.detail = ""
        self.started_at = clock.now()
        self.mask = select.POLLOUT
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        code = self.sock.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            self._fail(os.strerror(code))

    def advance(self) -> None:
        """Goes on after the socket has become ready."""
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(os.strerror(code))
        else:
            self.outcome = Outcome.OPEN

    def take(self) -> bounded_sockets.BoundedSocket:
        """Returns the open connection."""
        return bounded_sockets.BoundedSocket(self.sock)

    def close(self) -> None:
        """Gives the connection up."""
        self.sock.close()

    def _fail(self, detail: str, outcome: Outcome = Outcome.FAILED) -> None:
        self.outcome = outcome
        self.detail = detail
        self.sock.close()


class PathDial(Dial):
    """A path to a replica through the host ``via`` that is being opened."""

    def __init__(
        self,
        helper: tuple[str, str],
        instance: instances.Instance,
        wait_s: float,
        brief: bool,
    ):
        address, self.via = helper
        self._line = path_sockets.encode(
            path_sockets.PathRequest(
                instance.id,
                instance.born,
                max(1, int(wait_s * 1000)),
                brief,
            )
        )
        self._reply = bytearray()
        super().__init__(address)

    def advance(self) -> None:
        """Sends the request once connected, then reads the reply."""
        try:
            if self.mask == select.POLLOUT:
                super().advance()
                if self.outcome is Outcome.OPEN:
                    self.outcome = None
                    # A new connection takes such a short line at once.
                    self.sock.sendall(self._line)
                    self.mask = select.POLLIN
                return
            self._read_reply()
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(str(error))

    def _read_reply(self) -> None:
        while not self._reply.endswith(b"\n"):
            # One byte at a time, as those after the line are the replica's.
            byte = self.sock.recv(1)
            if not byte or len(self._reply) >= path_sockets.MAX_LINE_BYTES:
                self._fail("the path was closed")
                return
            self._reply += byte
        reply = path_sockets.decode_reply(bytes(self._reply))
        if reply is None:
            self._fail("no reply to a request for a path")
        elif reply.status == path_sockets.OPEN:
            self.outcome = Outcome.OPEN
        else:
            self._fail(reply.status, Outcome.REFUSED)

    def take(self) -> path_sockets.PathSocket:
        """Returns this end of the path."""
        return path_sockets.PathSocket(self.sock, self.via)


def wait(dials: list[Dial], seconds: float) -> Dial | None:
    """Returns the first dial that has ended, ``None`` after ``seconds``.

    A dial that had ended before is returned at once.
    """
    until = clock.now() + seconds
    while True:
        for dial in dials:
            if dial.outcome is not None:
                return dial
        left_s = until - clock.now()
        poll = select.poll()
        by_descriptor = {}
        for dial in dials:
            by_descriptor[dial.sock.fileno()] = dial
            poll.register(dial.sock, dial.mask)
        ready = poll.poll(max(0.0, left_s * 1000))
        for descriptor, _ in ready:
            by_descriptor[descriptor].advance()
        if not ready and left_s <= 0:
            return None
