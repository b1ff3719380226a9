"""A small deployment on the platform: store, replicas and real daemons.

Run as a program, it starts a deployment, sends a request of each kind and
prints the responses, as a quick introduction to the system.
"""

import argparse
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

from . import platform_replica
from . import platform_store
from . import processes
from . import server

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "kayak.example"
ZONE = "highlands-a"
REGION = "highlands"
READY_S = 15.0
ENGINE = {
    "slots": 16,
    "kv_capacity_tokens": 100_000,
    "stride": 1,
    "handle_ttl_s": 0.5,
    "switch_s": 6.0,
    "hold_ms": 2000.0,
}


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with a route of each kind.

    ``changes`` replace top-level values.
    """
    common = {"host": HOST, "timeout_ms": 4000, "target_latency_ms": 900}
    routes = [
        {"name": "drafts", "path_prefix": "/drafts/", "kind": "streaming",
         "service": "drafter", "max_attempts": 2, "sticky_sessions": True,
         "resumable": True, "gap_target_ms": 300},
        {"name": "deposits", "path_prefix": "/deposits/",
         "kind": "non_idempotent", "service": "bookings"},
        {"name": "lookups", "path_prefix": "/lookups/", "kind": "idempotent",
         "service": "bookings", "max_attempts": 2},
    ]  # fmt: skip
    found = {
        "version": version,
        "routes": [{**common, **route} for route in routes],
        "services": [
            {"name": "drafter", "max_connections": 320, "engine": ENGINE},
            {"name": "bookings", "max_connections": 192},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "idle_timeout_ms": 15000},
    }  # fmt: skip
    return {**found, **changes}


class Daemon:
    """A daemon process and its addresses."""

    def __init__(
        self,
        folder: pathlib.Path,
        store: str,
        number: int,
        seeds: tuple[str, ...] = (),
        more: tuple[str, ...] = (),
    ):
        ports = [processes.free_port() for _ in range(4)]
        names = ("frontend", "ready", "control_plane", "directory")
        self.listen = {
            name: f"127.0.0.1:{port}"
            for name, port in zip(names, ports, strict=True)
        }
        operators, paths = processes.free_port(), processes.free_port()
        self.operators = f"127.0.0.1:{operators}"
        self.paths = f"127.0.0.1:{paths}"
        self.settings = folder / f"settings-{number}.conf"
        self.log = folder / f"daemon-{number}.log"
        lines = [
            "ip=127.0.0.1",
            f"zone={ZONE}",
            f"region={REGION}",
            f"platform.address={store}",
            f"seed_nodes={','.join(seeds)}",
            "bounds.grace_s=4",
            "bounds.retry_budget_slack=100",
            f"operators_port={operators}",
            f"paths_port={paths}",
            *more,
            *(f"listen.{name}={each}" for name, each in self.listen.items()),
        ]
        self.settings.write_text("\n".join(lines) + "\n")
        self.start()

    def start(self) -> None:
        """Starts the process, also again after an earlier one has exited."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "start.py")],
                env={
                    **os.environ,
                    "HEMLOCKREEL_NODE_FILE": str(self.settings),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def await_ready(self) -> None:
        """Waits until the daemon reports that it is ready."""
        processes.await_that(self.is_ready, READY_S, "the daemon is ready")

    def is_ready(self) -> bool:
        """Returns whether the daemon reports that it is ready."""
        with contextlib.suppress(OSError):
            return (
                processes.get_status(self.listen["ready"], "/api/ready") == 200
            )
        return False

    def lines(self, message: str) -> list[dict[str, Any]]:
        """Returns the log records whose message is ``message``."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [each for each in found if each.get("message") == message]


class Site:
    """A store, replicas and daemons, as a context manager that stops them.

    ``more`` are further lines of the daemons' settings files.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        daemons: int = 1,
        more: tuple[str, ...] = (),
    ):
        self.store = platform_store.Store()
        self.store_address = server.start(self.store)
        self.prefill = platform_replica.Replica("prefill")
        self.decode = platform_replica.Replica("decode")
        self.decode.mode = "stream"
        self.other = platform_replica.Replica("decode")
        self.other.mode = "stream"
        self.plain = platform_replica.Replica()
        self.store.put("config", "main", configuration())
        self.register("i-prefill", self.prefill, "drafter")
        self.register("i-decode", self.decode, "drafter")
        self.register("i-plain", self.plain, "bookings")
        self.daemons = [
            Daemon(folder, self.store_address, number, more=more)
            for number in range(daemons)
        ]

    def __enter__(self):
        try:
            for daemon in self.daemons:
                daemon.await_ready()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *details):
        self.close()

    def register(
        self, name: str, replica: platform_replica.Replica, service: str
    ) -> None:
        """Writes the record of a replica into the store."""
        self.store.put("servers", name, replica.entry(service, ZONE))

    def close(self) -> None:
        """Kills the daemons and closes the store."""
        for daemon in self.daemons:
            daemon.process.kill()
            daemon.process.wait()
        self.store.closing.set()


REQUESTS = (
    ("GET", "/lookups/1", {}),
    ("POST", "/deposits/1", {}),
    ("POST", "/drafts/1", {"Hemlockreel-Model": "m",
                           "Hemlockreel-Token-Counts": "1460,80"}),
)  # fmt: skip


def send(
    address: str, method: str, path: str, headers: dict[str, str]
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request as a caller; returns status, headers and body."""
    link = processes.connect(address)
    try:
        link.request(
            method,
            path,
            headers={
                "Host": HOST,
                "Hemlockreel-Request-Id": "9c41d07be2a35f68",
                "Hemlockreel-Deadline-Ms": "4004",
                **headers,
            },
        )
        response = link.getresponse()
        return response.status, dict(response.headers), response.read()
    finally:
        link.close()


def main() -> None:
    """Starts a site, sends a request of each kind, prints the responses."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hold", type=float, default=0.0, metavar="SECONDS")
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        Site(pathlib.Path(folder)) as site,
    ):
        address = site.daemons[0].listen["frontend"]
        print(f"callers: {address}")
        for method, path, headers in REQUESTS:
            status, _, body = send(address, method, path, headers)
            print(f"{method} {path}: {status} {body[:60]!r}")
            if status != 200:
                sys.exit("platform: failed")
        time.sleep(options.hold)
    print("platform: ok")


if __name__ == "__main__":
    main()
