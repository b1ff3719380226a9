"""The site of a soak: links, replicas, daemons, and what is done to them."""

import itertools
import pathlib
import signal
import subprocess
import threading
import time

from .. import platform_site
from .. import platform_store
from .. import server
from . import backends
from . import link
from . import promises
from . import records

GRACE_S = 4.0  # as the settings of the daemons say
RESTART_S = 0.5  # the platform starts a process again so late
REPLICA_DRAIN_S = (
    4.0  # a draining replica serves so long, its drain_ms and more
)
SWEEP_S = 0.1
LINK_DELAY_S = 0.3
MAX_LOST_ANSWERS = 20  # at the most, until the fault ends
# The route that moves is served by one of these services.
SERVICES = ("bookings", "kiosk")
REPLICAS = (
    ("drafter", "prefill"),
    ("drafter", "decode"),
    ("drafter", "decode"),
    ("bookings", None),
    ("bookings", None),
    ("kiosk", None),
)


class ReplicaSlot:
    """A place for runs of a replica, one after the other."""

    def __init__(self, service: str, stage: str | None):
        self.service = service
        self.stage = stage
        self.backend: backends.RecordingReplica | None = None
        self.link: link.Link | None = None


class Host:
    """One daemon, the link to its store, and its name in the records."""

    def __init__(self, daemon: platform_site.Daemon, store_link: link.Link):
        self.daemon = daemon
        self.store = store_link
        self.lock = threading.Lock()

    @property
    def name(self) -> str:
        """The address that callers connect to."""
        return self.daemon.listen["frontend"]


