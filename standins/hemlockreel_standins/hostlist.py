"""Stand-in of the platform's list of hosts."""

import argparse
import json
import pathlib
import time
from typing import Any

from . import server


class HostList(server.StandIn):
    """A list that is replaced as a whole, and may lag or be frozen."""

    faults = {"lag_s": 0.0, "stale": False}

    def __init__(self, hosts: list[dict[str, Any]] | None = None):
        super().__init__()
        # Each entry is the time of a change and the list from then on.
        self.changes: list[tuple[float, list[dict[str, Any]]]] = [
            (float("-inf"), hosts or [])
        ]
        self.frozen: list[dict[str, Any]] | None = None
        self.reads = 0

    def respond(self, request: server.Request) -> server.Response:
        """Answers a read of the list or replaces it."""
        if request.path != "/v1/hosts":
            return server.Response(404, {"error": "no such path"})
        with self.lock:
            if request.method == "PUT":
                self._replace(request.json()["hosts"])
                return server.Response(200, {})
            if request.method != "GET":
                return server.Response(405, {"error": "no such method"})
            self.reads += 1
            return server.Response(200, {"hosts": self._visible()})

    def journal(self) -> dict[str, Any]:
        """Returns the number of reads and the current list."""
        return {"reads": self.reads, "hosts": self.changes[-1][1]}

    def _replace(self, hosts: list[dict[str, Any]]) -> None:
        if self.faults["stale"] and self.frozen is None:
            self.frozen = self._visible()
        self.changes.append((time.monotonic(), hosts))

    def _visible(self) -> list[dict[str, Any]]:
        if not self.faults["stale"]:
            self.frozen = None
        elif self.frozen is not None:
            return self.frozen
        latest = time.monotonic() - self.faults["lag_s"]
        seen = [hosts for changed, hosts in self.changes if changed <= latest]
        if self.faults["stale"]:
            self.frozen = seen[-1]
        return seen[-1]


def main() -> None:
    """Runs the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--file", type=pathlib.Path, help="initial list")
    server.main(_make, parser)


def _make(options: argparse.Namespace) -> HostList:
    if options.file is None:
        return HostList()
    return HostList(json.loads(options.file.read_text())["hosts"])


if __name__ == "__main__":
    main()
