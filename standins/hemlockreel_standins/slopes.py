"""Measures how the cost of a daemon grows, for docs/CAPACITY.md.

Runs real daemons before small stand-ins, at three sizes each, fits a straight
line and prints the tables of the page. ``--only NAME`` runs one part.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import json
import signal
import statistics
import subprocess
import sys
import time
from typing import NamedTuple

from . import caller as callers
from . import footprint
from . import processes
from . import samples

REGION = "highlands"
ZONES = ("highlands-a", "highlands-b", "highlands-c")
SETTLE_S = 5.0
WATCH_S = 10.0
IDLE_IN_FLIGHT = 40  # a small pool of threads, where it is not the question
STREAM_TOKENS = 300
STREAM_HEAD_S = 3.0  # until all streams run
STREAM_WATCH_S = 4.0
PAIRS_A_SECOND = 4
READY_TIMEOUT_S = 90.0
POOL = {
    "service": "drafter",
    "model": "drafter-3b",
    "first_token_ms": 30000,
    "decode_batch": 200,
}


class Series(NamedTuple):
    """One quantity at several sizes."""

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> tuple[float, float]:
        """Returns slope and intercept of the line of least squares."""
        sizes, values = zip(*self.points, strict=True)
        found = statistics.linear_regression(sizes, values)
        return found.slope, found.intercept


class Part(NamedTuple):
    """A part of the measurement: what grows, and how to measure it."""

    name: str
    grows: str
    sizes: tuple[int, ...]
    measure: Callable[[int], dict[str, tuple[str, float]]]


@contextlib.contextmanager
def _deployment(
    daemons: int,
    in_flight: int = IDLE_IN_FLIGHT,
    hosts: tuple[dict[str, str], ...] = (),
    engines: tuple[str, ...] = ("prefill", "decode"),
    engine_arguments: tuple[str, ...] = ("--model", "drafter-3b"),
) -> Iterator[processes.Deployment]:
    """Starts a deployment and waits until its daemons are ready."""
    made = processes.Deployment(REGION)
    made.daemon_module = "hemlockreel_standins.probe"
    with made:
        made.hosts.extend(hosts)
        for role in engines:
            made.add_replica("drafter", ZONES[0], role, engine_arguments)
        made.add_replica("bookings", ZONES[0], "plain")
        made.apply("modelpools", "drafter", POOL)
        route = {"service": "bookings", "prefix": "/services/bookings"}
        made.apply("routes", "bookings", route)
        for index in range(daemons):
            zone = ZONES[index % len(ZONES)]
            made.add_daemon(zone, max_in_flight=in_flight)
        for daemon in made.daemons:
            daemon.await_ready(READY_TIMEOUT_S)
        time.sleep(SETTLE_S)
        yield made


def _describe(use: samples.Use) -> dict[str, tuple[str, float]]:
    """Returns what a daemon uses, by name, with its unit."""
    found = {
        "memory": ("MB", use.resident / samples.MB),
        "processor": ("% of a core", 100 * use.processor),
        "control sent": ("KB/s", use.control_sent() / 1000),
        "control received": ("KB/s", use.control_received() / 1000),
    }
    for link in ("peers", "store", "host_list", "engine_control"):
        rate = use.sent.get(link, 0.0) + use.received.get(link, 0.0)
        found[f"{link}, both ways"] = ("KB/s", rate / 1000)
    return found


def _watch(made: processes.Deployment, seconds: float = WATCH_S):
    use = samples.mean(samples.watch(made.daemons, seconds))
    return use, _describe(use)


def measure_threads(in_flight: int) -> dict[str, tuple[str, float]]:
    """One idle daemon with threads for ``in_flight`` requests."""
    with _deployment(1, in_flight) as made:
        return _watch(made)[1]


def measure_daemons(number: int) -> dict[str, tuple[str, float]]:
    """Idle daemons before the same backend servers."""
    with _deployment(number) as made:
        before = _count_calls(made)
        use, found = _watch(made)
        after = _count_calls(made)
        for name, count in after.items():
            rate = (count - before[name]) / WATCH_S / number
            found[f"{name} a daemon"] = ("1/s", rate)
        sent = sum(
            rate
            for (link, direction, _), rate in use.messages.items()
            if (link, direction) == ("peers", "sent")
        )
        found["messages sent to peers"] = ("1/s", sent)
        return found


def _count_calls(made: processes.Deployment) -> dict[str, int]:
    calls = processes.get(made.store.address, "/_journal")["calls"]
    reads = processes.get(made.host_list.address, "/_journal")["reads"]
    found = {f"store {name}": count for name, count in calls.items()}
    return {**found, "host list reads": reads}


def measure_replicas(number: int) -> dict[str, tuple[str, float]]:
    """Three daemons before ``number`` engines that only report."""
    arguments = ["hemlockreel_standins.quiet_engines", "--number", str(number)]
    quiet = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    try:
        listed = json.loads(quiet.stdout.readline().removeprefix("ready "))
        hosts = tuple(
            {
                "address": engine["address"],
                "service": "drafter",
                "zone": ZONES[index % len(ZONES)],
                "region": REGION,
                "state": "live",
                "role": engine["role"],
            }
            for index, engine in enumerate(listed)
        )
        with _deployment(3, hosts=hosts, engines=()) as made:
            return _watch(made)[1]
    finally:
        quiet.terminate()
        quiet.wait()


def measure_objects(number: int) -> dict[str, tuple[str, float]]:
    """Three idle daemons with ``number`` quotas, and the command line."""
    quotas = [
        {
            "kind": "quotas",
            "name": f"organisation-{index}",
            "value": {"weight": 1.0, "max_in_flight": 64},
        }
        for index in range(number)
    ]
    with _deployment(3) as made:
        path = made.folder / "quotas.json"
        path.write_text(json.dumps(quotas))
        took_s = _run_ctl(made, "apply", "-f", str(path))
        time.sleep(SETTLE_S)
        _, found = _watch(made)
        changed = samples.take(made.daemons[0])
        _change(made, WATCH_S)
        use = samples.between(changed, samples.take(made.daemons[0]))
        found["processor, 4 changes a second"] = (
            "% of a core",
            100 * use.processor,
        )
        found["apply of all"] = ("s", took_s)
        found["get of all"] = ("s", _run_ctl(made, "get", "quotas"))
        return found


def _change(made: processes.Deployment, seconds: float) -> None:
    """Changes one quota a few times a second."""
    end = time.monotonic() + seconds
    weight = 1
    while time.monotonic() < end:
        weight += 1
        made.apply("quotas", "organisation-0", {"weight": float(weight)})
        time.sleep(1 / PAIRS_A_SECOND)


def _run_ctl(made: processes.Deployment, *words: str) -> float:
    """Returns how long a command of the command line takes."""
    started = time.monotonic()
    subprocess.run(
        [
            sys.executable,
            "-m",
            "hemlockreel_ctl.main",
            *words,
            "--store",
            made.store.address,
        ],
        check=True,
        stdout=subprocess.DEVNULL,
        timeout=120,
    )
    return time.monotonic() - started


def measure_streams(number: int) -> dict[str, tuple[str, float]]:
    """Streams through one daemon that owns the engines as well."""
    engines = ("prefill", "prefill", "decode", "decode", "decode")
    arguments = ("--model", "drafter-3b", "--pieces", "64")
    with (
        _deployment(1, 160, (), engines, arguments) as made,
        futures.ThreadPoolExecutor(number) as pool,
    ):
        running = [
            pool.submit(_stream, made.daemons[0].callers, index)
            for index in range(number)
        ]
        time.sleep(STREAM_HEAD_S)
        before = time.monotonic()
        uses = samples.watch(made.daemons, STREAM_WATCH_S)
        after = time.monotonic()
        open_before = sum(not each.done() for each in running)
        answers = [each.result() for each in running]
    whole = [answer for answer in answers if answer.whole]
    tokens = sum(
        before <= at <= after for answer in whole for at in answer.token_times
    )
    found = _describe(uses[0])
    rate = tokens / (after - before)
    found["streams that were whole"] = ("", float(len(whole)))
    found["streams still open at the end"] = ("", float(open_before))
    found["tokens"] = ("1/s", rate)
    found["processor a token"] = ("us", 1e6 * uses[0].processor / rate)
    return found


def _stream(address: str, index: int) -> callers.Answer:
    body = {
        "model": "drafter-3b",
        "prompt": f"wind and tide, note {index}. " * 4,
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    started = time.monotonic()
    answer = callers.Caller("acme", address).complete(body, address)
    times = tuple(started + at for at in answer.token_times)
    return answer._replace(token_times=times)


PARTS = (
    Part("threads", "threads for callers", (40, 200, 600), measure_threads),
    Part("daemons", "daemons", (3, 12, 48), measure_daemons),
    Part("replicas", "replicas", (5, 50, 500), measure_replicas),
    Part("objects", "declared objects", (10, 100, 1000), measure_objects),
    Part("streams", "open streams", (1, 10, 100), measure_streams),
)


def _show_footprint() -> None:
    print("\n| step | resident, MB | added, MB |\n|---|---|---|")
    for step in footprint.measure(footprint.STEPS):
        print(f"| {step.name} | {step.total:.1f} | {step.added:.1f} |")
    for step in footprint.measure(footprint.COMMAND_LINE_STEPS):
        print(f"| command line: {step.name} | {step.total:.1f} | |")


def _run(part: Part) -> list[Series]:
    columns: dict[str, list[tuple[float, float]]] = {}
    units: dict[str, str] = {}
    for size in part.sizes:
        print(f"measuring {part.name}: {size}", file=sys.stderr, flush=True)
        for name, (unit, value) in part.measure(size).items():
            columns.setdefault(name, []).append((size, value))
            units[name] = unit
    return [
        Series(name, units[name], tuple(points))
        for name, points in columns.items()
    ]


def _show(part: Part, found: list[Series]) -> None:
    sizes = " | ".join(map(str, part.sizes))
    print(f"\n| per daemon, by number of {part.grows} | {sizes} | line |")
    print("|---" * (len(part.sizes) + 2) + "|")
    for series in found:
        values = " | ".join(f"{value:.4g}" for _, value in series.points)
        if len(series.points) > 1:
            slope, intercept = series.fit()
            line = f"{intercept:.4g} + {slope:.3g} x"
        else:
            line = ""
        unit = f", {series.unit}" if series.unit else ""
        print(f"| {series.name}{unit} | {values} | {line} |", flush=True)


def main() -> int:
    """Measures all parts, or those that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = ("footprint", *(part.name for part in PARTS))
    parser.add_argument("--only", action="append", choices=names)
    options = parser.parse_args()
    # An exception, unlike the signal itself, lets the deployments close.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    wanted = options.only or names
    if "footprint" in wanted:
        _show_footprint()
    for part in PARTS:
        if part.name in wanted:
            _show(part, _run(part))
    return 0


if __name__ == "__main__":
    sys.exit(main())
