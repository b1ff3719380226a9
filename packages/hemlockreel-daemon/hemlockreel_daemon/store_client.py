"""Client of the platform's object API.

Nothing is retried here: whether a write may be repeated is a decision of the
core. A call whose effect is not known has the status 0.
"""

import json
import threading
import time
from typing import Any

import urllib3

from hemlockreel import actions
from hemlockreel import events

MAX_BODY_BYTES = 64 * 1048576
READ_BYTES = 65536
POOL_SIZE = 8
NO_ANSWER = 0  # the status of a call whose effect is not known
WATCH_PATH = "/v1/watch"
JSON_TYPE = {"Content-Type": "application/json"}


class StoreClient:
    """Calls the object API at ``address`` (``IP:PORT``).

    One client may be used by many threads. After any call without an answer
    all kept connections are given up, since each may be silent for good.
    """

    def __init__(self, address: str):
        self._address = address
        self._lock = threading.Lock()
        self._pool = self._open(POOL_SIZE)

    def call(self, action: actions.CallStore) -> events.StoreAnswered:
        """Returns the store's answer; blocks for ``timeout_s`` at most.

        A watch gets a connection of its own.
        """
        if action.path.startswith(WATCH_PATH):
            pool = self._open(1)
            try:
                return _call(pool, action)
            finally:
                pool.close()
        with self._lock:
            pool = self._pool
        answered = _call(pool, action)
        if answered.status == NO_ANSWER:
            self._renew(pool)
        return answered

    def watch(
        self, kinds: tuple[str, ...], after: int, hold_s: float, grace_s: float
    ) -> events.StoreAnswered:
        """Waits for changes of ``kinds`` after the revision ``after``.

        The store is asked to answer within ``hold_s`` seconds; without an
        answer ``grace_s`` seconds later the status is 0.
        """
        names = ",".join(kinds)
        path = f"{WATCH_PATH}?kinds={names}&after={after}&timeout={hold_s:.0f}"
        action = actions.CallStore(
            "watch", "GET", path, timeout_s=hold_s + grace_s
        )
        return self.call(action)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _open(self, size: int) -> urllib3.HTTPConnectionPool:
        host, _, port = self._address.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=size, retries=False
        )

    def _renew(self, used: urllib3.HTTPConnectionPool) -> None:
        """Replaces the pool ``used`` unless that was done already."""
        with self._lock:
            if self._pool is not used:
                return
            self._pool = self._open(POOL_SIZE)
        used.close()


def _call(
    pool: urllib3.HTTPConnectionPool, action: actions.CallStore
) -> events.StoreAnswered:
    deadline = time.monotonic() + action.timeout_s
    nothing = events.StoreAnswered(action.call_id, NO_ANSWER, {})
    try:
        response = pool.urlopen(
            action.method,
            action.path,
            body=_encode(action.value),
            headers=_headers(action),
            timeout=urllib3.Timeout(total=action.timeout_s),
            retries=False,
            preload_content=False,
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return nothing
    body = _read(response, deadline)
    if body is None:
        response.close()
        return nothing
    response.release_conn()
    retry_after_s = _seconds(response.headers.get("Retry-After", ""))
    return events.StoreAnswered(
        action.call_id, response.status, body, retry_after_s
    )


def _encode(value: Any) -> bytes | None:
    return None if value is None else json.dumps(value).encode()


def _headers(action: actions.CallStore) -> dict[str, str]:
    headers = dict(JSON_TYPE) if action.value is not None else {}
    if action.expected == 0:
        headers["If-None-Match"] = "*"
    elif action.expected is not None:
        headers["If-Match"] = str(action.expected)
    return headers


def _read(
    response: urllib3.BaseHTTPResponse, deadline: float
) -> dict[str, Any] | None:
    """Returns the body, ``None`` if it is no whole object of JSON in time."""
    data = bytearray()
    try:
        while piece := response.read1(READ_BYTES):
            data += piece
            late = time.monotonic() > deadline
            if late or len(data) > MAX_BODY_BYTES:
                return None
        body = json.loads(bytes(data))
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return None
    return body if isinstance(body, dict) else None


def _seconds(text: str) -> float:
    """Returns the seconds of a ``Retry-After`` header, 0 without one."""
    return float(text) if text.isdecimal() else 0.0
