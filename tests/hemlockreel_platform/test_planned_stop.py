"""A planned stop while callers go on sending until the process is gone.

The report of issue 36: requests that came late in the grace were passed on and
cut at its end without an answer, among them some that may not be repeated.
"""

import itertools
import signal
import threading
import time

import pytest

from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

GRACE_S = 4.0  # of the stand-in's settings
CALLERS = 12
PAUSE_S = 0.05


@pytest.fixture
def site(tmp_path):
    with platform_site.Site(tmp_path) as started:
        yield started


class Caller:
    """Sends requests one after the other, each with an id of its own.

    It keeps its connection while the host allows that. ``found`` lists the id
    of each request with its status, or with the error that ended it.
    """

    numbers = itertools.count()

    def __init__(self, address, path):
        self._address = address
        self._path = path
        self.found = []
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        link = None
        while True:
            id = f"s{next(self.numbers)}"
            try:
                link = link or processes.connect(self._address)
                link.connect() if link.sock is None else None
            except OSError:
                return  # the process is gone
            try:
                self.found.append((id, self._send(link, id)))
            except Exception as error:
                self.found.append((id, repr(error)))
                link.close()
            time.sleep(PAUSE_S)

    def _send(self, link, id):
        headers = {
            "Host": platform_site.HOST,
            "Hemlockreel-Request-Id": id,
            "Hemlockreel-Deadline-Ms": "4004",
        }
        link.request("POST", self._path + id, headers=headers)
        response = link.getresponse()
        response.read()
        return response.status


@pytest.mark.parametrize("path", ["/deposits/", "/lookups/"])
@pytest.mark.parametrize("work_s", [0.2, 1.0, 2.5, 3.9])
def test_no_request_is_cut_by_a_planned_stop(site, path, work_s):
    site.plain.mode, site.plain.work_s = "slow", work_s
    process = site.daemons[0].process
    callers = [
        Caller(site.daemons[0].listen["frontend"], path)
        for _ in range(CALLERS)
    ]
    processes.await_that(site.plain.runs, 5.0, "a request runs")
    process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    time.sleep(GRACE_S / 2)
    process.send_signal(signal.SIGTERM)
    assert process.wait(2 * GRACE_S) == 0
    stopped_s = time.monotonic() - stopped_at
    for each in callers:
        each.thread.join()
    found = dict(itertools.chain(*(each.found for each in callers)))
    ran = {
        each.headers["hemlockreel-request-id"] for each in site.plain.runs()
    }
    answered = {id: got for id, got in found.items() if isinstance(got, int)}
    assert not ran - answered.keys()
    assert not {id for id in ran if answered[id] == 503}
    assert set(answered.values()) <= {200, 502, 503, 504}
    assert stopped_s < GRACE_S
