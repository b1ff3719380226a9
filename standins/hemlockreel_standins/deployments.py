"""The two example deployments, Fjellpulver and Loch Ashie, at full size."""

import json
import pathlib
import subprocess
import sys
from typing import Any
from typing import NamedTuple

from . import processes

EXAMPLES = (
    pathlib.Path(__file__).parents[2] / "docs" / "operators" / "examples"
)
READY_TIMEOUT_S = 40.0


class Plan(NamedTuple):
    """The size, network delays and workload of a deployment.

    ``between_zones_s`` and ``to_clients_s`` are one-way delays in seconds.
    ``prompt_words`` holds the minimum and maximum number of times that a
    caller repeats ``phrase`` in a prompt.
    """

    name: str
    organisation: str
    region: str
    zones: tuple[str, ...]
    between_zones_s: float
    to_clients_s: float
    model_service: str
    model: str
    prefill: int
    decode: int
    engine_arguments: tuple[str, ...]
    plain_service: str
    plain: int
    phrase: str
    prompt_words: tuple[int, int]
    configuration: str


FJELLPULVER = Plan(
    name="Fjellpulver",
    organisation="fjellpulver",
    region="midt-norge",
    zones=("trondheim-a", "trondheim-b", "orkanger"),
    between_zones_s=0.0015,
    to_clients_s=0.001,
    model_service="lesar",
    model="lesar-7b",
    prefill=2,
    decode=3,
    engine_arguments=("--model", "lesar-7b"),
    plain_service="ordrebok",
    plain=3,
    phrase="atomised nickel alloy 718, sieve 15-45 um. ",
    prompt_words=(5, 60),
    configuration="fjellpulver.json",
)

LOCH_ASHIE = Plan(
    name="Loch Ashie",
    organisation="loch-ashie",
    region="highlands",
    zones=("highlands-a", "highlands-b", "highlands-c"),
    between_zones_s=0.001,
    to_clients_s=0.003,
    model_service="drafter",
    model="drafter-3b",
    prefill=2,
    decode=2,
    engine_arguments=(
        "--model",
        "drafter-3b",
        "--prefill-tokens-per-s",
        "5000",
        "--step-base-s",
        "0.035",
    ),
    plain_service="bookings",
    plain=3,
    phrase="wind 12 kn from the west, high water 14:10, portage at the weir. ",
    prompt_words=(60, 200),
    configuration="loch-ashie.json",
)

PLANS = (FJELLPULVER, LOCH_ASHIE)


def start(plan: Plan, entry_hosts: int) -> processes.Deployment:
    """Starts the stand-ins and daemons of ``plan``, without configuration.

    All processes run on one computer, so each call to a stand-in is delayed by
    the round trip between two availability zones.
    """
    made = processes.Deployment(plan.region)
    try:
        roles = ["prefill"] * plan.prefill + ["decode"] * plan.decode
        for index, role in enumerate(roles):
            zone = plan.zones[index % len(plan.zones)]
            made.add_replica(
                plan.model_service, zone, role, plan.engine_arguments
            )
        for index in range(plan.plain):
            zone = plan.zones[index % len(plan.zones)]
            made.add_replica(plan.plain_service, zone, "plain")
        for process in made.processes:
            delay = {"delay_s": 2 * plan.between_zones_s}
            processes.put(process.address, "/_faults", delay)
        for index in range(entry_hosts):
            made.add_daemon(plan.zones[index % len(plan.zones)])
    except BaseException:
        made.close()
        raise
    return made


def run_ctl(
    made: processes.Deployment, *words: str
) -> subprocess.CompletedProcess:
    """Runs the ``hemlockreel`` command against the store of ``made``."""
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "hemlockreel_ctl.main",
            *words,
            "--store",
            made.store.address,
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def configure(made: processes.Deployment, plan: Plan) -> str:
    """Applies the configuration of ``plan``; returns the command's output.

    Waits until the configuration is in force at all running daemons.
    """
    path = EXAMPLES / plan.configuration
    wait = f"{READY_TIMEOUT_S:g}"
    done = run_ctl(made, "apply", "-f", str(path), "--wait", wait)
    if done.returncode != 0:
        raise RuntimeError(f"hemlockreel apply failed: {done.stderr}")
    return done.stdout


def await_ready(made: processes.Deployment) -> None:
    """Waits until all daemons are ready for callers."""
    for daemon in made.daemons:
        daemon.await_ready(READY_TIMEOUT_S)


def targets(plan: Plan) -> dict[str, Any]:
    """Returns the value of the model pool that ``plan`` declares."""
    declared = json.loads((EXAMPLES / plan.configuration).read_text())
    return next(
        item["value"] for item in declared if item["kind"] == "modelpools"
    )
