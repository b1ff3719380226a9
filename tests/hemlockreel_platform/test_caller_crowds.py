"""Crowds that come again, at every listener of a daemon.

Unlike the callers of ``test_unruly_callers``, these come again when they are
closed, are many, and meet a daemon that has the descriptors for all of them.
While they are there, the daemon lives within its memory and descriptors, and
an ordinary caller, which tries again as the pages say, gets its answer.
"""

from http import client
import re
import time

import pytest

from hemlockreel import messages
from hemlockreel_standins import caller_crowd
from hemlockreel_standins import platform_site
from hemlockreel_standins import process_usage

CROWD_S = 8.0
TRIES = 3  # of an ordinary caller, each on a new connection
PART = 64 * 1024
NEAR_LIMIT = 63  # parts of a body that stops just short of the limit, 4 MB
ANSWER = b"x" * 4 * 2**20
SLOW_BYTES_PER_S = 40_000

START = (
    b"POST /deposits/1 HTTP/1.1\r\n"
    b"Host: kayak.example\r\n"
    b"Hemlockreel-Request-Id: 5b0c\r\n"
)
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PART, b"x" * PART)
SMALL_CHUNKS = b"1\r\nx\r\n" * 1024
LARGE_ANSWER = START.replace(b"POST /deposits/1", b"GET /lookups/large")
STREAM = (
    START.replace(b"/deposits/1", b"/drafts/1")
    + b"Hemlockreel-Model: m\r\nHemlockreel-Token-Counts: 1460,80\r\n"
    + b"Content-Length: 0\r\n\r\n"
)
RESOLVE = b"GET /api/resolve?zone=highlands-a HTTP/1.1\r\nHost: a\r\n\r\n"
METRICS = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
# The head of a pushing socket of NNG, and one of a message of 1 MiB.
PUSH = b"\x00SP\x00\x00\x50\x00\x00"
MESSAGE = (2**20).to_bytes(8, "big")
RELEASE = messages.encode(
    messages.Release(
        sender="127.0.0.1:1", epoch=1, grant_id=1, request_id="a", clean=True
    )
)
SMALL_MESSAGE = len(RELEASE).to_bytes(8, "big") + RELEASE

Script = caller_crowd.Script


def with_length(length):
    return START + b"Content-Length: %d\r\n\r\n" % length


SENDERS = {
    "endless_chunks": Script(CHUNKED, CHUNK),
    "endless_small_chunks": Script(CHUNKED, SMALL_CHUNKS),
    "chunks_near_limit": Script(CHUNKED, CHUNK, NEAR_LIMIT),
    "small_chunks_near_end": Script(CHUNKED, SMALL_CHUNKS, 32),
    "length_near_limit": Script(with_length(2**22), b"x" * PART, NEAR_LIMIT),
    "announced": Script(with_length(2**32), b"x" * PART),
    "not_announced": Script(with_length(1), b"x" * PART),
    "size_line": Script(CHUNKED, b"0" * PART),
    "trailers": Script(CHUNKED + b"0\r\n", b"X-A: 1\r\n" * 1024),
    "headers": Script(START, b"X-A: 1\r\n" * 1024),
    "half_bodies_then_gone": Script(CHUNKED, CHUNK, 8, leaves=True),
    "whole_bodies": Script(CHUNKED, CHUNK * NEAR_LIMIT + b"0\r\n\r\n", 1),
}
READERS = {
    "slow_answers": (
        200,
        1535,
        Script(LARGE_ANSWER + b"\r\n", read_bytes_per_s=SLOW_BYTES_PER_S),
    ),
    "unread_answers": (
        200,
        1535,
        Script(LARGE_ANSWER + b"\r\n", read_bytes_per_s=0),
    ),
    "unread_streams_in_a_row": (
        80,
        300,
        Script(STREAM * 20, read_bytes_per_s=0),
    ),
    "unread_answers_in_a_row": (
        80,
        300,
        Script((LARGE_ANSWER + b"\r\n") * 20, read_bytes_per_s=0),
    ),
    "streams_in_a_row_left_open": (80, 300, Script(STREAM * 20)),
}
OTHERS = {
    "directory_silent": ("directory", Script()),
    "directory_chunks": (
        "directory",
        Script(CHUNKED.replace(b"/deposits/1", b"/api/resolve"), CHUNK),
    ),
    "directory_in_a_row": ("directory", Script(RESOLVE * 500)),
    "directory_unread": (
        "directory",
        Script(RESOLVE, RESOLVE * 50, read_bytes_per_s=0),
    ),
    "ready_silent": ("ready", Script()),
    "ready_unread": (
        "ready",
        Script(RESOLVE, RESOLVE * 50, read_bytes_per_s=0),
    ),
    "operators_silent": ("operators", Script()),
    "operators_chunks": (
        "operators",
        Script(CHUNKED.replace(b"/deposits/1", b"/metrics"), CHUNK),
    ),
    "operators_unread": (
        "operators",
        Script(METRICS, METRICS * 50, read_bytes_per_s=0),
    ),
    "paths_silent": ("paths", Script()),
    "paths_bytes": ("paths", Script(b"", b"x" * PART)),
    "peers_silent": ("control_plane", Script()),
    "peers_bytes": ("control_plane", Script(b"", b"x" * PART)),
    "peers_silent_pushers": ("control_plane", Script(PUSH)),
    "peers_half_messages": (
        "control_plane",
        Script(PUSH + MESSAGE, b"x" * PART, 15),
    ),
    "peers_messages": (
        "control_plane",
        Script(PUSH, MESSAGE + b"x" * 2**20),
    ),
    "peers_small_messages": (
        "control_plane",
        Script(PUSH, SMALL_MESSAGE * 1024),
    ),
}