class Site(platform_site.Site):
    """All parts of one soak, which end with the block."""

    def __init__(self, folder: pathlib.Path, hosts: int, log: records.Log):
        self.log = log
        self.closing = threading.Event()
        self._numbers = itertools.count(1)
        self._version = itertools.count(1)
        self._served_by = SERVICES[0]
        self._moved_at = 0.0
        self._move = threading.Lock()
        self.store = platform_store.Store()
        self._store_address = server.start(self.store)
        self.prefill_results = backends.PrefillResults(log)
        self.replicas = [ReplicaSlot(*each) for each in REPLICAS]
        for replica in self.replicas:
            self._start_replica(replica)
        self._write_routes()
        self.hosts: list[Host] = []
        for number in range(hosts):
            store_link = link.Link(self._store_address)
            seeds = tuple(
                host.daemon.listen["control_plane"] for host in self.hosts[:3]
            )
            daemon = platform_site.Daemon(
                folder, store_link.address, number, seeds
            )
            self.hosts.append(Host(daemon, store_link))
        self.daemons = [host.daemon for host in self.hosts]
        threading.Thread(target=self._sweep, daemon=True).start()

    def close(self) -> None:
        """Ends the daemons and links that this one started."""
        self.closing.set()
        super().close()
        for host in self.hosts:
            host.store.close()
        for replica in self.replicas:
            replica.link.close()
            replica.backend.close()

    # The route that moves

    def _write_routes(self) -> None:
        """Writes the next version; the route goes to ``_served_by``."""
        found = platform_site.configuration(version=next(self._version))
        for route in found["routes"]:
            if route["name"] == "lookups":
                route["service"] = self._served_by
        found["services"].append({"name": "kiosk", "max_connections": 192})
        self._moved_at = time.monotonic()
        self.store.put("config", "main", found)

    def move_route(self) -> None:
        """Lets the other service serve the route from now on."""
        with self._move:
            before, began_at = self._served_by, self._moved_at
            self._served_by = SERVICES[1 - SERVICES.index(before)]
            self._write_routes()
            span = ("version", before, began_at, time.monotonic())
            self.log.add(records.Span(*span))

    def record_last_version(self, at: float) -> None:
        """Writes down the version that is in force at the end."""
        span = ("version", self._served_by, self._moved_at, at)
        self.log.add(records.Span(*span))

    # Replicas

    def _start_replica(self, replica: ReplicaSlot) -> None:
        name = f"{replica.service}-{next(self._numbers)}"
        replica.backend = backends.RecordingReplica(
            self.prefill_results, name, replica.stage
        )
        replica.link = link.Link(replica.backend.address)
        replica.backend.public_address = replica.link.address
        self._register(replica.backend, replica.service, "ready")

    def _register(
        self, backend: backends.RecordingReplica, service: str, state: str
    ) -> None:
        entry = backend.entry(service, platform_site.ZONE, state)
        self.store.put("servers", backend.id, entry)

    def replace(self, replica: ReplicaSlot) -> None:
        """Has a replica leave as planned, after its successor has come."""
        old, old_link = replica.backend, replica.link
        self._start_replica(replica)
        self._register(old, replica.service, "draining")
        began_at = time.monotonic()
        self.closing.wait(REPLICA_DRAIN_S)
        self.log.add(
            records.Span("leaving", old.id, began_at, time.monotonic())
        )
        self.store.remove("servers", old.id)
        old_link.close()
        old.close()

    def crash(self, replica: ReplicaSlot) -> None:
        """Ends a replica without a word; another one starts in its place."""
        old, old_link = replica.backend, replica.link
        began_at = time.monotonic()
        old_link.close()
        old.close()
        self.closing.wait(RESTART_S)
        self._start_replica(replica)
        self.closing.wait(REPLICA_DRAIN_S)  # until its heartbeats are missed
        self.store.remove("servers", old.id)
        self.log.add(records.Span("lost", old.id, began_at, time.monotonic()))

    def inject_replica_fault(
        self, replica: ReplicaSlot, how: str, for_s: float
    ) -> None:
        """Has a replica answer wrongly."""
        backend = replica.backend
        began_at = time.monotonic()
        backend.mode = how
        self.closing.wait(for_s)
        backend.mode = "own"
        self._record(f"fails_{how}", backend.id, began_at)

    def inject_link_fault(
        self, found: link.Link, target: str, how: str, for_s: float
    ) -> None:
        """Harms a link for a while."""
        began_at = time.monotonic()
        found.set(link.Mode(how), LINK_DELAY_S)
        self.closing.wait(for_s)
        found.set(link.Mode.WHOLE)
        self._record(f"link_{how}", target, began_at)

    # Hosts

    def kill(self, hosts: list[Host]) -> None:
        """Kills processes at one moment; the platform starts them again."""
        began_at = time.monotonic()
        processes = [host.daemon.process for host in hosts]
        for process in processes:
            process.kill()
        for host, process in zip(hosts, processes, strict=True):
            self._restart(host, process)
        for host in hosts:
            host.daemon.await_ready()
            self._record("killed", host.name, began_at)

    def stop(self, host: Host) -> None:
        """Stops a host as planned, by force after the grace, and starts it."""
        began_at = time.monotonic()
        process = host.daemon.process
        process.send_signal(signal.SIGTERM)
        kind = "stop"
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            kind = "overran"
            process.kill()
        self._restart(host, process)
        host.daemon.await_ready()
        self._record(kind, host.name, began_at)

    def _restart(self, host: Host, process: subprocess.Popen) -> None:
        """Starts a host whose process ended, unless that was done."""
        process.wait()
        with host.lock:
            if host.daemon.process is not process:
                return
            if self.closing.wait(RESTART_S):
                return
            host.daemon.start()
            self._record("boot", host.name, time.monotonic())

    def freeze(self, host: Host, for_s: float) -> None:
        """Lets a host stand still."""
        began_at = time.monotonic()
        process = host.daemon.process
        process.send_signal(signal.SIGSTOP)
        self.closing.wait(for_s)
        process.send_signal(signal.SIGCONT)
        self._record("frozen", host.name, began_at)

    def reload(self, host: Host) -> None:
        """Tells a host that its settings have changed."""
        host.daemon.process.send_signal(signal.SIGHUP)
        self._record("reload", host.name, time.monotonic())

    # The store

    def inject_store_fault(
        self, fault: str, for_s: float, how: bool | int = True
    ) -> None:
        """Harms the store for all hosts."""
        began_at = time.monotonic()
        self.store.faults[fault] = how
        self.closing.wait(for_s)
        self.store.faults[fault] = self.store.defaults[fault]
        self._record(f"store_{fault}", promises.ALL_HOSTS, began_at)

    def _record(self, kind: str, target: str, began_at: float) -> None:
        now = time.monotonic()
        self.log.add(records.Span(kind, target, began_at, now))

    def _sweep(self) -> None:
        while not self.closing.wait(SWEEP_S):
            self.prefill_results.sweep()
            for replica in self.replicas:
                replica.backend.sweep()
