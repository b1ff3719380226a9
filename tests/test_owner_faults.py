"""Tests promises 3 and 9 while owners and entries are killed or paused.

There is one shard. Its owner is the daemon whose metrics count a grant.
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
def deployment():
    with processes.Deployment("midt-norge") as found:
        found.add_replica("lesar", ZONES[0], "prefill")
        found.decode = found.add_replica("lesar", ZONES[1], "decode")
        found.apply("modelpools", "lesar", POOL)
        for zone in ZONES:
            found.add_daemon(zone)
        for daemon in found.daemons:
            daemon.await_ready()
        await_members(found.daemons, 4)
        time.sleep(2.5)  # new owners settle before they check for orphans
        yield found


def members(daemon):
    return {member["host"] for member in daemon.status()["members"]}


def await_members(daemons, count, bound_s=JOIN_S):
    processes.await_that(
        lambda: all(len(members(daemon)) == count for daemon in daemons),
        bound_s,
        f"not {count} members",
    )


def read_grants_total(daemon):
    """Returns the number of reservations that a daemon granted as owner."""
    response = processes.HTTP.request(
        "GET", f"http://{daemon.operators}/metrics"
    )
    for line in response.data.decode().splitlines():
        if line.startswith("hemlockreel_grants_total"):
            return float(line.split()[1])
    return 0.0


def completion_body(tokens):
    return {
        "model": "lesar-7b",
        "prompt": "alloy " * 8,
        "max_tokens": tokens,
        "stream": True,
    }


def start_stream(deployment, tokens):
    """Starts a stream at a daemon that is not the owner.

    Returns the stream, its entry and the owner.
    """
    first = raw_caller.Stream(
        deployment.daemons[0].callers, completion_body(2)
    )
    first.read_all()
    owner = max(deployment.daemons, key=read_grants_total)
    assert read_grants_total(owner) == 1
    entry = next(
        daemon for daemon in deployment.daemons if daemon is not owner
    )
    stream = raw_caller.Stream(entry.callers, completion_body(tokens))
    stream.read_tokens(3)
    return stream, entry, owner


def held(deployment):
    return processes.get(deployment.decode.address, "/v1/requests")["requests"]


def await_free(deployment, since):
    processes.await_that(
        lambda: not held(deployment), BOUND_S + 20, f"held: {held(deployment)}"
    )
    took = time.monotonic() - since
    assert took < BOUND_S, took


def test_memory_is_free_after_the_entry_was_killed(deployment):
    _, entry, _ = start_stream(deployment, 40000)
    entry.kill()
    await_free(deployment, time.monotonic())


def test_memory_is_free_after_the_owner_was_killed_and_the_caller_left(
    deployment,
):
    stream, _, owner = start_stream(deployment, 40000)
    owner.kill()
    stream.close()
    await_free(deployment, time.monotonic())


def test_memory_is_free_after_entry_and_owner_were_killed(deployment):
    _, entry, owner = start_stream(deployment, 40000)
    owner.kill()
    entry.kill()
    await_free(deployment, time.monotonic())


def test_stream_is_whole_though_its_owner_was_killed(deployment):
    stream, _, owner = start_stream(deployment, WHOLE_TOKENS)
    owner.kill()
    assert stream.read_all().whole(WHOLE_TOKENS)
    left = [daemon for daemon in deployment.daemons if daemon is not owner]
    await_members(left, 3)


def test_stream_is_whole_though_its_owner_was_frozen_and_continued(deployment):
    stream, _, owner = start_stream(deployment, WHOLE_TOKENS)
    owner.signal(signal.SIGSTOP)
    time.sleep(4.0)
    owner.signal(signal.SIGCONT)
    assert stream.read_all().whole(WHOLE_TOKENS)
    await_members(deployment.daemons, 4)


def test_memory_is_free_while_the_entry_is_frozen(deployment):
    _, entry, _ = start_stream(deployment, 40000)
    entry.signal(signal.SIGSTOP)
    await_free(deployment, time.monotonic())
    entry.signal(signal.SIGCONT)
    await_members(deployment.daemons, 4)
    time.sleep(1.0)
    assert held(deployment) == []


def test_killed_host_is_out_of_all_tables_in_time(deployment):
    killed = deployment.daemons[3]
    killed.kill()
    await_members(deployment.daemons[:3], 3, BOUND_S)
    for daemon in deployment.daemons[:3]:
        assert killed.peers not in members(daemon)
