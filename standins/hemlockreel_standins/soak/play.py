"""Runs a plan of faults on a deployment under load, and checks the result."""

import collections
from collections.abc import Callable
import pathlib
import threading
import time
from typing import NamedTuple

from . import callers
from . import plan
from . import promises
from . import records
from . import site

RECOVER_S = 12.0  # the platform's recover_s
OBSERVATION_S = 4.0  # load after the time allowed for recovery
BUG_EVENTS = ("worker_failed", "call_failed", "failed")  # log events
SETTLE_S = 3.0  # without load; longer than unused reservations last


class Result(NamedTuple):
    """The result of one run; ``log`` holds its records."""

    seed: int
    violations: list[promises.Violation]
    steps: int
    statuses: dict[int, int]
    faults_s: float
    log: records.Log


def play(
    seed: int,
    seconds: float,
    hosts: int,
    caller_count: int,
    folder: pathlib.Path,
    choices: plan.Choices = plan.ALL_CHOICES,
) -> Result:
    """Runs the plan for ``seed`` and returns the result.

    ``caller_count`` callers send requests during the faults, the time that
    the platform allows for recovery, and some seconds after it. ``seconds``
    is the time in which faults begin, and the daemons' files go to
    ``folder``.
    """
    log = records.Log()
    steps = plan.make(seed, seconds, hosts, len(site.REPLICAS), choices)
    with site.Site(folder, hosts, log) as deployment:
        stopping = threading.Event()
        threads = _start_callers(deployment, seed, caller_count, stopping)
        began_at = time.monotonic()
        errors = _run_steps(deployment, steps, began_at)
        faults_end = time.monotonic()
        stopping.wait(RECOVER_S)
        recovered = time.monotonic()
        stopping.wait(OBSERVATION_S)
        stopping.set()
        for thread in threads:
            thread.join()
        deployment.closing.wait(SETTLE_S)
        deployment.record_last_version(time.monotonic())
        errors += _read_errors(deployment)
    violations = promises.find_violations(
        log, promises.Bounds(faults_end, recovered)
    )
    violations += [promises.Violation("played", error) for error in errors]
    statuses = collections.Counter(each.status for each in log.sent)
    return Result(
        seed,
        violations,
        len(steps),
        dict(sorted(statuses.items())),
        faults_end - began_at,
        log,
    )


def _start_callers(
    deployment: site.Site,
    seed: int,
    caller_count: int,
    stopping: threading.Event,
) -> list[threading.Thread]:
    directories = [
        host.daemon.listen["directory"] for host in deployment.hosts
    ]
    threads = []
    for number in range(caller_count):
        caller = callers.Caller(
            f"c{number}",
            directories,
            deployment.log,
            seed * caller_count + number,
            refreshes_late=number % 2 == 1,
        )
        thread = threading.Thread(target=caller.run, args=(stopping,))
        thread.start()
        threads.append(thread)
    return threads


def _run_steps(
    deployment: site.Site, steps: list[plan.Step], began_at: float
) -> list[str]:
    """Runs each step at its time; returns the errors of steps that failed."""
    errors: list[str] = []

    def do(step: plan.Step) -> None:
        try:
            _action_for(deployment, step)()
        except Exception as error:
            errors.append(f"{step}: {error!r}")

    threads = []
    for step in steps:
        deployment.closing.wait(
            max(0.0, began_at + step.at_s - time.monotonic())
        )
        thread = threading.Thread(target=do, args=(step,))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return errors


def _read_errors(deployment: site.Site) -> list[str]:
    """Returns the lines of the daemons' logs that indicate a bug."""
    return [
        f"{host.name}: {line}"
        for host in deployment.hosts
        for message in BUG_EVENTS
        for line in host.daemon.lines(message)
    ]


def _action_for(deployment: site.Site, step: plan.Step) -> Callable[[], None]:
    """Returns the function that carries out ``step``."""
    kind = plan.Kind
    host = deployment.hosts[step.index % len(deployment.hosts)]
    replica = deployment.replicas[step.index % len(deployment.replicas)]
    actions = {
        kind.HOST_KILLED: lambda: deployment.kill([host]),
        kind.ALL_KILLED: lambda: deployment.kill(deployment.hosts),
        kind.HOST_FROZEN: lambda: deployment.freeze(host, step.for_s),
        kind.HOST_STOPPED: lambda: deployment.stop(host),
        kind.HOST_RELOADED: lambda: deployment.reload(host),
        kind.STORE_LINK: lambda: deployment.inject_link_fault(
            host.store_link, host.name, step.how, step.for_s
        ),
        kind.STORE_DOWN: lambda: deployment.inject_store_fault(
            "outage", step.for_s
        ),
        kind.STORE_BUSY: lambda: deployment.inject_store_fault(
            "busy", step.for_s
        ),
        kind.STORE_LOSES_ANSWERS: lambda: deployment.inject_store_fault(
            "lose_answers", step.for_s, site.MAX_LOST_ANSWERS
        ),
        kind.STORE_FORGETS: lambda: deployment.inject_store_fault(
            "forget", step.for_s
        ),
        kind.STORE_RESTORED: lambda: deployment.restore_store(step.for_s),
        kind.REPLICA_LINK: lambda: deployment.inject_link_fault(
            replica.link, replica.backend.id, step.how, step.for_s
        ),
        kind.REPLICA_FAILS: lambda: deployment.inject_replica_fault(
            replica, step.how, step.for_s
        ),
        kind.REPLICA_LEAVES: lambda: deployment.replace(replica),
        kind.REPLICA_LOST: lambda: deployment.crash(replica),
        kind.ROUTE_MOVED: deployment.move_route,
        kind.REPLICA_LIMITED: lambda: deployment.limit(replica, step.for_s),
        kind.PART_CRASHES: lambda: deployment.send_crashing_part(
            step.index, step.for_s
        ),
        kind.REQUEST_CRASHES: lambda: deployment.send_crashing_request(
            step.index, step.for_s
        ),
        kind.CUT_OFF: lambda: deployment.cut_off(
            step.index, step.how, step.for_s
        ),
        kind.SOFTWARE_RELEASED: lambda: deployment.release_software(
            step.index
        ),
    }
    return actions[step.kind]
