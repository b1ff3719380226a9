"""Starts and stops the processes of a deployment, for tests and the demo."""

from collections.abc import Iterable
from http import client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import urllib3

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05

HTTP_FAILURES = (urllib3.exceptions.HTTPError, OSError, ValueError)
HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


class Process:
    """A child process and, once it is ready, its address."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        log: pathlib.Path,
        prints_address: bool = True,
    ):
        self.name = name
        self.log = log
        self.address = ""
        with open(log, "ab") as errors:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=subprocess.PIPE if prints_address else errors,
                stderr=errors,
                text=True,
            )
        self.pid = self._popen.pid

    def read_address(self) -> None:
        """Waits until a stand-in prints its address.

        Raises ``RuntimeError`` with its log when it prints something else.
        """
        line = self._popen.stdout.readline()
        if not line.startswith("ready "):
            text = self.log.read_text()
            raise RuntimeError(f"{self.name} did not start: {text}")
        self.address = line.split()[1]

    def signal(self, number: int) -> None:
        """Sends a signal if the process is still running."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process at once, also when it is paused."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the process to exit and returns its exit code."""
        return self._popen.wait(timeout_s)

    @property
    def running(self) -> bool:
        """Whether the process has not exited yet."""
        return self._popen.poll() is None


class Deployment:
    """The stand-ins and daemons of one deployment, as processes.

    ``daemon_module`` is the Python module that is run as a daemon.
    """

    daemon_module = "hemlockreel_daemon"

    def __init__(self, region: str):
        self.region = region
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.processes: list[Process] = []
        self.hosts: list[dict[str, str]] = []
        self.daemons: list[DaemonProcess] = []
        self.store = self._stand_in("store", [])
        self.host_list = self._stand_in("hostlist", [])

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.close()

    def close(self) -> None:
        """Kills the remaining processes and removes the folder."""
        for process in self.processes:
            process.kill()
        self._folder.cleanup()

    def logged(self, texts: Iterable[str]) -> list[str]:
        """Returns the lines of all logs with one of ``texts``."""
        wanted = list(texts)
        return [
            f"{process.name}: {line}"
            for process in self.processes
            for line in process.log.read_text().splitlines()
            if any(text in line for text in wanted if text)
        ]

    def add_replica(
        self,
        service: str,
        zone: str,
        role: str,
        arguments: tuple[str, ...] = (),
    ) -> Process:
        """Starts a backend server and puts it on the host list."""
        module = "service" if role == "plain" else "engine"
        extra = list(arguments)
        if role != "plain":
            extra += ["--role", role]
        process = self._stand_in(module, extra)
        self.hosts.append(
            {
                "address": process.address,
                "service": service,
                "zone": zone,
                "region": self.region,
                "state": "live",
                "role": role,
            }
        )
        self.write_hosts()
        return process

    def write_hosts(self) -> None:
        """Uploads the host list to its stand-in."""
        put(self.host_list.address, "/v1/hosts", {"hosts": self.hosts})

    def add_daemon(self, zone: str, **settings: Any) -> "DaemonProcess":
        """Starts an entry host with ``settings`` in addition to the defaults.

        The first three entry hosts are the seeds of all later ones.
        """
        seeds = [daemon.peers for daemon in self.daemons[:3]]
        listen = {
            name: f"127.0.0.1:{free_port()}"
            for name in ("callers", "operators", "peers")
        }
        value = {
            "zone": zone,
            "region": self.region,
            "listen": listen,
            "store": self.store.address,
            "host_list": self.host_list.address,
            "seeds": seeds,
            **settings,
        }
        name = f"daemon-{len(self.daemons)}"
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(value))
        daemon = DaemonProcess(
            name, path, value, self.folder, self.daemon_module
        )
        self.processes.append(daemon)
        self.daemons.append(daemon)
        self.hosts.append(
            {
                "address": listen["peers"],
                "service": "hemlockreel",
                "zone": zone,
                "region": self.region,
                "state": "live",
                "role": "entry",
            }
        )
        self.write_hosts()
        return daemon

    def apply(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Writes a declared object into the store."""
        put(self.store.address, f"/v1/objects/{kind}/{name}", value)

    def _stand_in(self, module: str, arguments: list[str]) -> Process:
        name = f"{module}-{len(self.processes)}"
        process = Process(
            name,
            [f"hemlockreel_standins.{module}", *arguments],
            self.folder / f"{name}.log",
        )
        self.processes.append(process)
        process.read_address()
        return process


