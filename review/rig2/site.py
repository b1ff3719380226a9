"""Starts the project's daemons as the deploy file does, on loopback."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ZONES = ("trondheim-a", "trondheim-b", "orkanger")
KEPT = ("PATH", "HOME", "JAVA_HOME", "LANG")
PORTS = ("frontend", "ready", "control_plane", "directory")
BOUNDS = {
    "seed_lag_s": "3",
    "addr_reuse_s": "2",
    "stability_ms": "3000",
    "ack_timeout_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "skew_max_ms": "5000",
    "retry_budget_ratio": "0.2",
    "budget_window_s": "10",
    "retry_budget_slack": "104",
    "recover_s": "12",
    "transit_ms": "120",
    "reuse_window_s": "3",
    "fencing_required": "false",
    "lease_ms": "3000",
    "thaw_ms": "300",
    "ttl_max_s": "5",
}
CONTRACTS = "base,drain,config,cost,retry,recover,split,stream,engine,platform"


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def find_ports(ips, count):
    """Returns ports that are free at each of ``ips``."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        if port in found:
            continue
        try:
            for ip in ips:
                with socket.create_server((ip, port)):
                    pass
        except OSError:
            continue
        found.append(port)
    return found


class Daemon:
    """One machine with its process."""

    def __init__(self, site, number, ip, ports, seeds, more, store=None):
        self.site = site
        self.number = number
        self.ip = ip
        self.zone = ZONES[number % len(ZONES)]
        self.listen = {
            name: f"{ip}:{port}"
            for name, port in zip(PORTS, ports, strict=False)
        }
        self.ports = ports
        self.more = more
        self.store = store
        self.seeds = seeds
        self.process = None
        self.started_at = 0.0
        self.file = site.folder / f"settings-{number}.conf"
        self.log = site.folder / f"daemon-{number}.log"
        self.write(seeds)

    def write(self, seeds, bootstrap="true"):
        """Writes the settings file."""
        inner = self.ports[4:6]
        values = {
            "node_name": f"edge-{self.zone}-{self.number}",
            "role": "hemlockreeld",
            "machine_class": "edge",
            "serves": "edge,control,registry",
            "ip": self.ip,
            "zone": self.zone,
            "region": "midt-norge",
            **{f"zones.{zone}": "midt-norge" for zone in ZONES},
            **{f"listen.{name}": each for name, each in self.listen.items()},
            "internal_ports": f"{min(inner)},{max(inner)}",
            # The product's own names for ports inside that range.
            "operators_port": self.ports[4],
            "paths_port": self.ports[5],
            "seed_nodes": ",".join(seeds),
            "bootstrap": bootstrap,
            "counts_as_loss": "false",
            "limits.cpu_share": "0.731",
            "limits.cpu_cores": "1",
            "limits.memory_mb": "136",
            "limits.max_fds": "1535",
            "limits.link_mbps": "350.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry_mode": "registry",
            "heartbeat_ms": "1200",
            "contracts": CONTRACTS,
            "fault_tolerance.machines": "2",
            "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0",
            **{f"bounds.{name}": each for name, each in BOUNDS.items()},
            "platform.address": self.store or self.site.store.address,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
            **self.more,
        }
        self.file.write_text(
            "".join(f"{name}={each}\n" for name, each in values.items())
        )

    def start(self):
        """Starts the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = role["roles"]["hemlockreeld"]["run"].split(" ")
        given = {key: os.environ[key] for key in KEPT if key in os.environ}
        given["HEMLOCKREEL_NODE_FILE"] = str(self.file)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run, cwd=ROOT, env=given, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()

    def is_ready(self):
        """Returns whether the process says that it is ready."""
        url = f"http://{self.listen['ready']}/api/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def await_ready(self, seconds=20.0):
        """Waits until the process says that it is ready."""
        until = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"machine {self.number} isn't ready")
            time.sleep(0.1)

    def start_again(self):
        """Starts the process again; this is not the system's first start."""
        self.stop()
        self.write(self.seeds, "false")
        self.start()

    def stop(self):
        """Kills the process that this script started."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Site:
    """The store and some machines; ends all processes at the end.

    ``doors`` are addresses of the store, one for each machine, if they call
    it at different ones.
    """

    def __init__(self, store, machines, seeds=None, more=None, doors=()):
        self.store = store
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        ips = [f"127.0.1.{n + 1}" for n in range(machines)]
        ports = find_ports(ips, 6)
        self.control_port = ports[2]
        given = seeds if seeds is not None else ips[:3]
        self.seeds = [f"{ip}:{ports[2]}" for ip in given]
        self.daemons = [
            Daemon(self, number, ip, ports, self.seeds, more or {}, *door)
            for number, (ip, *door) in enumerate(
                zip(ips, doors, strict=True) if doors else zip(ips)
            )
        ]

    def __enter__(self):
        for each in self.daemons:
            each.start()
        try:
            for each in self.daemons:
                each.await_ready()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Ends all processes."""
        for each in self.daemons:
            each.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for each in self.daemons:
                if each.log.exists():
                    text = each.log.read_bytes()
                    pathlib.Path(keep, each.log.name).write_bytes(text)
        self._temporary.cleanup()
