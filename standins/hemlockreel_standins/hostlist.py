"""Stand-in for the platform's host list."""

import argparse
import json
import pathlib
import time
from typing import Any

from . import server


class HostList(server.StandIn):
    """Serves a host list that is only replaced as a whole.

    Two fault switches make reads outdated: ``lag_s`` delays each change by so
    many seconds, ``stale`` keeps returning the list that was visible before.
    """

    faults = {"lag_s": 0.0, "stale": False}

    def __init__(self, hosts: list[dict[str, Any]] | None = None):
        super().__init__()
        # The list that applies from each time on, in seconds (monotonic).
        self.changes: list[tuple[float, list[dict[str, Any]]]] = [
            (float("-inf"), hosts or [])
        ]
        self.frozen_hosts: list[dict[str, Any]] | None = None
        self.reads = 0

    def respond(self, request: server.Request) -> server.Response:
        """Returns the visible list, or replaces the list on a PUT."""
        if request.path != "/v1/hosts":
            return server.Response(404, {"error": "no such path"})
        with self.lock:
            if request.method == "PUT":
                self._replace(request.json()["hosts"])
                return server.Response(200, {})
            if request.method != "GET":
                return server.Response(405, {"error": "no such method"})
            self.reads += 1
            return server.Response(200, {"hosts": self._visible_hosts()})

    def journal(self) -> dict[str, Any]:
        """Returns the number of reads and the current list."""
        return {"reads": self.reads, "hosts": self.changes[-1][1]}

    def _replace(self, hosts: list[dict[str, Any]]) -> None:
        if self.faults["stale"] and self.frozen_hosts is None:
            self.frozen_hosts = self._visible_hosts()
        self.changes.append((time.monotonic(), hosts))

    def _visible_hosts(self) -> list[dict[str, Any]]:
        if not self.faults["stale"]:
            self.frozen_hosts = None
        elif self.frozen_hosts is not None:
            return self.frozen_hosts
        visible_until = time.monotonic() - self.faults["lag_s"]
        visible = [
            hosts
            for changed, hosts in self.changes
            if changed <= visible_until
        ]
        if self.faults["stale"]:
            self.frozen_hosts = visible[-1]
        return visible[-1]


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
