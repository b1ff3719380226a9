"""Measures the memory of an idle process, import by import."""

import subprocess
import sys
from typing import NamedTuple

# Labels and imports, in the order in which a daemon imports them.
STEPS = (
    ("Python itself", "pass"),
    ("standard library used", "import argparse, json, logging, queue, random"),
    ("msgspec, xxhash", "import msgspec, xxhash"),
    ("hemlockreel (core)", "from hemlockreel import core, messages"),
    ("urllib3", "import urllib3"),
    ("pynng", "import pynng"),
    ("cherrypy, cheroot", "import cherrypy; from cheroot import wsgi"),
    ("prometheus_client", "import prometheus_client"),
    ("pythonjsonlogger", "from pythonjsonlogger import json as logger"),
    (
        "opentelemetry.sdk",
        "from opentelemetry.sdk import trace, resources\n"
        "from opentelemetry.trace.propagation import tracecontext",
    ),
    ("hemlockreel_daemon", "import hemlockreel_daemon.main"),
)
COMMAND_LINE_STEPS = (
    ("Python itself", "pass"),
    ("hemlockreel_ctl", "import hemlockreel_ctl.main"),
)
PRINT_RESIDENT = """
def resident():
    with open("/proc/self/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
print(resident())
"""


class Step(NamedTuple):
    """The resident memory after a step and its increase, in MB."""

    name: str
    total: float
    added: float


def measure(steps: tuple[tuple[str, str], ...]) -> list[Step]:
    """Returns the resident memory after each of ``steps`` in a new process.

    A step is a label and the code to run.
    """
    script = [PRINT_RESIDENT]
    for _, code in steps:
        script += [code, "print(resident())"]
    done = subprocess.run(
        [sys.executable, "-c", "\n".join(script)],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    # The first value is from before the first step.
    totals = [int(line) * 1024 / 1e6 for line in done.stdout.split()][1:]
    measured = []
    before = 0.0
    for (name, _), total in zip(steps, totals, strict=True):
        measured.append(Step(name, total, total - before))
        before = total
    return measured
