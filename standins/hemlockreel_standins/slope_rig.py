"""Deployments for the slope measurements, and what their daemons use.

The daemons run under :mod:`probe`, which counts their bytes and messages.
"""

from collections.abc import Iterator
import contextlib
import time

from . import processes
from . import samples

REGION = "highlands"
ZONES = ("highlands-a", "highlands-b", "highlands-c")
SETTLE_S = 5.0
MEASURE_S = 10.0
# A small thread pool, for parts that do not measure threads.
IDLE_IN_FLIGHT = 40
READY_TIMEOUT_S = 90.0
POOL = {
    "service": "drafter",
    "model": "drafter-3b",
    "first_token_ms": 30000,
    "decode_batch": 200,
}
Values = dict[str, tuple[str, float]]  # unit and value of each quantity


@contextlib.contextmanager
def start_deployment(
    daemons: int,
    in_flight: int = IDLE_IN_FLIGHT,
    hosts: tuple[dict[str, str], ...] = (),
    engines: tuple[str, ...] = ("prefill", "decode"),
    engine_arguments: tuple[str, ...] = ("--model", "drafter-3b"),
    settle_s: float = SETTLE_S,
) -> Iterator[processes.Deployment]:
    """Starts a deployment and stops it at the end.

    Waits until the daemons are ready, and ``settle_s`` longer. ``hosts`` are
    further entries of the host list.
    """
    deployment = processes.Deployment(REGION)
    deployment.daemon_module = "hemlockreel_standins.probe"
    with deployment:
        deployment.hosts.extend(hosts)
        for role in engines:
            deployment.add_replica("drafter", ZONES[0], role, engine_arguments)
        deployment.add_replica("bookings", ZONES[0], "plain")
        deployment.apply("modelpools", "drafter", POOL)
        route = {"service": "bookings", "prefix": "/services/bookings"}
        deployment.apply("routes", "bookings", route)
        for index in range(daemons):
            zone = ZONES[index % len(ZONES)]
            deployment.add_daemon(zone, max_in_flight=in_flight)
        for daemon in deployment.daemons:
            daemon.await_ready(READY_TIMEOUT_S)
        time.sleep(settle_s)
        yield deployment


def describe(usage: samples.Usage) -> Values:
    """Returns a usage as named quantities with their units."""
    values = {
        "memory": ("MB", usage.resident / samples.MB),
        "processor": ("% of a core", 100 * usage.processor),
        "control sent": ("KB/s", usage.control_sent() / 1000),
        "control received": ("KB/s", usage.control_received() / 1000),
    }
    for link in samples.CONTROL_LINKS:
        rate = usage.sent.get(link, 0.0) + usage.received.get(link, 0.0)
        values[f"{link}, both ways"] = ("KB/s", rate / 1000)
    return values


def measure_usage(
    deployment: processes.Deployment, seconds: float = MEASURE_S
) -> tuple[samples.Usage, Values]:
    """Returns the mean usage of the daemons in the next ``seconds``.

    The values of :func:`describe` are the second item.
    """
    usage = samples.mean(samples.measure_usages(deployment.daemons, seconds))
    return usage, describe(usage)


def count_calls(deployment: processes.Deployment) -> dict[str, int]:
    """Returns the number of calls to store and host list so far."""
    calls = processes.get(deployment.store.address, "/_journal")["calls"]
    reads = processes.get(deployment.host_list.address, "/_journal")["reads"]
    counts = {f"store {name}": count for name, count in calls.items()}
    return {**counts, "host list reads": reads}
