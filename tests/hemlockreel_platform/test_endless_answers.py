"""One replica of several pours bytes without end into a real daemon.

The report of issue 36: a machine kept them all, ran out of memory, and the
requests of other clients ended with it.
"""

import pathlib
import re
import threading

import pytest

from hemlockreel_standins import platform_replica
from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

TARGET_MB = 64  # the memory of an entry host
TOGETHER = 36  # callers at once; a third meet the faulty replica
ROUNDS = 3
MODEL = {"Hemlockreel-Model": "m", "Hemlockreel-Token-Counts": "1460,80"}


@pytest.fixture
def site(tmp_path):
    with platform_site.Site(tmp_path) as started:
        others = [platform_replica.Replica() for _ in range(2)]
        for number, each in enumerate(others):
            started.register(f"i-plain-{number}", each, "bookings")
        processes.await_that(
            lambda: call_together(started, "/lookups/") and others[1].runs(),
            10.0,
            "all replicas are used",
        )
        yield started
        for each in others:
            each.close()


def call(site, path, number, headers, found):
    """Sends a request like no other, as crashes under one are held back."""
    address = site.daemons[0].listen["frontend"]
    sent = {**headers, "Hemlockreel-Request-Id": f"r{number}"}
    path += str(number)
    try:
        found.append(platform_site.send(address, "POST", path, sent)[0])
    except Exception as error:
        found.append(repr(error))


def call_together(site, path, headers=None):
    """Returns the statuses of rounds of simultaneous requests."""
    found = []
    for first in range(0, ROUNDS * TOGETHER, TOGETHER):
        callers = [
            threading.Thread(
                target=call, args=(site, path, number, headers or {}, found)
            )
            for number in range(first, first + TOGETHER)
        ]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
    return found


def peak_mb(site):
    """Returns the largest memory that the daemon has had, in MB."""
    pid = site.daemons[0].process.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1000


@pytest.mark.parametrize(
    "mode",
    ["endless", "endless_body", "endless_chunks", "endless_trailers"],
)
def test_answers_without_end_cost_neither_memory_nor_others(site, mode):
    site.plain.mode = mode
    assert set(call_together(site, "/lookups/")) == {200}
    assert site.daemons[0].process.poll() is None
    assert peak_mb(site) < TARGET_MB


def test_streams_with_endless_events_cost_neither_memory_nor_others(site):
    site.decode.memory = 10**9
    site.decode.mode = "endless_event"
    call_together(site, "/drafts/", MODEL)
    assert set(call_together(site, "/lookups/")) == {200}
    assert site.daemons[0].process.poll() is None
    assert peak_mb(site) < TARGET_MB
