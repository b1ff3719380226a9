"""Samples the memory, processor time and traffic of processes.

Memory and processor time come from ``/proc``, traffic from the metrics of the
daemon under :mod:`probe`.
"""

import collections
import os
import pathlib
import time
from typing import NamedTuple

from prometheus_client import parser

from . import processes

CLOCK_HZ = os.sysconf("SC_CLK_TCK")
MB = 1e6
CONTROL_LINKS = ("peers", "store", "host_list", "engine_control")


class Sample(NamedTuple):
    """The usage counters of one process at one time.

    ``resident`` is in bytes, ``processor_s`` in seconds since the start.
    ``sent`` and ``received`` are bytes by link, ``messages`` counts by link,
    direction and type; all three are empty for a process without a probe.
    """

    at: float
    resident: int
    processor_s: float
    threads: int
    sent: dict[str, float]
    received: dict[str, float]
    messages: dict[tuple[str, str, str], float]


class Usage(NamedTuple):
    """The usage of a process between two samples.

    ``resident`` is in bytes at the end, ``processor`` the share of one core,
    ``sent`` and ``received`` are bytes per second by link, ``messages`` are
    messages per second.
    """

    resident: float
    processor: float
    sent: dict[str, float]
    received: dict[str, float]
    messages: dict[tuple[str, str, str], float]

    def control_sent(self) -> float:
        """Returns bytes per second sent on all links but that of the data."""
        return sum(rate for link, rate in self.sent.items() if link != "data")

    def control_received(self) -> float:
        """Returns bytes per second received on the control links."""
        return sum(self.received.get(link, 0.0) for link in CONTROL_LINKS)


def take_sample(daemon: processes.Process) -> Sample:
    """Samples a process, with the counts of its probe if it is a daemon."""
    resident, threads = _read_status(daemon.pid)
    sent: dict[str, float] = {}
    received: dict[str, float] = {}
    messages: dict[tuple[str, str, str], float] = {}
    if isinstance(daemon, processes.DaemonProcess):
        for metric in _read_metrics(daemon.operators):
            labels = metric.labels
            if metric.name == "hemlockreel_probe_bytes":
                target = sent if labels["direction"] == "sent" else received
                target[labels["link"]] = metric.value
            elif metric.name == "hemlockreel_probe_messages":
                key = (labels["link"], labels["direction"], labels["type"])
                messages[key] = metric.value
    return Sample(
        time.monotonic(),
        resident,
        read_processor_s(daemon.pid),
        threads,
        sent,
        received,
        messages,
    )


def read_processor_s(pid: int) -> float:
    """Returns the user and system time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_HZ


def between(before: Sample, after: Sample) -> Usage:
    """Returns the usage between two samples of a process."""
    elapsed_s = after.at - before.at
    return Usage(
        after.resident,
        (after.processor_s - before.processor_s) / elapsed_s,
        _rates(before.sent, after.sent, elapsed_s),
        _rates(before.received, after.received, elapsed_s),
        _rates(before.messages, after.messages, elapsed_s),
    )


def mean(usages: list[Usage]) -> Usage:
    """Returns the mean usage of several processes."""
    return Usage(
        sum(usage.resident for usage in usages) / len(usages),
        sum(usage.processor for usage in usages) / len(usages),
        _mean_rates([usage.sent for usage in usages]),
        _mean_rates([usage.received for usage in usages]),
        _mean_rates([usage.messages for usage in usages]),
    )


def measure_usages(
    daemons: list[processes.DaemonProcess], seconds: float
) -> list[Usage]:
    """Returns the usage of each daemon in the next ``seconds``."""
    before = [take_sample(daemon) for daemon in daemons]
    time.sleep(seconds)
    return [
        between(first, take_sample(daemon))
        for first, daemon in zip(before, daemons, strict=True)
    ]


def _read_status(pid: int) -> tuple[int, int]:
    values = {}
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        values[name] = value.split()
    return int(values["VmRSS"][0]) * 1024, int(values["Threads"][0])


def _read_metrics(address: str):
    url = f"http://{address}/metrics"
    text = processes.HTTP.request("GET", url).data.decode()
    for family in parser.text_string_to_metric_families(text):
        yield from family.samples


def _rates(before: dict, after: dict, elapsed_s: float) -> dict:
    return {
        key: (value - before.get(key, 0.0)) / elapsed_s
        for key, value in after.items()
    }


def _mean_rates(rates: list[dict]) -> dict:
    total: collections.Counter = collections.Counter()
    for each in rates:
        total.update(each)
    return {key: value / len(rates) for key, value in total.items()}
