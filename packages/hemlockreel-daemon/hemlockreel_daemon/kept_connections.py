"""Connections that stay open for a while between short calls.

A request that waits for memory asks the same replicas again every few dozen
milliseconds, and a new connection for each of these calls costs a round trip
and a place at the replica. A connection is used again only if

* its last response was complete, of a stated length, and allowed it;
* nothing more has arrived on it, such as a late second response;
* it was idle for much less time than the server states that it keeps it.

A second copy may still arrive just after that check, in the place of the next
response. It is recognised by what no two responses share, such as the id of a
reservation, and the connection is given up. A refusal has no such mark: a
second copy of one can at most hide a grant, which then expires unused. A
server that once wrote more than it was asked for gets a connection for each
call for a while.

It serves calls that may be repeated only. One that fails without a response
on a kept connection is made once more on a new one. A kept connection without
a response may have gone silent, and then others have as well, so all that are
idle are closed.
"""

from collections.abc import Callable
import contextlib
import json
import re
import select
import socket
import threading
from typing import Any
from typing import NamedTuple

from . import clock
from . import http_calls

# Used if the server states no time. A waiting request asks again after at
# most 0.12 s.
DEFAULT_IDLE_S = 0.25
IDLE_SHARE = 0.4  # of the time that the server states
# Keep-alive probes end a silent connection after 3 s.
MAX_IDLE_S = 4.0
# Of a call's timeout: the longest wait for a response on a kept connection.
KEPT_WAIT_SHARE = 0.5
# After bytes that belong to no call, for which nothing is kept for a server.
DISTRUST_S = 60.0
MAX_KEPT = 2  # for each key; more would only serve simultaneous bursts

# Status, body, headers, and the host that carried it, empty for none.
Response = tuple[int, dict[str, Any], Any, str]


class _Kept(NamedTuple):
    """An idle connection, until when to use it, and the marks seen on it."""

    opened: http_calls.OpenResponse
    usable_until: float
    marks: frozenset[str]


class Pool:
    """Idle connections by a key that identifies one run of a server.

    ``mark(body)`` returns what no other response has, empty if there is none.
    """

    def __init__(self, mark: Callable[[Any], str]):
        self._mark = mark
        self._lock = threading.Lock()
        self._idle: dict[Any, list[_Kept]] = {}
        self._distrusted_until: dict[Any, float] = {}

    def call_json(
        self,
        key: Any,
        address: str,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        timeout_s: float,
        open_socket: http_calls.OpenSocket | None = None,
    ) -> Response | http_calls.CallFailed:
        """Makes a call like :func:`http_calls.call_json`.

        New connections are opened as by :func:`http_calls.open_call`.
        """
        data = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json", **headers}
        ends_at = clock.now() + timeout_s
        kept = self._take(key)
        if kept is not None:
            wait_s = KEPT_WAIT_SHARE * timeout_s
            opened = http_calls.send_again(
                kept.opened, method, path, data, sent, wait_s
            )
            found = self._finish(key, opened, kept.marks)
            if not isinstance(found, http_calls.CallFailed):
                return found
            if found.timed_out:
                self._close_all()
            timeout_s = ends_at - clock.now()
            if timeout_s <= 0:
                return found
        return self._finish(
            key,
            http_calls.open_call(
                address,
                method,
                path,
                data,
                sent,
                timeout_s,
                connecting=http_calls.Connecting(open_socket=open_socket),
            ),
        )

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        now = clock.now()
        with self._lock:
            old = [
                each
                for kept in self._idle.values()
                for each in kept
                if each.usable_until < now
            ]
            self._distrusted_until = {
                key: until
                for key, until in self._distrusted_until.items()
                if until >= now
            }
            self._idle = {
                key: left
                for key, kept in self._idle.items()
                if (left := [e for e in kept if e.usable_until >= now])
            }
        for each in old:
            each.opened.close()

    def _close_all(self) -> None:
        with self._lock:
            idle, self._idle = self._idle, {}
        for kept in idle.values():
            for each in kept:
                each.opened.close()

    def _take(self, key: Any) -> _Kept | None:
        """Returns a usable idle connection, ``None`` if there is none."""
        while True:
            with self._lock:
                kept = self._idle.get(key)
                if not kept:
                    return None
                newest = kept.pop()
            if clock.now() <= newest.usable_until and not _has_input(
                newest.opened
            ):
                return newest
            if _has_bytes(newest.opened):
                self._distrust(key)
            newest.opened.close()

    def _finish(
        self,
        key: Any,
        opened: http_calls.OpenResponse | http_calls.CallFailed,
        marks: frozenset[str] = frozenset(),
    ) -> Response | http_calls.CallFailed:
        """Reads the response and keeps the connection if that is safe."""
        if isinstance(opened, http_calls.CallFailed):
            return opened
        may_keep = False
        try:
            value = opened.read_json()
            mark = self._mark(value)
            if mark in marks:
                self._distrust(key)
                return http_calls.CallFailed(True, "a second copy arrived")
            may_keep = _is_reusable(opened)
            if not may_keep and _has_bytes(opened):
                self._distrust(key)
        except (*http_calls.CALL_ERRORS, ValueError) as error:
            return http_calls.to_failure(error)
        finally:
            if may_keep and mark:
                marks |= {mark}
            if not (may_keep and self._keep(key, opened, marks)):
                opened.close()
        response = opened.response
        return response.status, value, response.headers, opened.sock.via

    def _distrust(self, key: Any) -> None:
        with self._lock:
            self._distrusted_until[key] = clock.now() + DISTRUST_S

    def _keep(
        self,
        key: Any,
        opened: http_calls.OpenResponse,
        marks: frozenset[str],
    ) -> bool:
        with self._lock:
            if self._distrusted_until.get(key, 0.0) > clock.now():
                return False
            kept = self._idle.setdefault(key, [])
            if len(kept) >= MAX_KEPT:
                return False
            until = clock.now() + _max_idle_s(opened)
            kept.append(_Kept(opened, until, marks))
            return True


def _max_idle_s(opened: http_calls.OpenResponse) -> float:
    """Returns for how long a connection may be idle before its next use."""
    stated = opened.response.headers.get("Keep-Alive", "")
    found = re.search(r"\btimeout=(\d{1,6})\b", stated)
    if found is None:
        return DEFAULT_IDLE_S
    return min(IDLE_SHARE * int(found[1]), MAX_IDLE_S)


def _is_reusable(opened: http_calls.OpenResponse) -> bool:
    """Returns whether the server keeps the connection after a response."""
    response = opened.response
    return (
        response.version == 11
        and response.headers.get("Content-Length", "").isdigit()
        and "close" not in response.headers.get("Connection", "").lower()
        and opened.connection.sock is not None
        and not _has_input(opened)
    )


def _has_bytes(opened: http_calls.OpenResponse) -> bool:
    """Returns whether bytes have arrived, and not just the end."""
    with contextlib.suppress(OSError, ValueError):
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return bool(opened.sock.recv(1, flags))
    return False


def _has_input(opened: http_calls.OpenResponse) -> bool:
    """Returns whether bytes or the end of the connection have arrived."""
    with contextlib.suppress(OSError, ValueError):
        poll = select.poll()
        poll.register(opened.sock, select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))
    return True
