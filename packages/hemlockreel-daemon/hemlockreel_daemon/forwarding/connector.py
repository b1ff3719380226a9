"""Connects to replicas, directly or through another host.

:mod:`hemlockreel.forwarding.reachability` says why, and which hosts to ask.
This module only runs the ways beside each other, as RFC 8305 does for
addresses: the first that stands is used and the others are closed. None of
them has sent anything by then.
"""

from collections.abc import Callable
import contextlib
import queue
import threading
from typing import Any
from typing import Protocol

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import reachability

from .. import bounded_sockets
from .. import clock
from . import dialing

# A connect takes some ms between availability zones. A lost packet is sent
# again only after a second.
HEAD_START_S = 0.06
HELPER_HEAD_START_S = 0.12  # for the first helper, which connects as well
# Requests that open a second way beside the direct one at the same time. More
# would wait for the same replicas.
MAX_SECOND_WAYS = 16


class Dialer(Protocol):
    """Opens connections; a test replaces it."""

    def direct(self, instance: instances.Instance) -> dialing.Dial:
        """Begins to connect to a replica."""
        ...

    def path(
        self,
        helper: tuple[str, str],
        instance: instances.Instance,
        wait_s: float,
        brief: bool,
    ) -> dialing.Dial:
        """Begins to open a path through another host."""
        ...

    def wait(
        self, dials: list[dialing.Dial], seconds: float
    ) -> dialing.Dial | None:
        """Returns the first of ``dials`` that has ended."""
        ...


class SocketDialer:
    """Opens connections over TCP."""

    direct = staticmethod(lambda instance: dialing.Dial(instance.address))
    path = staticmethod(dialing.PathDial)
    wait = staticmethod(dialing.wait)


class Connector:
    """Connects to replicas for all worker threads of a daemon.

    ``post``, ``query`` and ``now`` are those of the loop, which replaces
    ``helped`` and ``watched``, see :class:`reachability.State`.
    ``second_ways`` bounds the second ways that are being opened.
    """

    def __init__(
        self,
        post: Callable[[Any], None],
        query: Callable[[Callable[[Any], Any]], Any],
        dialer: Dialer | None = None,
        now: Callable[[], float] = clock.now,
    ):
        self.helped: frozenset[str] = frozenset()
        self.watched: frozenset[str] = frozenset()
        self._post = post
        self._query = query
        self._dialer = dialer or SocketDialer()
        self._now = now
        self.second_ways = threading.BoundedSemaphore(MAX_SECOND_WAYS)

    def connect(
        self,
        instance: instances.Instance,
        timeout_s: float,
        brief: bool = False,
    ) -> bounded_sockets.BoundedSocket:
        """Returns a connection to a replica, for short calls if ``brief``.

        Raises :class:`ConnectionError` if there is none after ``timeout_s``;
        then the replica has got nothing.
        """
        ends_at = clock.now() + timeout_s
        opening = _Opening(self._dialer, instance, ends_at, brief)
        done = None
        if instance.id not in self.helped:
            opening.begin_direct()
            done = opening.wait(HEAD_START_S)
        if done is None:
            done = self._open_second_way(opening, instance)
        return self._finish(opening, done, instance)

    def try_connect(
        self, instance: instances.Instance, timeout_s: float
    ) -> None:
        """Connects only to learn, and tell the loop, which ways stand.

        The direct way has all the time. If it fails and no other host is
        known to reach the replica, one is asked.
        """
        ends_at = clock.now() + timeout_s
        opening = _Opening(self._dialer, instance, ends_at, brief=True)
        opening.begin_direct()
        done = opening.wait(timeout_s)
        if done is None and instance.id not in self.helped:
            opening.extend(timeout_s)
            done = self._open_second_way(opening, instance, most=1)
        with contextlib.suppress(ConnectionError):
            self._finish(opening, done, instance).close()

    def _note_direct(self, instance: instances.Instance) -> None:
        """Tells the loop of a direct connection, if that is news."""
        if instance.service in self.watched:
            self._post(
                reachability.DirectReached(instance.id, instance.service)
            )

    def _open_second_way(
        self,
        opening: "_Opening",
        instance: instances.Instance,
        most: int = reachability.MAX_HELPERS,
    ) -> dialing.Dial | None:
        """Opens a path, beside the direct way if that was begun.

        Up to ``most`` other hosts are asked, one after the other.
        """
        if not opening.has_direct:
            done = self._open_path(opening, instance, most)
            if done is None:
                opening.begin_direct()
        elif self.second_ways.acquire(blocking=False):
            try:
                done = self._open_path(opening, instance, most)
            finally:
                self.second_ways.release()
        else:
            done = None
        return done or opening.wait_for_last()

    def _open_path(
        self, opening: "_Opening", instance: instances.Instance, most: int
    ) -> dialing.Dial | None:
        """Asks other hosts until one way stands."""
        for helper in self._pick_helpers(instance)[:most]:
            opening.begin_path(helper)
            done = opening.wait(HELPER_HEAD_START_S)
            if done is not None:
                return done
        return None

    def _pick_helpers(
        self, instance: instances.Instance
    ) -> tuple[tuple[str, str], ...]:
        try:
            return self._query(
                lambda board: reachability.pick_helpers(
                    board, instance, self._now()
                )
            )
        except queue.Empty:  # the loop doesn't answer
            return ()

    def _finish(
        self,
        opening: "_Opening",
        done: dialing.Dial | None,
        instance: instances.Instance,
    ) -> bounded_sockets.BoundedSocket:
        """Returns the connection that stands, and closes the others."""
        self._report(opening, done, instance)
        if done is None:
            detail = opening.detail or "timed out"
            raise ConnectionRefusedError(f"{instance.address}: {detail}")
        return opening.finish(done)

    def _report(
        self,
        opening: "_Opening",
        done: dialing.Dial | None,
        instance: instances.Instance,
    ) -> None:
        """Tells the loop what this connection has shown."""
        if done is not None and not done.via:
            self._note_direct(instance)
        elif opening.has_direct:
            self._post(_failed(instance, opening.direct_detail))
        for dial in opening.failed:
            if dial.via:
                refused = dial.outcome is dialing.Outcome.REFUSED
                self._post(
                    reachability.PathFailed(
                        instance.id, dial.via, dial.detail if refused else ""
                    )
                )
        if done is not None and done.via:
            self._post(reachability.PathOpened(instance.id, done.via))


