"""Mailboxes, on which a worker thread waits for the loop."""

from collections.abc import Iterator
import contextlib
import queue
import socket
import threading
from typing import Any
from typing import NamedTuple

from hemlockreel import outcomes


class Stopped(NamedTuple):
    """What a worker finds in its mailbox when it must give up."""

    reason: outcomes.Reason


class Mailbox:
    """What one worker waits on.

    A worker that is blocked in a call to a backend server does not look into
    its mailbox. It lets :meth:`stop` interrupt the call instead.
    """

    def __init__(self):
        self._values: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self.stopped: Stopped | None = None

    def put(self, value: Any) -> None:
        """Hands ``value`` to the worker."""
        self._values.put(value)

    def get(self, timeout_s: float) -> Any:
        """Returns the next value, ``Stopped``, or ``None`` on time-out."""
        if self.stopped is not None:
            return self.stopped
        try:
            return self._values.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def stop(self, reason: outcomes.Reason) -> None:
        """Tells the worker to give up, also when it is in a call."""
        with self._lock:
            if self.stopped is not None:
                return
            self.stopped = Stopped(reason)
            if self._sock is not None:
                _shut_down(self._sock)
        self._values.put(self.stopped)

    @contextlib.contextmanager
    def interrupting(self, sock: socket.socket) -> Iterator[None]:
        """Lets :meth:`stop` end the connection ``sock`` meanwhile."""
        with self._lock:
            self._sock = sock
            if self.stopped is not None:
                _shut_down(sock)
        try:
            yield
        finally:
            with self._lock:
                self._sock = None


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


class Mailboxes:
    """One mailbox for each request that a worker carries."""

    def __init__(self):
        self._boxes: dict[str, Mailbox] = {}

    def open(self, request_id: str) -> Mailbox:
        """Makes the mailbox of ``request_id``."""
        box = self._boxes[request_id] = Mailbox()
        return box

    def close(self, request_id: str) -> None:
        """Forgets the mailbox; what comes for it later is dropped."""
        self._boxes.pop(request_id, None)

    def deliver(self, request_id: str, value: Any) -> bool:
        """Puts ``value`` into a mailbox; false when nobody waits."""
        box = self._boxes.get(request_id)
        if box is None:
            return False
        if _is_revocation(value):
            box.stop(outcomes.Reason.REVOKED)
        else:
            box.put(value)
        return True


def _is_revocation(value: Any) -> bool:
    return (
        isinstance(value, outcomes.Refused)
        and value.reason is outcomes.Reason.REVOKED
    )
