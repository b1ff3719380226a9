"""Stand-in for the platform's store: objects, revisions, watches.

It implements the part of the store's API that the product calls.
"""

import argparse
from typing import Any
from urllib import parse

from . import server

PAGE = 50  # objects in one response
WATCH_POLL_S = 0.02
OBJECTS_PATH = "/api/objects/"


class Store(server.StandIn):
    """Objects by kind and name, with one revision counter for all.

    Its fault switches are ``lose_answers``, the number of writes that are
    processed but get no response; ``busy``, which makes all calls get a 429;
    and ``forget``, which makes the next watch get a 410, as if the history
    before it were lost. ``era`` is stated in all responses; a copy of the
    objects that :meth:`save` took is put back by :meth:`restore`.
    """

    faults = {"lose_answers": 0, "busy": False, "forget": False}

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.calls = 0
        self.era = 1
        self._saved: tuple[int, dict[tuple[str, str], dict[str, Any]]] = (
            1,
            {},
        )

    def save(self) -> None:
        """Takes the copy from which the next restore starts."""
        with self.lock:
            self._saved = (self.revision, dict(self.objects))

    def restore(self) -> None:
        """Puts the copy back; what was written since is lost."""
        with self.lock:
            self.era += 1
            self.revision, objects = self._saved
            self.objects = dict(objects)
            self.history = [
                each for each in self.history if each[0] <= self.revision
            ]

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Writes an object on behalf of another client."""
        with self.lock:
            self._write(kind, name, specification)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object on behalf of another client."""
        with self.lock:
            self._remove(kind, name)

    def respond(self, request: server.Request) -> server.Response:
        """Returns the response to a call, with the era of the store."""
        response = self._respond(request)
        if response.drop:
            return response
        era = (("Store-Era", str(self.era)),)
        return response._replace(headers=response.headers + era)

    def _respond(self, request: server.Request) -> server.Response:
        with self.lock:
            self.calls += 1
        if self.faults["busy"]:
            return server.Response(
                429, {"error": "busy"}, (("Retry-After", "0.2"),)
            )
        if not request.path.startswith(OBJECTS_PATH):
            return server.Response(404, {"error": "no such path"})
        kind, _, name = request.path[len(OBJECTS_PATH) :].partition("/")
        name = parse.unquote(name)
        if request.method == "GET" and not name:
            if "watch" in request.query:
                return self._watch(kind, request.query)
            return self._list(kind, request.query.get("after", ""))
        with self.lock:
            response = self._change(request, kind, name)
        if request.method != "GET" and self.consume_fault("lose_answers"):
            return server.DROP
        return response

    def journal(self) -> dict[str, Any]:
        """Returns the number of calls and the stored objects."""
        with self.lock:
            found = {
                f"{kind}/{name}": each
                for (kind, name), each in self.objects.items()
            }
            return {"calls": self.calls, "objects": found}

    def _list(self, kind: str, after: str) -> server.Response:
        with self.lock:
            names = sorted(
                name
                for each, name in self.objects
                if each == kind and name > after
            )
            body = {
                "items": [self.objects[kind, name] for name in names[:PAGE]],
                "has_more": len(names) > PAGE,
                "as_of": self.revision,
            }
        return server.Response(200, body)

    def _watch(self, kind: str, query: dict[str, str]) -> server.Response:
        since = int(query["watch"])
        if since > self.revision:
            return server.Response(410, {"error": "no such revision"})
        if self.consume_fault("forget"):
            return server.Response(410, {"error": "history gone"})
        remaining_polls = int(query.get("wait_ms", "0")) / 1000 / WATCH_POLL_S
        found: list[dict[str, Any]] = []
        while True:
            with self.lock:
                found = [
                    {"deleted": deleted, "object": each}
                    for at, other, deleted, each in self.history
                    if other == kind and at > since
                ]
                at = self.revision
            if (
                found
                or remaining_polls <= 0
                or self.closing.wait(WATCH_POLL_S)
            ):
                return server.Response(200, {"events": found, "as_of": at})
            remaining_polls -= 1

    def _change(
        self, request: server.Request, kind: str, name: str
    ) -> server.Response:
        body = request.json() if request.body else {}
        if request.method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return server.Response(409, self.objects[kind, name])
            return server.Response(
                200, self._write(kind, name, body["specification"])
            )
        current = self.objects.get((kind, name))
        if current is None:
            return server.Response(404, {"error": "no such object"})
        if request.method == "GET":
            return server.Response(200, current)
        expected = request.query.get("revision")
        if request.method == "PUT":
            expected = body["metadata"].get("revision")
        if expected and int(expected) != current["metadata"]["revision"]:
            return server.Response(409, current)
        if request.method == "DELETE":
            self._remove(kind, name)
            return server.Response(200, current)
        return server.Response(
            200, self._write(kind, name, body["specification"])
        )

    def _write(
        self, kind: str, name: str, specification: Any
    ) -> dict[str, Any]:
        self.revision += 1
        previous = self.objects.get((kind, name))
        created = (
            previous["metadata"]["created"] if previous else self.revision
        )
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": None,
        }
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, False, stored))
        return stored

    def _remove(self, kind: str, name: str) -> None:
        self.revision += 1
        removed = self.objects.pop((kind, name))
        self.history.append((self.revision, kind, True, removed))


def main() -> None:
    """Runs the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    server.main(lambda options: Store(), parser)


if __name__ == "__main__":
    main()
