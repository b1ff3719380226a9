"""The deployment of a soak, and the faults and operations applied to it."""

import itertools
import pathlib
import signal
import subprocess
import threading
import time
from typing import Any

from .. import host_links
from .. import platform_site
from .. import platform_store
from .. import server
from . import backends
from . import callers
from . import link
from . import promises
from . import records

GRACE_S = 4.0  # the value in the daemons' settings
RESTART_S = 0.5  # delay until the platform restarts a process
PART_RESTART_S = 1.5  # until an engine that crashed on a prompt is back
LIMIT_PER_S = 3.4  # requests that a replica in need takes from all hosts
# How long a draining replica still serves: its drain_ms and more.
REPLICA_DRAIN_S = 4.0
SWEEP_S = 0.1
# After a restore of the store: until what was lost is written again, and from
# then until entries without heartbeats expire.
REWRITE_S = 1.5
EXPIRE_S = 2.5
RELEASE_GAP_S = 0.4  # between the engines that a release replaces
LINK_DELAY_S = 0.3
MAX_LOST_ANSWERS = 20  # responses, or fewer if the fault ends before
# The moving route is served by one of these services at a time.
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
    """A position that is filled by one replica process after another."""

    def __init__(self, service: str, stage: str | None):
        self.service = service
        self.stage = stage
        self.software = "v1"
        self.backend: backends.RecordingReplica | None = None
        self.link: link.Link | None = None


class Host:
    """A daemon, its link to the store and its links to the replicas."""

    def __init__(
        self,
        daemon: platform_site.Daemon,
        proxy: link.Link,
        links: host_links.Links,
    ):
        self.daemon = daemon
        self.store_link = proxy
        self.links = links
        self.lock = threading.Lock()

    @property
    def name(self) -> str:
        """The address that callers connect to, its name in the records."""
        return self.daemon.listen["frontend"]