def _failed(
    instance: instances.Instance, detail: str
) -> reachability.DirectFailed:
    return reachability.DirectFailed(instance.id, instance.service, detail)


class _Opening:
    """The ways to one replica that are being opened for one request."""

    def __init__(
        self,
        dialer: Dialer,
        instance: instances.Instance,
        ends_at: float,
        brief: bool,
    ):
        self._dialer = dialer
        self._instance = instance
        self._ends_at = ends_at
        self._brief = brief
        self._pending: list[dialing.Dial] = []
        self._direct: dialing.Dial | None = None
        self.failed: list[dialing.Dial] = []

    @property
    def has_direct(self) -> bool:
        """Whether the direct way was begun."""
        return self._direct is not None

    @property
    def direct_detail(self) -> str:
        """Why the direct way failed."""
        detail = "" if self._direct is None else self._direct.detail
        return detail or "timed out"

    @property
    def detail(self) -> str:
        """Why the ways that have ended failed."""
        return "; ".join(
            f"{each.via or 'direct'}: {each.detail}" for each in self.failed
        )

    def begin_direct(self) -> None:
        """Begins to connect directly."""
        self._direct = self._dialer.direct(self._instance)
        self._pending.append(self._direct)

    def begin_path(self, helper: tuple[str, str]) -> None:
        """Begins to open a path through ``helper``."""
        left_s = max(0.0, self._ends_at - clock.now())
        self._pending.append(
            self._dialer.path(helper, self._instance, left_s, self._brief)
        )

    def extend(self, seconds: float) -> None:
        """Gives all ways so much time from now on."""
        self._ends_at = clock.now() + seconds

    def wait(self, seconds: float) -> dialing.Dial | None:
        """Returns the first way that stands, ``None`` if none does so soon."""
        until = min(clock.now() + seconds, self._ends_at)
        while self._pending:
            done = self._dialer.wait(
                self._pending, max(0.0, until - clock.now())
            )
            if done is None:
                return None
            self._pending.remove(done)
            if done.outcome is dialing.Outcome.OPEN:
                return done
            self.failed.append(done)
        return None

    def wait_for_last(self) -> dialing.Dial | None:
        """Waits for all that was begun, until the end of the time."""
        done = self.wait(max(0.0, self._ends_at - clock.now()))
        if done is None:
            self._close_pending()
        return done

    def finish(self, done: dialing.Dial) -> bounded_sockets.BoundedSocket:
        """Returns the connection that is used and closes all others."""
        self._close_pending()
        return done.take()

    def _close_pending(self) -> None:
        for dial in self._pending:
            dial.close()
        self._pending.clear()
