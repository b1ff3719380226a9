"""Accounts for all that callers make a daemon hold, connection by connection.

Heads, bodies and answers that a caller has yet to read count towards one
limit, as one large holder and many small ones fill a host alike. When there is
no room, a caller that has been silent is given up first, then the largest
request that is still being read. A request that runs is never given up.

Threads and descriptors are shared out likewise: callers that have been silent
for the longest time make way for others.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import enum
import errno
import socket
import threading
from typing import Protocol

from . import caller_limits
from . import caller_sockets
from . import clock
from . import response_memory
from . import tcp_states

# Of the objects of a connection, and of what the system receives ahead.
CONNECTION_BYTES = 16 * 1024
WIDE_BYTES = 2 * caller_sockets.WIDE_RECEIVE_BUFFER_BYTES
# Of the limit: while less is held, long bodies are received faster.
WIDE_SHARE = 0.5
# A caller that is silent for longer may be given up if its room is needed.
SILENCE_S = 1.0
# The same if its connection is needed while it sends a request.
PAUSE_S = 0.05
# The same if its thread is needed, and the time of a request that is received
# in small parts until then.
THREAD_SILENCE_S = 0.5
THREAD_AGE_S = 1.0
# Open connections, including those that are being closed, and the time in
# which some of these are closed.
OPEN_PER_ADMITTED = 1.5
CLOSING_S = 0.5
MIN_AGE_S = 0.001  # of a connection, to compare it with others
TURNED_AWAY = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 1\r\n"
    b"Content-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class Listener(Protocol):
    """What accepts connections; ``timeout`` is in seconds, for each read."""

    timeout: float


class Phase(enum.Enum):
    """What a connection is used for.

    A queued one has sent bytes that no thread has read yet.
    """

    IDLE = "idle"
    QUEUED = "queued"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"


class Caller(response_memory.Holding):
    """What one connection of a caller holds.

    Methods raise :class:`caller_limits.Refused` if it was given up.
    """

    def __init__(
        self, account: "Account", sock: socket.socket, listener: Listener
    ):
        super().__init__(account.budget, sock)
        self._account = account
        self.listener = listener
        self.phase = Phase.IDLE
        self.active_at = clock.now()
        self.began_at = self.active_at
        self.reads_head = True
        self.ended: caller_limits.Refused | None = None
        self.held = 0  # bytes of the head and the complete body
        self.opened_at = self.active_at
        self.served = 0  # requests
        self.retires = False
        self._is_wide = False

    def queue(self) -> bool:
        """Notes that a request has begun to arrive and waits for a thread.

        Returns false if the connection was given up.
        """
        self.active_at = clock.now()
        with self._account.lock:
            self.phase = Phase.QUEUED
            return self.ended is None

    def begin(self) -> bool:
        """Notes that a request is read.

        Returns false if the connection was given up.
        """
        self.active_at = self.began_at = clock.now()
        self.reads_head = True
        with self._account.lock:
            self.phase = Phase.READING
            return self.ended is None

    def begin_body(self) -> None:
        """Notes that the head is complete."""
        self.began_at = clock.now()
        self.reads_head = False

    def widen(self) -> None:
        """Lets the system receive more ahead, unless there is little room."""
        if self._is_wide or not self._account.has_much_room():
            return
        self._is_wide = True
        self.held += WIDE_BYTES
        caller_sockets.set_receive_buffer(
            self._sock, caller_sockets.WIDE_RECEIVE_BUFFER_BYTES
        )

    def _narrow(self) -> None:
        """Undoes :meth:`widen`; what was received meanwhile still counts."""
        self._is_wide = False
        caller_sockets.set_receive_buffer(
            self._sock, caller_sockets.RECEIVE_BUFFER_BYTES
        )
        unread = tcp_states.unread_bytes(self._sock)
        if unread > caller_sockets.RECEIVE_BUFFER_BYTES:
            self.held = unread
            self._is_counted = self._budget.grow(self, unread)

    def check(self) -> None:
        """Raises if the caller was given up."""
        if self.ended is not None:
            raise self.ended.copy()

    def note_bytes(self) -> None:
        """Notes that bytes were received."""
        self.check()
        self.active_at = clock.now()

    def is_late(self) -> bool:
        """Returns whether nothing was received for the listener's timeout."""
        return clock.now() >= self.active_at + self.listener.timeout

    def answers_per_s(self, now: float) -> float:
        """Returns how many of its requests were answered, by time."""
        return self.served / max(now - self.opened_at, MIN_AGE_S)

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes have arrived that no thread has read."""
        return tcp_states.unread_bytes(self._sock) > 0

    def is_paused(self, now: float) -> bool:
        """Returns whether nothing has arrived for a moment."""
        return now > self.active_at + PAUSE_S

    def takes_nothing(self, now: float) -> bool:
        """Returns whether it has taken nothing of its answer for a while."""
        return self.phase is Phase.WRITING and now > self.active_at + SILENCE_S

    def begin_run(self) -> None:
        """Notes that the request is complete; it isn't given up any more."""
        with self._account.lock:
            if self.ended is not None:
                raise self.ended.copy()
            self.phase = Phase.RUNNING

    def reserve(self, size: int) -> None:
        """Keeps room for an answer of about ``size`` bytes.

        Raises :class:`caller_limits.Refused` if there is none, also for a
        request that is complete; it must not run then.
        """
        try:
            self.resize(self.held + size)
        except caller_limits.Refused as refused:
            self.release()
            self.note_refusal(refused)
            raise

    def begin_write(self, size: int) -> None:
        """Notes that an answer of ``size`` bytes is held for the caller."""
        self.active_at = clock.now()
        with self._account.lock:
            self.phase = Phase.WRITING
        self.resize(self.held + size)

    def note_refusal(self, refused: caller_limits.Refused) -> None:
        """Reports a refusal, unless that was done as the caller was ended."""
        if self.ended is None:
            self._account.report(refused.limit)

    def note_written(self) -> None:
        """Notes that the caller has taken a part of its answer."""
        self.active_at = clock.now()

    def finish(self) -> None:
        """Notes that the request has ended."""
        self.release()
        if self._is_wide:
            self._narrow()
        self.active_at = clock.now()
        with self._account.lock:
            if self.phase in (Phase.RUNNING, Phase.WRITING):
                self.served += 1
            self.phase = Phase.IDLE

    def release(self) -> None:
        """Gives back the memory of the request."""
        self.held = 0
        self.__exit__()
        self._is_counted = False

    def resize(self, size: int) -> None:
        """Notes that ``size`` bytes are held."""
        if size <= response_memory.FREE_BYTES and not self._is_counted:
            return
        self._is_counted = True
        if not self._budget.grow(self, size):
            self.end(_no_room())
            raise (self.ended or _no_room()).copy()

    def end_reads(self) -> None:
        """Gives the caller up, as its memory is needed."""
        self.end(_no_room())

    def end(self, why: caller_limits.Refused) -> bool:
        """Gives the caller up, unless its request runs; wakes its thread."""
        with self._account.lock:
            if self.ended is not None or self.phase is Phase.RUNNING:
                return False
            self.ended = why
            is_queued = self.phase is Phase.QUEUED
            if is_queued:
                # No thread uses it, and the next one to do so may come late.
                self._sock.close()
        if is_queued:
            self._account.leave(self)
        else:
            # A refusal can still be written to one that sends a request.
            is_reading = self.phase is Phase.READING
            how = socket.SHUT_RD if is_reading else socket.SHUT_RDWR
            with contextlib.suppress(OSError):
                self._sock.shutdown(how)
        self._account.report(why.limit)
        return True