class DaemonProcess(Process):
    """A running `hemlockreeld`."""

    def __init__(
        self,
        name: str,
        path: pathlib.Path,
        value: dict[str, Any],
        folder: pathlib.Path,
        module: str = "hemlockreel_daemon",
    ):
        self.settings = value
        self.callers = value["listen"]["callers"]
        self.operators = value["listen"]["operators"]
        self.peers = value["listen"]["peers"]
        super().__init__(
            name,
            [module, "--config", str(path)],
            folder / f"{name}.log",
            prints_address=False,
        )

    def await_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until the daemon is ready for callers.

        Raises ``RuntimeError`` with the daemon's log when it has exited, and
        ``TimeoutError`` with its log and status when it is not ready in time.
        """
        try:
            await_that(
                lambda: (
                    not self.running
                    or get_status(self.operators, "/readyz") == 200
                ),
                timeout_s,
                f"{self.name} is not ready",
            )
        except TimeoutError as error:
            seen = f"{self.log.read_text()}\n{self._describe()}"
            raise TimeoutError(f"{error}:\n{seen}") from None
        if not self.running:
            text = self.log.read_text()
            raise RuntimeError(f"{self.name} has ended:\n{text}")

    def _describe(self) -> str:
        """Returns the daemon's status as text, or why it is unavailable."""
        try:
            return json.dumps(self.status())
        except (*HTTP_FAILURES, RuntimeError) as error:
            return f"no status: {error!r}"

    def status(self) -> dict[str, Any]:
        """Returns the daemon's status."""
        return get(self.operators, "/status")


def await_that(test, timeout_s: float, message: str) -> None:
    """Waits until ``test()`` is true.

    Raises ``TimeoutError`` with ``message`` after ``timeout_s``.
    """
    end = time.monotonic() + timeout_s
    while not test():
        if time.monotonic() > end:
            raise TimeoutError(message)
        time.sleep(POLL_S)


# Ports for daemons lie below the range of ephemeral ports, so that no outgoing
# connection takes one before its daemon binds it.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORTS_IN_BLOCK = 500


class PortBlock:
    """A block of consecutive ports that is reserved for this process.

    Its first port stays bound, so that no other process that allocates ports
    takes the same block.
    """

    def __init__(self):
        self._marks: list[socket.socket] = []
        self._next = 0
        self._end = 0

    def take(self) -> int:
        """Returns the next port, from a new block when this one is used up."""
        if self._next == self._end:
            self._open()
        self._next += 1
        return self._next - 1

    def _open(self) -> None:
        firsts = range(FIRST_PORT, LAST_PORT, PORTS_IN_BLOCK)
        start = os.getpid() % len(firsts)
        for first in [*firsts[start:], *firsts[:start]]:
            mark = socket.socket()
            try:
                mark.bind(("127.0.0.1", first))
            except OSError:
                mark.close()
                continue
            self._marks.append(mark)
            self._next = first + 1
            self._end = first + PORTS_IN_BLOCK
            return
        raise RuntimeError("all port blocks are in use by other processes")


_block = PortBlock()


def free_port() -> int:
    """Returns a port that no process listens on now.

    A port is returned only once, and to only one process, since the daemon
    binds it some time after this call.
    """
    while True:
        port = _block.take()
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def get(address: str, path: str) -> Any:
    """Returns the JSON body of the response to a GET request."""
    return HTTP.request("GET", f"http://{address}{path}").json()


def connect(address: str, timeout_s: float = 10.0) -> client.HTTPConnection:
    """Returns a connection to ``address`` that is not pooled."""
    return client.HTTPConnection(address, timeout=timeout_s)


def get_status(address: str, path: str) -> int:
    """Returns the status of a GET request, 0 when there is no response."""
    try:
        return HTTP.request("GET", f"http://{address}{path}").status
    except HTTP_FAILURES:
        return 0


def put(address: str, path: str, value: Any) -> Any:
    """Returns the JSON body of the response to a PUT request."""
    response = HTTP.request(
        "PUT",
        f"http://{address}{path}",
        body=json.dumps(value).encode(),
        headers={"Content-Type": "application/json"},
    )
    return response.json()


def stop_all(running: list[Process], timeout_s: float) -> list[int]:
    """Sends SIGTERM to all processes, then returns their exit codes.

    Raises ``subprocess.TimeoutExpired`` when one does not exit in time.
    """
    for process in running:
        process.signal(signal.SIGTERM)
    return [process.wait(timeout_s) for process in running]
