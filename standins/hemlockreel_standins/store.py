"""Stand-in for the platform's object API: objects, revisions, watches.

Every write is appended to one log. A watch returns the part of the log after a
revision; a stale read replays the log up to an earlier revision.
"""

import argparse
import json
import threading
import time
from typing import Any
from typing import NamedTuple

from . import server

PREFIX = "/v1/objects"
MAX_VALUE_BYTES = 1048576
MAX_WATCH_S = 300.0
KEPT_REVISIONS = 10000  # a watch from an earlier revision gets a 410
WATCH_POLL_S = 0.05
RETRY_AFTER_S = 1


class Change(NamedTuple):
    """A write in the log; ``type`` is ``put`` or ``delete``."""

    revision: int
    type: str
    item: dict[str, Any]


class Store(server.StandIn):
    """A versioned object store with conditional writes and watches.

    Its fault switches are ``lose_answers``, the number of successful writes
    that get no response; ``freeze_watches``, which holds watches back;
    ``stale_reads``, the number of revisions by which reads lag; and
    ``rate_limit``, the calls per second above which calls get a 429 (0 is
    off).
    """

    faults = {
        "lose_answers": 0,
        "freeze_watches": False,
        "stale_reads": 0,
        "rate_limit": 0,
    }

    def __init__(self):
        super().__init__()
        self.log: list[Change] = []
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.changed = threading.Condition(self.lock)
        self.calls = {"GET": 0, "PUT": 0, "DELETE": 0, "watch": 0}
        self.rate_limit_second = 0
        self.calls_in_second = 0

    @property
    def revision(self) -> int:
        """The revision of the last write, 0 before the first."""
        return self.log[-1].revision if self.log else 0

    def respond(self, request: server.Request) -> server.Response:
        """Returns the response to a call of the object API."""
        if self._is_rate_limited():
            header = (("Retry-After", str(RETRY_AFTER_S)),)
            return server.Response(429, {"error": "rate limit"}, header)
        if request.path == "/v1/watch":
            self._count("watch")
            return self._watch(request)
        self._count(request.method)
        parts = request.path.removeprefix(PREFIX).strip("/").split("/")
        if not request.path.startswith(PREFIX) or len(parts) > 2:
            return server.Response(404, {"error": "no such path"})
        if request.method == "GET":
            return self._read(request, [part for part in parts if part])
        if len(parts) != 2 or not all(parts):
            return server.Response(404, {"error": "no such path"})
        return self._write(request, (parts[0], parts[1]))

    def journal(self) -> dict[str, Any]:
        """Returns the writes in their order and the calls per method."""
        with self.lock:
            writes = [
                {
                    "revision": change.revision,
                    "type": change.type,
                    "object": change.item,
                }
                for change in self.log
            ]
            return {"writes": writes, "calls": dict(self.calls)}

    def _count(self, name: str) -> None:
        with self.lock:
            self.calls[name] = self.calls.get(name, 0) + 1

    def _is_rate_limited(self) -> bool:
        limit = self.faults["rate_limit"]
        with self.lock:
            second = int(time.monotonic())
            if second != self.rate_limit_second:
                self.rate_limit_second = second
                self.calls_in_second = 0
            self.calls_in_second += 1
            return bool(limit) and self.calls_in_second > limit

    # Reads

    def _objects_at(
        self, revision: int
    ) -> dict[tuple[str, str], dict[str, Any]]:
        """Returns the objects as they were at ``revision``."""
        if revision == self.revision:
            return self.objects
        found: dict[tuple[str, str], dict[str, Any]] = {}
        for change in self.log:
            if change.revision > revision:
                break
            key = (change.item["kind"], change.item["name"])
            if change.type == "put":
                found[key] = change.item
            else:
                found.pop(key, None)
        return found

    def _read(
        self, request: server.Request, parts: list[str]
    ) -> server.Response:
        with self.lock:
            revision = max(0, self.revision - self.faults["stale_reads"])
            objects = self._objects_at(revision)
            if len(parts) == 2:
                item = objects.get((parts[0], parts[1]))
                if item is None:
                    body = {"error": "no such object", "revision": revision}
                    return server.Response(404, body)
                return server.Response(
                    200, {"revision": revision, "object": item}
                )
            kinds = parts or request.query.get("kinds", "").split(",")
            items = [item for key, item in objects.items() if key[0] in kinds]
            return server.Response(200, {"revision": revision, "items": items})

    # Writes

    def _write(
        self, request: server.Request, key: tuple[str, str]
    ) -> server.Response:
        if len(request.body) > MAX_VALUE_BYTES:
            return server.Response(413, {"error": "value too large"})
        try:
            value = request.json()
        except json.JSONDecodeError:
            return server.Response(
                400, {"error": "the body is not valid JSON"}
            )
        with self.lock:
            current = self.objects.get(key)
            if not _preconditions_hold(request, current):
                body = {"revision": self.revision, "object": current}
                return server.Response(412, body)
            if request.method == "DELETE":
                response = self._delete(key, current)
            else:
                response = self._put(key, value, current)
            self.changed.notify_all()
        if response.status < 300 and self.consume_fault("lose_answers"):
            return server.DROP
        return response

    def _put(
        self, key: tuple[str, str], value: Any, current: dict | None
    ) -> server.Response:
        revision = self.revision + 1
        item = {
            "kind": key[0],
            "name": key[1],
            "version": revision,
            "value": value,
        }
        self.objects[key] = item
        self.log.append(Change(revision, "put", item))
        status = 201 if current is None else 200
        return server.Response(status, {"revision": revision, "object": item})

    def _delete(
        self, key: tuple[str, str], current: dict | None
    ) -> server.Response:
        if current is None:
            body = {"error": "no such object", "revision": self.revision}
            return server.Response(404, body)
        revision = self.revision + 1
        del self.objects[key]
        self.log.append(
            Change(revision, "delete", {**current, "version": revision})
        )
        return server.Response(200, {"revision": revision})

    # Watches

    def _watch(self, request: server.Request) -> server.Response:
        after = int(request.query.get("after", 0))
        timeout = float(request.query.get("timeout", MAX_WATCH_S))
        kinds = request.query.get("kinds", "").split(",")
        end = time.monotonic() + min(timeout, MAX_WATCH_S)
        while True:
            self.wait(lambda: not self.faults["freeze_watches"])
            if self.faults["outage"]:
                return server.Response(503, {"error": "outage"})
            with self.changed:
                if after < self.revision - KEPT_REVISIONS:
                    body = {"error": "too old", "revision": self.revision}
                    return server.Response(410, body)
                events = self._events(kinds, after)
                timed_out = time.monotonic() >= end or self.closing.is_set()
                if (events or timed_out) and not self.faults["freeze_watches"]:
                    body = {"revision": self.revision, "events": events}
                    return server.Response(200, body)
                self.changed.wait(WATCH_POLL_S)

    def _events(self, kinds: list[str], after: int) -> list[dict[str, Any]]:
        # Revision N is at index N - 1 of the log.
        return [
            {"type": change.type, "object": change.item}
            for change in self.log[max(0, after) :]
            if change.item["kind"] in kinds
        ]


def _preconditions_hold(request: server.Request, current: dict | None) -> bool:
    """Returns whether the conditional headers of a write are met."""
    if request.headers.get("If-None-Match") == "*":
        return current is None
    version = request.headers.get("If-Match")
    if version is None:
        return True
    return current is not None and str(current["version"]) == version


def main() -> None:
    """Runs the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    server.main(lambda options: Store(), parser)


if __name__ == "__main__":
    main()
