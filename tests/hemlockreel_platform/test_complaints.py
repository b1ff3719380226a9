"""What operators of similar systems complain about, on the platform's path.

Each case runs a real daemon before stand-ins on sockets.
"""

import signal
import threading
import time

import pytest

from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

MODEL = {"Hemlockreel-Model": "m", "Hemlockreel-Token-Counts": "1460,80"}
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
LEFT_MS = "1500"
MOVE_S = 0.2  # from a caller's first refusal until it uses other hosts only


@pytest.fixture
def site(tmp_path):
    with platform_site.Site(tmp_path) as started:
        yield started


def send(site, method, path, headers=None):
    address = site.daemons[0].listen["frontend"]
    return platform_site.send(address, method, path, headers or {})


def test_a_slow_but_sound_stream_is_not_cut(site):
    site.decode.event_gap_s = 0.7
    status, _, body = send(site, "POST", "/drafts/1", MODEL)
    assert (status, body) == (200, EVENTS)


def test_a_stalled_stream_ends_with_the_time_of_its_caller(site):
    """A byte now and then is no sign of life."""
    site.decode.mode = "stalled_stream"
    started = time.monotonic()
    headers = {**MODEL, "Hemlockreel-Deadline-Ms": LEFT_MS}
    with pytest.raises(Exception, match=r"(?i)incomplete|broken|reset"):
        send(site, "POST", "/drafts/1", headers)
    assert time.monotonic() - started < 2.5
    assert site.decode.closed_early.wait(2.0)


# MIXED of issue 36: an answer that was cut in its head was an empty success.
@pytest.mark.parametrize(
    "mode", ["torn", "torn_head", "torn_chunk", "reset", "no_bytes"]
)
def test_an_answer_that_breaks_off_is_no_success(site, mode):
    site.plain.mode = mode
    for path in ("/lookups/1", "/deposits/1"):
        status, _, _ = send(site, "POST", path)
        assert status >= 400


def test_a_stream_that_breaks_off_in_its_head_is_no_success(site):
    site.decode.mode = "torn_head"
    assert send(site, "POST", "/drafts/1", MODEL)[0] >= 400


def test_a_planned_stop_cuts_no_request_that_was_just_accepted(site):
    """Callers move elsewhere a moment after the host refuses the first."""
    daemon = site.daemons[0]
    found = []

    def call():
        leaves_at = float("inf")
        while time.monotonic() < leaves_at:
            try:
                found.append(send(site, "GET", "/lookups/1")[0])
            except Exception as error:
                found.append(repr(error))
            if found[-1] != 200 and leaves_at == float("inf"):
                leaves_at = time.monotonic() + MOVE_S
            time.sleep(0.02)

    callers = [threading.Thread(target=call) for _ in range(3)]
    for each in callers:
        each.start()
    processes.await_that(lambda: len(found) > 50, 5.0, "the callers send")
    daemon.process.send_signal(signal.SIGTERM)
    assert daemon.process.wait(12.0) == 0
    for each in callers:
        each.join()
    assert set(found) == {200, 503}
