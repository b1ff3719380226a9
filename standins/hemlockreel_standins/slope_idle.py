"""Measures the cost of idle daemons, which handle no request."""

import json
import subprocess
import sys
import time

from . import processes
from . import samples
from . import slope_rig

# New daemons may publish readings of the host list when they start. The others
# drop readings after replication.COPY_RETENTION_S without confirmation.
JOIN_SETTLE_S = 85.0
CHANGES_PER_S = 4


def measure_threads(in_flight: int) -> slope_rig.Values:
    """Measures one idle daemon with threads for ``in_flight`` requests."""
    with slope_rig.start_deployment(1, in_flight) as deployment:
        return slope_rig.measure_usage(deployment)[1]


def measure_daemons(number: int) -> slope_rig.Values:
    """Measures ``number`` idle daemons with the same backend servers."""
    with slope_rig.start_deployment(
        number, settle_s=JOIN_SETTLE_S
    ) as deployment:
        before = slope_rig.count_calls(deployment)
        usage, values = slope_rig.measure_usage(deployment)
        after = slope_rig.count_calls(deployment)
        for name, count in after.items():
            rate = (count - before[name]) / slope_rig.MEASURE_S / number
            values[f"{name} a daemon"] = ("1/s", rate)
        sent = sum(
            rate
            for (link, direction, _), rate in usage.messages.items()
            if (link, direction) == ("peers", "sent")
        )
        values["messages sent to peers"] = ("1/s", sent)
        for name, rate in usage.sent.items():
            if name[0].isupper():
                values[f"{name} sent"] = ("B/s", rate)
        return values


def measure_replicas(number: int) -> slope_rig.Values:
    """Measures three daemons with ``number`` engines that only report load."""
    arguments = ["hemlockreel_standins.quiet_engines", "--number", str(number)]
    quiet = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    try:
        listed = json.loads(quiet.stdout.readline().removeprefix("ready "))
        hosts = tuple(
            _host_entry(engine["address"], engine["role"], index)
            for index, engine in enumerate(listed)
        )
        with slope_rig.start_deployment(
            3, hosts=hosts, engines=()
        ) as deployment:
            return slope_rig.measure_usage(deployment)[1]
    finally:
        quiet.terminate()
        quiet.wait()


def measure_listed(number: int) -> slope_rig.Values:
    """Measures three daemons that list ``number`` replicas elsewhere."""
    hosts = tuple(
        {
            **_host_entry(
                f"10.0.{index // 250}.{index % 250}:80", "decode", index
            ),
            "region": "elsewhere",
        }
        for index in range(number)
    )
    with slope_rig.start_deployment(3, hosts=hosts) as deployment:
        return slope_rig.measure_usage(deployment)[1]


def _host_entry(address: str, role: str, index: int) -> dict[str, str]:
    """Returns a host list entry of a live replica."""
    return {
        "address": address,
        "service": "drafter",
        "zone": slope_rig.ZONES[index % len(slope_rig.ZONES)],
        "region": slope_rig.REGION,
        "state": "live",
        "role": role,
    }


def measure_objects(number: int) -> slope_rig.Values:
    """Measures three idle daemons and the command line with many quotas."""
    quotas = [
        {
            "kind": "quotas",
            "name": f"organisation-{index}",
            "value": {"weight": 1.0, "max_in_flight": 64},
        }
        for index in range(number)
    ]
    with slope_rig.start_deployment(3) as deployment:
        path = deployment.folder / "quotas.json"
        path.write_text(json.dumps(quotas))
        took_s = _run_ctl(deployment, "apply", "-f", str(path))
        time.sleep(slope_rig.SETTLE_S)
        _, values = slope_rig.measure_usage(deployment)
        before = samples.take_sample(deployment.daemons[0])
        _change_quota(deployment, slope_rig.MEASURE_S)
        usage = samples.between(
            before, samples.take_sample(deployment.daemons[0])
        )
        values["processor, 4 changes a second"] = (
            "% of a core",
            100 * usage.processor,
        )
        values["apply of all"] = ("s", took_s)
        values["get of all"] = ("s", _run_ctl(deployment, "get", "quotas"))
        return values


def _change_quota(deployment: processes.Deployment, seconds: float) -> None:
    """Changes one quota ``CHANGES_PER_S`` times a second for ``seconds``."""
    end = time.monotonic() + seconds
    weight = 1
    while time.monotonic() < end:
        weight += 1
        deployment.apply("quotas", "organisation-0", {"weight": float(weight)})
        time.sleep(1 / CHANGES_PER_S)


def _run_ctl(deployment: processes.Deployment, *arguments: str) -> float:
    """Runs a command of the command line; returns its duration in seconds."""
    started = time.monotonic()
    subprocess.run(
        [
            sys.executable,
            "-m",
            "hemlockreel_ctl.main",
            *arguments,
            "--store",
            deployment.store.address,
        ],
        check=True,
        stdout=subprocess.DEVNULL,
        timeout=120,
    )
    return time.monotonic() - started
