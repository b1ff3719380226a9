"""What daemons cost that carry no request."""

import json
import subprocess
import sys
import time

from . import processes
from . import samples
from . import slope_rig

JOIN_SETTLE_S = 85.0  # until the readings of new daemons are forgotten
CHANGES_A_SECOND = 4


def measure_threads(in_flight: int) -> slope_rig.Values:
    """One idle daemon with threads for ``in_flight`` requests."""
    with slope_rig.deployment(1, in_flight) as made:
        return slope_rig.watch(made)[1]


def measure_daemons(number: int) -> slope_rig.Values:
    """Idle daemons before the same backend servers."""
    with slope_rig.deployment(number, settle_s=JOIN_SETTLE_S) as made:
        before = slope_rig.count_calls(made)
        use, found = slope_rig.watch(made)
        after = slope_rig.count_calls(made)
        for name, count in after.items():
            rate = (count - before[name]) / slope_rig.WATCH_S / number
            found[f"{name} a daemon"] = ("1/s", rate)
        sent = sum(
            rate
            for (link, direction, _), rate in use.messages.items()
            if (link, direction) == ("peers", "sent")
        )
        found["messages sent to peers"] = ("1/s", sent)
        for name, rate in use.sent.items():
            if name[0].isupper():
                found[f"{name} sent"] = ("B/s", rate)
        return found


def measure_replicas(number: int) -> slope_rig.Values:
    """Three daemons before ``number`` engines that only report."""
    arguments = ["hemlockreel_standins.quiet_engines", "--number", str(number)]
    quiet = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    try:
        listed = json.loads(quiet.stdout.readline().removeprefix("ready "))
        hosts = tuple(
            _listed(engine["address"], engine["role"], index)
            for index, engine in enumerate(listed)
        )
        with slope_rig.deployment(3, hosts=hosts, engines=()) as made:
            return slope_rig.watch(made)[1]
    finally:
        quiet.terminate()
        quiet.wait()


def measure_listed(number: int) -> slope_rig.Values:
    """Three daemons with ``number`` replicas of another region listed."""
    hosts = tuple(
        {
            **_listed(
                f"10.0.{index // 250}.{index % 250}:80", "decode", index
            ),
            "region": "elsewhere",
        }
        for index in range(number)
    )
    with slope_rig.deployment(3, hosts=hosts) as made:
        return slope_rig.watch(made)[1]


def _listed(address: str, role: str, index: int) -> dict[str, str]:
    """Returns an entry of the host list."""
    return {
        "address": address,
        "service": "drafter",
        "zone": slope_rig.ZONES[index % len(slope_rig.ZONES)],
        "region": slope_rig.REGION,
        "state": "live",
        "role": role,
    }


def measure_objects(number: int) -> slope_rig.Values:
    """Three idle daemons with ``number`` quotas, and the command line."""
    quotas = [
        {
            "kind": "quotas",
            "name": f"organisation-{index}",
            "value": {"weight": 1.0, "max_in_flight": 64},
        }
        for index in range(number)
    ]
    with slope_rig.deployment(3) as made:
        path = made.folder / "quotas.json"
        path.write_text(json.dumps(quotas))
        took_s = _run_ctl(made, "apply", "-f", str(path))
        time.sleep(slope_rig.SETTLE_S)
        _, found = slope_rig.watch(made)
        changed = samples.take(made.daemons[0])
        _change(made, slope_rig.WATCH_S)
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
        time.sleep(1 / CHANGES_A_SECOND)


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
