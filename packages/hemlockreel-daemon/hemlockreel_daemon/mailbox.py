"""Mailboxes through which the loop passes values to worker threads."""

from collections.abc import Iterator
import contextlib
import queue
import socket
import threading
from typing import Any
from typing import NamedTuple

from hemlockreel import outcomes


class Stopped(NamedTuple):
    """Tells a worker to abandon its request for ``reason``."""

    reason: outcomes.Reason


class Mailbox:
    """The mailbox of one request.

    A worker that is blocked in a call to a backend server can't read its
    mailbox. It uses :meth:`interrupting` so that :meth:`stop` ends the call.
    ``stopped`` stays set once the mailbox has been stopped.
    """

    def __init__(self):
        self._values: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self.stopped: Stopped | None = None

    def put(self, value: Any) -> None:
        """Queues ``value`` for the worker."""
        self._values.put(value)

    def get(self, timeout_s: float) -> Any:
        """Returns the next value, ``Stopped``, or ``None`` on timeout."""
        if self.stopped is not None:
            return self.stopped
        try:
            return self._values.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def stop(self, reason: outcomes.Reason) -> None:
        """Makes the worker abandon its request, even during a call."""
        with self._lock:
            if self.stopped is not None:
                return
            self.stopped = Stopped(reason)
            if self._sock is not None:
                _shut_down(self._sock)
        self._values.put(self.stopped)

    @contextlib.contextmanager
    def interrupting(self, sock: socket.socket) -> Iterator[None]:
        """Lets :meth:`stop` shut down ``sock`` within the block."""
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
    """The mailboxes of all requests in progress, by request id."""

    def __init__(self):
        self._boxes: dict[str, Mailbox] = {}

    def open(self, request_id: str) -> Mailbox:
        """Creates the mailbox of ``request_id``."""
        box = self._boxes[request_id] = Mailbox()
        return box

    def close(self, request_id: str) -> None:
        """Removes the mailbox; later values for it are dropped."""
        self._boxes.pop(request_id, None)

    def stop_all(self, reason: outcomes.Reason) -> None:
        """Makes the workers of all requests abandon them."""
        for box in list(self._boxes.values()):
            box.stop(reason)

    def deliver(self, request_id: str, value: Any) -> bool:
        """Puts ``value`` into a mailbox; returns false if there is none.

        A revocation stops the mailbox instead.
        """
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