class Site(platform_site.Site):
    """All processes and links of one soak, closed on leaving the block."""

    def __init__(self, folder: pathlib.Path, hosts: int, log: records.Log):
        self.log = log
        self.closing = threading.Event()
        self._numbers = itertools.count(1)
        self._version = itertools.count(1)
        self._software_numbers = itertools.count(2)
        self._served_by = SERVICES[0]
        self._moved_at = 0.0
        self._move = threading.Lock()
        self._written: dict[tuple[str, str], Any] = {}
        self._writing = threading.Lock()
        self._cutting = threading.Lock()  # one cut at a time
        self.store = platform_store.Store()
        self._store_address = server.start(self.store)
        self.prefill_results = backends.PrefillResults(log)
        self._crashing_parts = backends.CrashingParts(self._crash_on_part)
        self._crashed: set[str] = set()
        self._crash_lock = threading.Lock()
        self.replicas = [ReplicaSlot(*each) for each in REPLICAS]
        for replica in self.replicas:
            self._start_replica(replica)
        self._write_routes()
        self.hosts: list[Host] = []
        for number in range(hosts):
            links = host_links.Links(self.store)
            store_link = link.Link(links.store_address)
            seeds = tuple(
                host.daemon.listen["control_plane"] for host in self.hosts[:3]
            )
            daemon = platform_site.Daemon(
                folder, store_link.address, number, seeds
            )
            self.hosts.append(Host(daemon, store_link, links))
        self.daemons = [host.daemon for host in self.hosts]
        threading.Thread(target=self._sweep, daemon=True).start()

    def close(self) -> None:
        """Stops the daemons, links and replicas."""
        self.closing.set()
        super().close()
        for host in self.hosts:
            host.store_link.close()
            host.links.close()
        for replica in self.replicas:
            replica.link.close()
            replica.backend.close()

    # The moving route

    def _write_routes(self) -> None:
        """Writes a new version that routes to ``_served_by``."""
        found = platform_site.configuration(version=next(self._version))
        for route in found["routes"]:
            if route["name"] == "lookups":
                route["service"] = self._served_by
        found["services"].append({"name": "kiosk", "max_connections": 192})
        self._moved_at = time.monotonic()
        self._put("config", "main", found)

    def move_route(self) -> None:
        """Switches the route to the other service."""
        with self._move:
            before, began_at = self._served_by, self._moved_at
            self._served_by = SERVICES[1 - SERVICES.index(before)]
            self._write_routes()
            span = ("version", before, began_at, time.monotonic())
            self.log.add(records.Span(*span))

    def record_last_version(self, at: float) -> None:
        """Records the version in force when the run ends."""
        span = ("version", self._served_by, self._moved_at, at)
        self.log.add(records.Span(*span))

    # Replicas

    def _start_replica(self, replica: ReplicaSlot) -> None:
        name = f"{replica.service}-{next(self._numbers)}"
        replica.backend = backends.RecordingReplica(
            self.prefill_results,
            name,
            replica.stage,
            self._crashing_parts,
            replica.software,
        )
        replica.link = link.Link(replica.backend.address)
        replica.backend.public_address = replica.link.address
        self._register(replica.backend, replica.service, "ready")

    def _register(
        self, backend: backends.RecordingReplica, service: str, state: str
    ) -> None:
        entry = backend.entry(service, platform_site.ZONE, state)
        self._put("servers", backend.id, entry)

    def replace(self, replica: ReplicaSlot) -> None:
        """Starts a successor, then drains and stops the replica."""
        old, old_link = replica.backend, replica.link
        self._start_replica(replica)
        old.extra_headers = (("Server-Leaving", "1"),)
        self._register(old, replica.service, "draining")
        began_at = time.monotonic()
        self.closing.wait(REPLICA_DRAIN_S)
        self.log.add(
            records.Span("leaving", old.id, began_at, time.monotonic())
        )
        self._remove("servers", old.id)
        old_link.close()
        old.close()

    def release_software(self, number: int) -> None:
        """Replaces engines one after the other by ones of a newer version.

        With an even number some of them stay, and both versions serve.
        """
        software = f"v{next(self._software_numbers)}"
        engines = [each for each in self.replicas if each.stage]
        threads = []
        for replica in engines if number % 2 else engines[::2]:
            replica.software = software
            thread = threading.Thread(target=self.replace, args=(replica,))
            thread.start()
            threads.append(thread)
            self.closing.wait(RELEASE_GAP_S)
        for thread in threads:
            thread.join()

    def crash(
        self, replica: ReplicaSlot, restart_s: float = RESTART_S
    ) -> None:
        """Ends a replica without draining it, and starts another one."""
        old, old_link = replica.backend, replica.link
        began_at = time.monotonic()
        old_link.close()
        old.close()
        self.closing.wait(restart_s)
        self._start_replica(replica)
        # By then the missing heartbeats have been noticed.
        self.closing.wait(REPLICA_DRAIN_S)
        self._remove("servers", old.id)
        self.log.add(records.Span("lost", old.id, began_at, time.monotonic()))

    def send_crashing_part(self, seed: int, for_s: float) -> None:
        """Sends prompts with a part that crashes engines for ``for_s``."""
        self._send_crashing(
            f"bad{seed:05x}{next(self._numbers):x}", seed, for_s
        )

    def send_crashing_request(self, seed: int, for_s: float) -> None:
        """Sends one plain request that crashes servers, for ``for_s``."""
        _, prefix = callers.PLAIN[seed % len(callers.PLAIN)]
        number = next(self._numbers)
        self._send_crashing(f"{prefix}bad{number}?q={number}", seed, for_s)

    def _send_crashing(self, part: str, seed: int, for_s: float) -> None:
        self._crashing_parts.ids.add(part)
        caller = callers.Caller(
            part,
            [host.daemon.listen["directory"] for host in self.hosts],
            self.log,
            seed,
            refreshes_late=False,
            part=part,
        )
        stopping = threading.Event()
        thread = threading.Thread(target=caller.run, args=(stopping,))
        thread.start()
        self.closing.wait(for_s)
        stopping.set()
        thread.join()

    def _crash_on_part(
        self, backend: backends.RecordingReplica, part: str
    ) -> None:
        with self._crash_lock:
            if backend.id in self._crashed:
                return
            self._crashed.add(backend.id)
        self.log.add(records.PartCrash(part, backend.id, time.monotonic()))
        for replica in self.replicas:
            if replica.backend is backend:
                threading.Thread(
                    target=self.crash,
                    args=(replica, PART_RESTART_S),
                    daemon=True,
                ).start()

    def limit(self, replica: ReplicaSlot, for_s: float) -> None:
        """Has a replica name a limit in its answers for ``for_s``."""
        backend = replica.backend
        header = ("Server-Limit", f"{LIMIT_PER_S:g}")
        if header in backend.extra_headers:
            return
        began_at = time.monotonic()
        backend.extra_headers += (header,)
        self.closing.wait(for_s)
        backend.extra_headers = tuple(
            each for each in backend.extra_headers if each != header
        )
        now = time.monotonic()
        self.log.add(records.Limit(backend.id, LIMIT_PER_S, began_at, now))
        self.log.add(records.Span("limited", backend.id, began_at, now))

    def inject_replica_fault(
        self, replica: ReplicaSlot, how: str, for_s: float
    ) -> None:
        """Has a replica respond wrongly for ``for_s`` seconds."""
        backend = replica.backend
        began_at = time.monotonic()
        backend.mode = how
        self.closing.wait(for_s)
        backend.mode = "own"
        self._record(f"fails_{how}", backend.id, began_at)

    def inject_link_fault(
        self, found: link.Link, target: str, how: str, for_s: float
    ) -> None:
        """Sets a link to the mode ``how`` for ``for_s`` seconds."""
        began_at = time.monotonic()
        found.set(link.Mode(how), LINK_DELAY_S)
        self.closing.wait(for_s)
        found.set(link.Mode.WHOLE)
        self._record(f"link_{how}", target, began_at)

    # Hosts

    def kill(self, hosts: list[Host]) -> None:
        """Kills the daemons of ``hosts`` at once, and restarts them."""
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
        """Stops a host gracefully, and restarts it.

        A daemon that does not exit within the grace period is killed.
        """
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
        """Restarts a host whose process ended, unless another thread has."""
        process.wait()
        with host.lock:
            if host.daemon.process is not process:
                return
            if self.closing.wait(RESTART_S):
                return
            host.daemon.start()
            self._record("boot", host.name, time.monotonic())

    def freeze(self, host: Host, for_s: float) -> None:
        """Pauses the process of a host for ``for_s`` seconds."""
        began_at = time.monotonic()
        process = host.daemon.process
        process.send_signal(signal.SIGSTOP)
        self.closing.wait(for_s)
        process.send_signal(signal.SIGCONT)
        self._record("frozen", host.name, began_at)

    def reload(self, host: Host) -> None:
        """Has a daemon reload its settings."""
        host.daemon.process.send_signal(signal.SIGHUP)
        self._record("reload", host.name, time.monotonic())

    def cut_off(self, number: int, how: str, for_s: float) -> None:
        """Cuts some hosts off all replicas for ``for_s`` seconds.

        By ``number`` that is one host, about half of them or all but one.
        Callers, the store and the other hosts still reach them, so other
        promises hold for them as before.
        """
        hosts = len(self.hosts)
        count = (1, hosts // 2, hosts - 1)[number % 3]
        first = number % hosts
        chosen = [self.hosts[(first + i) % hosts] for i in range(count)]
        with self._cutting:
            began_at = time.monotonic()
            for host in chosen:
                host.links.set(link.Mode(how))
            self.closing.wait(for_s)
            for host in chosen:
                host.links.set(link.Mode.WHOLE)
            now = time.monotonic()
        names = tuple(host.name for host in chosen)
        self.log.add(records.CutOff(names, began_at, now))

    # The store

    def inject_store_fault(
        self, fault: str, for_s: float, how: bool | int = True
    ) -> None:
        """Sets a fault of the store, which affects all hosts."""
        began_at = time.monotonic()
        self.store.faults[fault] = how
        self.closing.wait(for_s)
        self.store.faults[fault] = self.store.defaults[fault]
        self._record(f"store_{fault}", promises.ALL_HOSTS, began_at)

    def restore_store(self, age_s: float) -> None:
        """Puts back a copy of the store that is ``age_s`` old.

        The operator and the replicas write again what was lost. Entries of
        replicas that have left expire.
        """
        self.store.save()
        self.closing.wait(age_s)
        began_at = time.monotonic()
        with self._writing:
            self.store.restore()
        self.closing.wait(REWRITE_S)
        with self._writing:
            for key, value in self._written.items():
                found = self.store.objects.get(key)
                if found is None or found["specification"] != value:
                    self.store.put(*key, value)
        self.closing.wait(EXPIRE_S)
        with self._writing:
            kinds = {kind for kind, _ in self._written}
            for key in set(self.store.objects) - set(self._written):
                if key[0] in kinds:
                    self.store.remove(*key)
        self._record("store_restored", promises.ALL_HOSTS, began_at)

    def _put(self, kind: str, name: str, value: Any) -> None:
        """Writes an object that is written again after a restore."""
        with self._writing:
            self._written[kind, name] = value
            self.store.put(kind, name, value)

    def _remove(self, kind: str, name: str) -> None:
        with self._writing:
            self._written.pop((kind, name), None)
            if (kind, name) in self.store.objects:
                self.store.remove(kind, name)

    def _record(self, kind: str, target: str, began_at: float) -> None:
        now = time.monotonic()
        self.log.add(records.Span(kind, target, began_at, now))

    def _sweep(self) -> None:
        while not self.closing.wait(SWEEP_S):
            self.prefill_results.sweep()
            for replica in self.replicas:
                replica.backend.sweep()
