"""Promises 3 and 9 with real processes: owners and entries that end.

The owner of the one shard is found by what it counts as granted.
"""

import signal
import time

import pytest

from hemlockreel_standins import processes
from hemlockreel_standins import raw_caller

POOL = {
    "service": "lesar",
    "model": "lesar-7b",
    "max_output_tokens": 40000,
    "first_token_ms": 30000,
}
ZONES = ("trondheim-a", "trondheim-b", "orkanger", "trondheim-a")
BOUND_S = 4.0
JOIN_S = 15.0
WHOLE_TOKENS = 300


@pytest.fixture
def made():
    with processes.Deployment("midt-norge") as found:
        found.add_replica("lesar", ZONES[0], "prefill")
        found.decode = found.add_replica("lesar", ZONES[1], "decode")
        found.apply("modelpools", "lesar", POOL)
        for zone in ZONES:
            found.add_daemon(zone)
        for daemon in found.daemons:
            daemon.await_ready()
        await_members(found.daemons, 4)
        time.sleep(2.5)  # new owners settle before they look for orphans
        yield found


def members(daemon):
    return {member["host"] for member in daemon.status()["members"]}


def await_members(daemons, count, bound_s=JOIN_S):
    processes.await_that(
        lambda: all(len(members(daemon)) == count for daemon in daemons),
        bound_s,
        f"not {count} members",
    )


def granted(daemon):
    """Returns how many places a daemon has granted as owner."""
    answer = processes.HTTP.request(
        "GET", f"http://{daemon.operators}/metrics"
    )
    for line in answer.data.decode().splitlines():
        if line.startswith("hemlockreel_grants_total"):
            return float(line.split()[1])
    return 0.0


def asked(tokens):
    return {
        "model": "lesar-7b",
        "prompt": "alloy " * 8,
        "max_tokens": tokens,
        "stream": True,
    }


def start_stream(made, tokens):
    """Starts a stream at a daemon that is not the owner.

    Returns the stream, its entry and the owner.
    """
    first = raw_caller.Stream(made.daemons[0].callers, asked(2))
    first.read_all()
    owner = max(made.daemons, key=granted)
    assert granted(owner) == 1
    entry = next(daemon for daemon in made.daemons if daemon is not owner)
    stream = raw_caller.Stream(entry.callers, asked(tokens))
    stream.read_tokens(3)
    return stream, entry, owner


def held(made):
    return processes.get(made.decode.address, "/v1/requests")["requests"]


def await_free(made, since):
    processes.await_that(
        lambda: not held(made), BOUND_S + 20, f"held: {held(made)}"
    )
    took = time.monotonic() - since
    assert took < BOUND_S, took


def test_memory_is_free_after_the_entry_was_killed(made):
    _, entry, _ = start_stream(made, 40000)
    entry.kill()
    await_free(made, time.monotonic())


def test_memory_is_free_after_the_owner_was_killed_and_the_caller_left(made):
    stream, _, owner = start_stream(made, 40000)
    owner.kill()
    stream.close()
    await_free(made, time.monotonic())


def test_memory_is_free_after_entry_and_owner_were_killed(made):
    _, entry, owner = start_stream(made, 40000)
    owner.kill()
    entry.kill()
    await_free(made, time.monotonic())


def test_stream_is_whole_though_its_owner_was_killed(made):
    stream, _, owner = start_stream(made, WHOLE_TOKENS)
    owner.kill()
    assert stream.read_all().whole(WHOLE_TOKENS)
    left = [daemon for daemon in made.daemons if daemon is not owner]
    await_members(left, 3)


def test_stream_is_whole_though_its_owner_was_frozen_and_continued(made):
    stream, _, owner = start_stream(made, WHOLE_TOKENS)
    owner.signal(signal.SIGSTOP)
    time.sleep(4.0)
    owner.signal(signal.SIGCONT)
    assert stream.read_all().whole(WHOLE_TOKENS)
    await_members(made.daemons, 4)


def test_memory_is_free_while_the_entry_is_frozen(made):
    _, entry, _ = start_stream(made, 40000)
    entry.signal(signal.SIGSTOP)
    await_free(made, time.monotonic())
    entry.signal(signal.SIGCONT)
    await_members(made.daemons, 4)
    time.sleep(1.0)
    assert held(made) == []


def test_killed_host_is_out_of_all_tables_in_time(made):
    gone = made.daemons[3]
    gone.kill()
    await_members(made.daemons[:3], 3, BOUND_S)
    for daemon in made.daemons[:3]:
        assert gone.peers not in members(daemon)
