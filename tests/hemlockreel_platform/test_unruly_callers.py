"""Callers outside the limits must not end a daemon or shut out others.

The settings state little memory and few descriptors, so that small crowds
show what large ones do to a host. While the crowd's connections are open, the
daemon must live within both, and answer an ordinary request.
"""

import contextlib
import os
import pathlib
import re
import socket
import threading

import pytest

from hemlockreel_standins import platform_site
from hemlockreel_standins import raw_caller

MEMORY_MB = 96
MAX_DESCRIPTORS = 300
SETTINGS = (
    f"limits.memory_mb={MEMORY_MB}",
    f"limits.max_fds={MAX_DESCRIPTORS}",
)
TOGETHER = 40  # callers that send much
MANY = 300  # callers that send little and stay open
PART = 64 * 1024
PARTS = 128  # of a caller, 8 MB; the limit of a body is 4 MB
NEAR_LIMIT = 63  # parts of a body that stops just short of the limit
SMALL_CHUNKS = 32 * 1024  # of a caller
ANSWER_BYTES = 4 * 2**20
WAIT_S = 20.0  # for a send that makes no progress, then the caller is silent

START = (
    b"POST /deposits/1 HTTP/1.1\r\n"
    b"Host: kayak.example\r\n"
    b"Hemlockreel-Request-Id: 5b0c\r\n"
)
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PART, b"x" * PART)


def with_length(length):
    return START + b"Content-Length: %d\r\n\r\n" % length


LARGE = {
    "size_line": [CHUNKED, *[b"0" * PART] * PARTS],
    "large_chunks": [CHUNKED, *[CHUNK] * PARTS],
    "chunks_near_limit": [CHUNKED, *[CHUNK] * NEAR_LIMIT],
    "length_near_limit": [with_length(4194304), *[CHUNK] * NEAR_LIMIT],
    "small_chunks": [CHUNKED, b"1\r\nx\r\n" * SMALL_CHUNKS],
    "trailers": [CHUNKED, b"0\r\n", *[b"X-A: 1\r\n" * (PART // 8)] * PARTS],
    "trailer_line": [CHUNKED, b"0\r\nX-A: ", *[b"x" * PART] * PARTS],
    "header_line": [START, b"X-A: ", *[b"x" * PART] * PARTS],
    "headers": [START, *[b"X-A: 1\r\n" * (PART // 8)] * PARTS],
    "announced": [with_length(4 * 2**30), *[b"x" * PART] * PARTS],
    "not_announced": [with_length(1), *[b"x" * PART] * PARTS],
}
# A whole head with many lines, whose objects are larger than its bytes.
LINES = START + b"".join(b"%x:\r\n" % each for each in range(2000))
SILENT = {
    "half_lines": LINES + b"Content-Length: 9\r\n\r\n",
    "nothing": b"",
    "half_head": START,
    "half_body": with_length(1000) + b"x" * 10,
    "half_chunk": CHUNKED + b"a\r\nx",
}


class Crowd:
    """Callers whose connections stay open, as a context manager."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._socks = []

    def __enter__(self):
        return self

    def __exit__(self, *details):
        for each in self._socks:
            each.close()

    def send(self, parts):
        """Sends until the daemon closes, as one of the callers."""
        with contextlib.suppress(OSError):
            sock = socket.create_connection(self._address, WAIT_S)
            self._socks.append(sock)
            for part in parts:
                sock.sendall(part)

    def send_and_read_a_byte(self, parts):
        with contextlib.suppress(OSError):
            sock = socket.create_connection(self._address, WAIT_S)
            self._socks.append(sock)
            sock.sendall(b"".join(parts))
            sock.recv(1)

    def call_together(self, call, parts):
        callers = [
            threading.Thread(target=call, args=(parts,))
            for _ in range(TOGETHER)
        ]
        for each in callers:
            each.start()
        for each in callers:
            each.join()

    def send_bytes(self, data):
        """Sends a byte on each connection that is still open."""
        for each in self._socks:
            with contextlib.suppress(OSError):
                each.sendall(data)


@pytest.fixture
def site(tmp_path):
    with platform_site.Site(tmp_path, more=SETTINGS) as started:
        yield started


@pytest.fixture
def roomy_site(tmp_path):
    """A site whose descriptors are enough for all callers."""
    with platform_site.Site(tmp_path, more=SETTINGS[:1]) as started:
        yield started


@pytest.fixture
def crowd(site):
    with Crowd(site.daemons[0].listen["frontend"]) as callers:
        yield callers


def check(site, most_descriptors=MAX_DESCRIPTORS):
    """Checks the bounds, and that an ordinary request is answered."""
    process = site.daemons[0].process
    folder = pathlib.Path(f"/proc/{process.pid}")
    address = site.daemons[0].listen["frontend"]
    descriptors = len(os.listdir(folder / "fd"))
    site.plain.body = b"the answer"
    status, _, body = platform_site.send(address, "GET", "/lookups/1", {})
    assert (status, body) == (200, b"the answer")
    assert process.poll() is None
    peak = re.search(r"VmHWM:\s+(\d+) kB", (folder / "status").read_text())
    print(f"peak {int(peak[1]) / 1000} MB, {descriptors} descriptors")
    assert int(peak[1]) / 1000 < MEMORY_MB
    assert descriptors < most_descriptors


@pytest.mark.parametrize("kind", LARGE)
def test_callers_that_send_much(site, crowd, kind):
    crowd.call_together(crowd.send, LARGE[kind])
    check(site)


@pytest.mark.parametrize("kind", SILENT)
def test_many_callers_that_stay_silent(site, crowd, kind):
    for _ in range(MANY):
        crowd.send([SILENT[kind]])
    check(site)


def test_heads_that_arrive_byte_by_byte(site, crowd):
    for _ in range(MANY):
        crowd.send([START + b"X-A: "])
    ended = threading.Event()

    def trickle():
        while not ended.wait(0.2):
            crowd.send_bytes(b"x")

    sender = threading.Thread(target=trickle)
    sender.start()
    try:
        check(site)
    finally:
        ended.set()
        sender.join()


def test_callers_that_do_not_read(site, crowd):
    site.plain.body = b"x" * ANSWER_BYTES
    for _ in range(TOGETHER):
        # One by one, as the answers that are being received are bounded.
        crowd.send_and_read_a_byte([with_length(0)])
    check(site)


@pytest.mark.parametrize("kind", SILENT)
def test_silent_callers_that_need_more_threads_than_there_are(
    roomy_site, kind
):
    with Crowd(roomy_site.daemons[0].listen["frontend"]) as callers:
        for _ in range(MANY):
            callers.send([SILENT[kind]])
        check(roomy_site, 10 * MAX_DESCRIPTORS)


@pytest.mark.parametrize(
    "parts",
    [
        [with_length(4194304), *[b"x" * PART] * 64],
        [CHUNKED, *[CHUNK] * 64, b"0\r\nX-A: 1\r\n\r\n"],
        [CHUNKED, b"1\r\nx\r\n" * SMALL_CHUNKS, b"0\r\n\r\n"],
        [START, b"X-A: %b\r\n" % (b"x" * 180) * 85, b"\r\n"],
    ],
    ids=["length", "chunks", "small_chunks", "head"],
)
def test_single_request_inside_the_limits_is_served(site, parts):
    address = site.daemons[0].listen["frontend"]
    with raw_caller.send_raw(address, b"".join(parts)) as sock:
        assert sock.recv(12) == b"HTTP/1.1 200"
    check(site)
