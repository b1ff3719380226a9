"""Sockets that bound the size and the duration of a response.

A server in trouble may send bytes without end that are no response, quickly or
one now and then. The timeout of a socket applies to each read alone, so it
doesn't end such a response; the limits here cover all reads together.
"""

import math
import socket
from typing import Any
from typing import NamedTuple

from . import clock
from . import tcp_states

# A read may exceed the deadline by this much. It saves the system call that
# adjusts the timeout for each of them.
DEADLINE_SLACK_S = 0.05

# Of a long request, written after a look for an early response.
LAST_BYTES = 4 * 1024


class ResponseLimits(NamedTuple):
    """The largest head, body and stream event of a response, in bytes.

    ``total_bytes`` is for the bodies and events of all responses together.
    """

    head_bytes: int = 64 * 1024
    body_bytes: int = 8 * 2**20
    event_bytes: int = 2**20
    total_bytes: int = 8 * 2**20


class ResponseTooLarge(OSError):
    """A response has more bytes than its limit."""


class ReadsEnded(OSError):
    """This process has ended the reads of a response."""


class EndRefused(ConnectionError):
    """The end of the connection is no end of a response."""


class BoundedSocket(socket.socket):
    """A connected socket whose reads have a common deadline and size.

    ``via`` is the host that carries its bytes, empty for none. Reads after
    :meth:`shutdown` raise :class:`ReadsEnded`, as their end would otherwise be
    that of a response which lasts until its connection ends.
    """

    via = ""

    def __init__(self, connected: socket.socket):
        timeout_s = connected.gettimeout()
        super().__init__(
            connected.family,
            connected.type,
            connected.proto,
            fileno=connected.detach(),
        )
        self.settimeout(timeout_s)
        self._ends_at = math.inf
        self._left_bytes = math.inf
        self._is_shut = False
        self._has_written = False
        self._early_bytes = 0
        self._refuses_end = False

    def begin_request(self) -> None:
        """Notes that what is written from now on is another request."""
        self._has_written = self._refuses_end = False
        self._early_bytes = 0

    def sendall(self, data: Any, *flags: int) -> None:
        """Writes like a socket, and looks for input before the last bytes.

        A request is written in one call or more; only before the first bytes
        there is nothing to look for.
        """
        if len(data) > LAST_BYTES:
            view = memoryview(data)
            super().sendall(view[:-LAST_BYTES], *flags)
            self._limit_wait()
            data = view[-LAST_BYTES:]
            self._has_written = True
        if self._has_written:
            self._early_bytes = tcp_states.unread_bytes(self)
        self._has_written = True
        super().sendall(data, *flags)

    def is_early(self, begins_at: int) -> bool:
        """Returns whether the head that was read began before its request.

        That is, before the whole request was written and had arrived. The
        head is ``begins_at`` bytes behind the first of the response.
        """
        return (
            begins_at < self._early_bytes or tcp_states.untaken_bytes(self) > 0
        )

    def refuse_end(self) -> None:
        """Makes reads raise :class:`EndRefused` at the end."""
        self._refuses_end = True

    def shutdown(self, how: int) -> None:
        """Ends the use of the connection, also for a thread that reads."""
        self._is_shut = True
        super().shutdown(how)

    def set_limits(self, seconds: float, size: float) -> None:
        """Limits all further reads to ``seconds`` and ``size`` bytes."""
        self._ends_at = clock.now() + seconds
        self._left_bytes = size
        self.settimeout(max(seconds, 0.0) if seconds < math.inf else None)

    def set_size(self, size: float) -> None:
        """Limits all further reads to ``size`` bytes, with the same end."""
        self._left_bytes = size

    def recv_into(self, *arguments: Any) -> int:
        """Reads like a socket; raises an ``OSError`` beyond the limits."""
        self._limit_wait()
        count = super().recv_into(*arguments)
        if self._is_shut:
            raise ReadsEnded("the response was given up")
        self._left_bytes -= count
        if self._left_bytes < 0:
            raise ResponseTooLarge("the response is too large")
        if not count:
            self._check_end()
        return count

    def _check_end(self) -> None:
        if self._refuses_end:
            raise EndRefused("the response began before its request ended")
        if tcp_states.was_reset(self):
            raise EndRefused("the connection was reset after its end")

    def _limit_wait(self) -> None:
        """Lets the next call wait until the deadline at most."""
        left_s = self._ends_at - clock.now()
        if left_s <= 0:
            raise TimeoutError("the response took too long")
        timeout_s = self.gettimeout()
        if timeout_s is None or left_s < timeout_s - DEADLINE_SLACK_S:
            self.settimeout(left_s if left_s < math.inf else None)
