"""Measures the goodput of real processes before, during and after a fault.

Run by `make faults`. Each fault is caused in a new deployment under a steady
load, which is `--share` of the capacity of the decode engines.
"""

import argparse
from collections.abc import Callable
import signal
import sys
import threading
import time
from typing import NamedTuple

from . import caller_load
from . import processes

REGION = "midt-norge"
ZONES = ("trondheim-a", "trondheim-b", "orkanger")
FIRST_TOKEN_S = 1.9
BETWEEN_S = 0.079
DECODE_ENGINES = 3
BATCH_REQUESTS = 20  # that fit into an engine's KV cache
# Duration of a stand-in engine's decode step with a full batch.
STEP_S = 0.025 + 0.002 * BATCH_REQUESTS
WARM_UP_S = 3.0
BEFORE_S = 8.0
FAULT_S = 8.0
RECOVERY_S = 10.0  # allowed for goodput to recover
AFTER_S = 8.0
SEED = 20261203

POOL = {"service": "lesar", "model": "lesar-7b", "max_output_tokens": 48}


class Fault(NamedTuple):
    """A fault, with functions that start and end it."""

    name: str
    start: Callable[[processes.Deployment], None]
    end: Callable[[processes.Deployment], None]


def _set_faults(process: processes.Process, **faults) -> None:
    processes.put(process.address, "/_faults", faults)


def _last_decode_engine(deployment: processes.Deployment) -> processes.Process:
    """Returns the last decode engine."""
    return [
        process
        for process in deployment.processes
        if process.name.startswith("engine")
    ][-1]


def _do_nothing(deployment: processes.Deployment) -> None:
    """Stands for a fault that needs no start or no end."""


FAULTS = (
    Fault("none", _do_nothing, _do_nothing),
    Fault(
        "store down",
        lambda deployment: _set_faults(deployment.store, outage=True),
        lambda deployment: _set_faults(deployment.store, outage=False),
    ),
    Fault(
        "entry host killed",
        lambda deployment: deployment.daemons[1].kill(),
        _do_nothing,
    ),
    Fault(
        "entry host frozen",
        lambda deployment: deployment.daemons[1].signal(signal.SIGSTOP),
        lambda deployment: deployment.daemons[1].signal(signal.SIGCONT),
    ),
    Fault(
        "decode engine frozen",
        lambda deployment: _set_faults(
            _last_decode_engine(deployment), freeze=True
        ),
        lambda deployment: _set_faults(
            _last_decode_engine(deployment), freeze=False
        ),
    ),
    Fault(
        "decode engine slow",
        lambda deployment: _set_faults(
            _last_decode_engine(deployment), slow_factor=3.0
        ),
        lambda deployment: _set_faults(
            _last_decode_engine(deployment), slow_factor=1.0
        ),
    ),
    Fault(
        "host list silent",
        lambda deployment: _set_faults(deployment.host_list, silent=True),
        lambda deployment: _set_faults(deployment.host_list, silent=False),
    ),
)


class Row(NamedTuple):
    """The figures before, during and after one fault."""

    name: str
    before: caller_load.Summary
    during: caller_load.Summary
    after: caller_load.Summary


def capacity() -> float:
    """Returns the requests per second that the decode engines can serve."""
    return (
        DECODE_ENGINES * BATCH_REQUESTS / (POOL["max_output_tokens"] * STEP_S)
    )


def start() -> processes.Deployment:
    """Starts Fjellpulver's model service with three daemons."""
    deployment = processes.Deployment(REGION)
    roles = ["prefill"] * 2 + ["decode"] * DECODE_ENGINES
    for index, role in enumerate(roles):
        deployment.add_replica("lesar", ZONES[index % len(ZONES)], role)
    deployment.apply("modelpools", "lesar", POOL)
    for zone in ZONES:
        deployment.add_daemon(zone)
    for daemon in deployment.daemons:
        daemon.await_ready()
    return deployment


def measure(fault: Fault, rate: float) -> Row:
    """Causes ``fault`` in a new deployment under a steady load.

    ``rate`` is in requests per second.
    """
    fault_at = WARM_UP_S + BEFORE_S
    fault_ends = fault_at + FAULT_S
    after_at = fault_ends + RECOVERY_S
    ends = after_at + AFTER_S
    with start() as deployment:
        load = caller_load.Load(rate, ends, SEED, POOL["model"])
        addresses = [daemon.callers for daemon in deployment.daemons]
        callers = caller_load.Callers(load, addresses)
        timers = [
            threading.Timer(fault_at, fault.start, (deployment,)),
            threading.Timer(fault_ends, fault.end, (deployment,)),
        ]
        for timer in timers:
            timer.start()
        samples = callers.run()

    def between(begin_s: float, end_s: float) -> caller_load.Summary:
        return caller_load.summarise(
            samples, begin_s, end_s, FIRST_TOKEN_S, BETWEEN_S
        )

    return Row(
        fault.name,
        between(WARM_UP_S, fault_at),
        between(fault_at, fault_ends),
        between(after_at, ends),
    )


def format_row(row: Row) -> str:
    """Returns the table lines of one fault."""
    lines = []
    phases = (
        ("before", row.before),
        ("fault", row.during),
        ("after", row.after),
    )
    for name, summary in phases:
        outcomes = " ".join(
            f"{outcome}={count}"
            for outcome, count in sorted(summary.outcomes.items())
        )
        lines.append(
            f"{row.name:22} {name:7} {summary.goodput:6.2f}/s "
            f"first token {_format_ms(summary.first_token_ms)} "
            f"between {_format_ms(summary.between_ms)} "
            f"slowest refusal {summary.slowest_refusal_ms:5.0f} "
            f"returns {summary.returns:3d}  {outcomes}"
        )
    return "\n".join(lines)


def _format_ms(percentiles: tuple[float, float, float]) -> str:
    return "/".join(f"{value:.0f}" for value in percentiles)


def main() -> int:
    """Measures the chosen faults and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--share", type=float, default=0.8)
    parser.add_argument("--only", default="", help="names, with commas")
    options = parser.parse_args()
    rate = options.share * capacity()
    print(f"load {rate:.1f}/s of {capacity():.1f}/s, times in ms at 50/95/99%")
    started = time.monotonic()
    for fault in FAULTS:
        if not options.only or fault.name in options.only.split(","):
            print(format_row(measure(fault, rate)), flush=True)
    print(f"took {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