def play(folder, memory_mb, descriptors, script, count, listener="frontend"):
    """Lets a crowd come to a listener, and checks the bounds."""
    settings = (
        f"limits.memory_mb={memory_mb}",
        f"limits.max_fds={descriptors}",
    )
    with platform_site.Site(folder, more=settings) as site:
        site.plain.bodies["/lookups/large"] = ANSWER
        site.plain.body = b"the answer"
        daemon = site.daemons[0]
        listen = {
            **daemon.listen,
            "operators": daemon.operators,
            "paths": daemon.paths,
        }
        ports = tuple(int(each.rpartition(":")[2]) for each in listen.values())
        with (
            process_usage.Usage(daemon.process.pid, ports) as usage,
            caller_crowd.Crowd(listen[listener], script, count),
        ):
            during = watch_lookups(listen["frontend"])
            found = {
                "lookup": look_up(listen["frontend"]),
                "address": try_get(listen["directory"], "/api/resolve"),
                "ready": try_get(listen["ready"], "/api/ready"),
            }
        status = (usage.folder / "status").read_text()
    peak = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert peak is not None, "the process has ended"
    peak_bytes = int(peak[1]) * 1024
    print(
        f"peak {peak_bytes / 1e6:.0f} MB, with unread bytes "
        f"{usage.memory / 1e6:.0f} MB, most unread {usage.unread / 1e6:.1f} "
        f"MB, {usage.descriptors} descriptors; during the crowd {during}, "
        f"after {CROWD_S:.0f} s of it {found}"
    )
    assert peak_bytes < memory_mb * 10**6
    assert usage.memory < memory_mb * 10**6
    assert usage.descriptors < descriptors
    assert found == {"lookup": 200, "address": 200, "ready": 200}


def watch_lookups(address):
    """Returns the statuses of lookups, one at a time, while a crowd is here.

    They are shown and not checked, as their number depends on the machine.
    """
    ends_at = time.monotonic() + CROWD_S
    found = []
    while time.monotonic() < ends_at:
        found.append(look_up(address, 1))
        time.sleep(0.5)
    return found


def look_up(address, tries=TRIES):
    """Returns the status of an ordinary request, ``None`` without answer."""
    return try_get(address, "/lookups/1", tries)


def try_get(address, path, tries=TRIES):
    found = None
    for _ in range(tries):
        try:
            found, headers, _ = platform_site.send(address, "GET", path, {})
        except (OSError, client.HTTPException):
            continue
        if found == 200:
            break
        time.sleep(float(headers.get("Retry-After", 0)))
    return found


@pytest.mark.parametrize("kind", SENDERS)
def test_callers_that_send(tmp_path, kind):
    play(tmp_path, 96, 1535, SENDERS[kind], 200)


@pytest.mark.parametrize("kind", list(SENDERS)[:3])
def test_more_callers_that_send(tmp_path, kind):
    play(tmp_path, 136, 1535, SENDERS[kind], 500)


@pytest.mark.parametrize("kind", READERS)
def test_callers_that_read_little(tmp_path, kind):
    count, descriptors, script = READERS[kind]
    play(tmp_path, 96, descriptors, script, count)


@pytest.mark.parametrize("kind", OTHERS)
def test_other_listeners(tmp_path, kind):
    listener, script = OTHERS[kind]
    play(tmp_path, 96, 300, script, 300, listener)
