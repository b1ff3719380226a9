"""Bounds the memory of all responses that a process reads at the same time.

Each response has limits of its own, but several faulty servers, or one that
many requests meet at once, can fill a small host with responses that are each
within them. When all together exceed the limit, the largest one is given up,
so that short responses are never lost for the sake of endless ones.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import socket
import threading
from typing import Any

from . import bounded_sockets

# A response up to this size isn't counted, which keeps the lock out of the way
# of nearly all responses.
FREE_BYTES = 16 * 1024
RELEASE_TIMEOUT_S = 1.0  # for a thread to notice that its response has ended


def choose_largest(sizes: Mapping["Holding", int]) -> "Holding":
    """Returns the largest of the responses with ``sizes``."""
    return max(sizes, key=sizes.__getitem__)


class Budget:
    """The memory of all responses; ``limit`` is in bytes.

    ``choose`` returns which one of several is given up, or ``None``, which
    gives up the one that grows. ``base`` is what else counts, in bytes, and
    ``total`` the bytes of all responses.

    >>> budget = Budget(200_000)
    >>> ours, theirs = socket.socketpair()
    >>> with ours, theirs, budget.hold(ours) as small:
    ...     with budget.hold(theirs) as large:
    ...         small.resize(70_000)
    ...         large.resize(150_000)
    Traceback (most recent call last):
        ...
    hemlockreel_daemon.bounded_sockets.ResponseTooLarge: no room for 150000 ...
    """

    def __init__(
        self,
        limit: int,
        choose: Callable[[Any], "Holding | None"] = choose_largest,
    ):
        self.limit = limit
        self.base = 0
        self._choose = choose
        self._changed = threading.Condition()
        self._sizes: dict[Holding, int] = {}
        self.total = 0
        self._given_up: set[Holding] = set()

    def hold(self, sock: socket.socket) -> "Holding":
        """Returns what accounts for a response that is read from ``sock``."""
        return Holding(self, sock)

    def grow(self, holding: "Holding", size: int) -> bool:
        """Sets the size of a response; returns whether it may be read on.

        Gives up others if there is too little room, and waits until their
        threads have released them.
        """
        with self._changed:
            self.total += size - self._sizes.get(holding, 0)
            self._sizes[holding] = size
            while (
                holding not in self._given_up
                and self._taken() - self._given_up_size() > self.limit
            ):
                found = self._choose(
                    {
                        each: taken
                        for each, taken in self._sizes.items()
                        if each not in self._given_up
                    }
                )
                self._given_up.add(found or holding)
                (found or holding).end_reads()
            self._changed.wait_for(
                lambda: (
                    holding in self._given_up or self._taken() <= self.limit
                ),
                RELEASE_TIMEOUT_S,
            )
            return holding not in self._given_up

    def release(self, holding: "Holding") -> None:
        """Forgets a response."""
        with self._changed:
            self.total -= self._sizes.pop(holding, 0)
            self._given_up.discard(holding)
            self._changed.notify_all()

    def _taken(self) -> int:
        return self.base + self.total

    def _given_up_size(self) -> int:
        return sum(self._sizes[each] for each in self._given_up)


class Holding:
    """The memory of one response, as a context manager that releases it."""

    def __init__(self, budget: Budget, sock: socket.socket):
        self._budget = budget
        self._sock = sock
        self._is_counted = False

    def __enter__(self) -> "Holding":
        return self

    def __exit__(self, *details: object) -> None:
        if self._is_counted:
            self._budget.release(self)

    def resize(self, size: int) -> None:
        """Notes that the response has ``size`` bytes in memory.

        Raises :class:`bounded_sockets.ResponseTooLarge` if it is given up.
        """
        if size <= FREE_BYTES and not self._is_counted:
            return
        self._is_counted = True
        if not self._budget.grow(self, size):
            raise bounded_sockets.ResponseTooLarge(
                f"no room for {size} bytes beside other responses"
            )

    def end_reads(self) -> None:
        """Ends the wait of a thread for more bytes."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