class Account:
    """All callers of a daemon; ``report`` is called with a limit's name."""

    def __init__(
        self,
        limits: caller_limits.Limits | None = None,
        report: Callable[[str], None] = lambda limit: None,
    ):
        self.limits = limits or caller_limits.Limits()
        self.head_s = 6.0
        self.report = report
        self.lock = threading.Lock()
        self._left = threading.Condition(self.lock)
        self.budget = response_memory.Budget(self.limits.memory_bytes, _choose)
        self._callers: set[Caller] = set()
        self._listeners: dict[Listener, Callable[[], int]] = {}

    def add_listener(
        self, listener: Listener, count_waiting: Callable[[], int]
    ) -> None:
        """Adds a listener.

        ``count_waiting`` returns how many of its connections need a thread
        and can't have a new one.
        """
        self._listeners[listener] = count_waiting

    def admit(self, sock: socket.socket, listener: Listener) -> Caller:
        """Returns the holder for a new connection.

        Another one makes way for it if there are too many. Raises
        ``ConnectionAbortedError`` if none can.
        """
        most = min(
            self.limits.connections,
            self.limits.memory_bytes // 2 // CONNECTION_BYTES,
        )
        with self.lock:
            has_room = self._left.wait_for(
                lambda: len(self._callers) < most * OPEN_PER_ADMITTED,
                CLOSING_S,
            )
            open_now = [
                each
                for each in self._callers
                if each.ended is None and not each.retires
            ]
        is_full = len(open_now) >= most
        if not has_room or (is_full and not self._make_way(open_now)):
            self._turn_away(sock)
        found = Caller(self, sock, listener)
        with self.lock:
            self._callers.add(found)
            self._set_base()
        return found

    def _make_way(self, callers: list[Caller]) -> bool:
        """Gives up a caller, or keeps one from sending another request.

        The first is the one that has been silent for the longest time, the
        next the one that has had the most requests answered for its age. One
        that waits for its first answer stays.
        """
        now = clock.now()
        reading = [each for each in callers if each.phase is Phase.READING]
        paused = [each for each in reading if each.is_paused(now)]
        untaken = [each for each in callers if each.takes_nothing(now)]
        silent = (
            _longest_silent([e for e in callers if e.phase is Phase.IDLE])
            or _longest_silent(paused)
            or min(untaken, key=_active_at, default=None)
        )
        if silent is not None:
            return silent.end(_too_many())
        answered = [each for each in callers if each.served]
        if not answered:
            found = min(reading, key=_active_at, default=None)
            return found is not None and found.end(_too_many())
        busiest = max(answered, key=lambda each: each.answers_per_s(now))
        if busiest.phase is Phase.QUEUED:
            return busiest.end(_too_many())
        busiest.retires = True
        self.report("connections")
        return True

    def _turn_away(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.setblocking(False)
            sock.send(TURNED_AWAY)
        sock.close()
        self.report("connections")
        raise ConnectionAbortedError(
            errno.ECONNABORTED, "too many connections"
        )

    def leave(self, caller: Caller) -> None:
        """Forgets a connection that was closed."""
        caller.release()
        with self.lock:
            self._callers.discard(caller)
            self._set_base()
            self._left.notify_all()

    def _set_base(self) -> None:
        self.budget.base = len(self._callers) * CONNECTION_BYTES

    def has_much_room(self) -> bool:
        """Returns whether less than a certain part of the limit is held."""
        budget = self.budget
        return budget.base + budget.total < WIDE_SHARE * budget.limit

    def sweep(self) -> None:
        """Gives up callers that are late, and silent ones to free threads.

        It is called now and then.
        """
        now = clock.now()
        with self.lock:
            callers = [each for each in self._callers if each.ended is None]
        reading = [each for each in callers if each.phase is Phase.READING]
        for each in reading:
            limit_s = self.head_s if each.reads_head else self.limits.body_s
            if now > each.began_at + limit_s:
                each.end(
                    caller_limits.Refused(408, "time", "the request is late")
                )
        for listener, count_waiting in self._listeners.items():
            waiting = count_waiting()
            if waiting:
                here = [each for each in callers if each.listener is listener]
                self._free_threads(here, waiting, now)

    def _free_threads(
        self, callers: list[Caller], waiting: int, now: float
    ) -> None:
        reading = [each for each in callers if each.phase is Phase.READING]
        untaken = [each for each in callers if each.takes_nothing(now)]
        silent = [
            each for each in reading if now > each.active_at + THREAD_SILENCE_S
        ]
        silent.sort(key=lambda each: each.active_at)
        slow = [
            each
            for each in reading
            if each not in silent and now > each.began_at + THREAD_AGE_S
        ]
        slow.sort(key=lambda each: each.began_at)
        untaken.sort(key=lambda each: each.active_at)
        for each in [*silent, *untaken, *slow][:waiting]:
            each.end(
                caller_limits.Refused(
                    408, "threads", "the request arrived too slowly"
                )
            )


def _active_at(caller: Caller) -> float:
    return caller.active_at


def _longest_silent(callers: list[Caller]) -> Caller | None:
    """Returns the one of ``callers`` that was silent for the longest time.

    One whose bytes wait to be read isn't silent.
    """
    return next(
        (
            each
            for each in sorted(callers, key=_active_at)
            if not each.has_unread_bytes()
        ),
        None,
    )


def _too_many() -> caller_limits.Refused:
    return caller_limits.Refused(408, "connections", "too many connections")


def _no_room() -> caller_limits.Refused:
    return caller_limits.Refused(503, "memory", "no room for the request")


def _choose(sizes: Mapping[Caller, int]) -> Caller | None:
    """Returns which of the callers with ``sizes`` is given up, if any."""
    now = clock.now()
    usable = [
        each for each in sizes if each.phase in (Phase.READING, Phase.WRITING)
    ]
    silent = [each for each in usable if now > each.active_at + SILENCE_S]
    if silent:
        return min(silent, key=lambda each: each.active_at)
    reading = [each for each in usable if each.phase is Phase.READING]
    return max(reading, key=sizes.__getitem__, default=None)
