"""Tests promise 1 for claims: a claimed call is sent at most once.

The entry is paused or killed, or requests with one key reach several hosts.
"""

from concurrent import futures
import signal
import time

import pytest
import urllib3

from hemlockreel_standins import processes

ROUTE = {"service": "ordrebok", "prefix": "/orders", "timeout_ms": 4000}
FREEZE_S = 2.5  # longer than the limit between a claim and its call
STORE_S = 0.5
HTTP = urllib3.PoolManager(retries=False, timeout=20.0, maxsize=8)


@pytest.fixture
def hosts():
    with processes.Deployment("midt-norge") as deployment:
        deployment.plain = deployment.add_replica(
            "ordrebok", "trondheim-a", "plain"
        )
        deployment.apply("routes", "ordrebok", ROUTE)
        for zone in ("trondheim-a", "trondheim-b", "orkanger"):
            deployment.add_daemon(zone)
        for daemon in deployment.daemons:
            daemon.await_ready()
        yield deployment


def book(daemon, key="k", timeout_s=20.0):
    return HTTP.request(
        "POST",
        f"http://{daemon.callers}/orders/lots",
        body=b"{}",
        headers={"Idempotency-Key": key, "Content-Type": "application/json"},
        timeout=timeout_s,
    )


def runs(deployment, key="k"):
    """Returns the request ids of the runs with ``key``."""
    found = processes.get(deployment.plain.address, "/_journal")["runs"]
    return [run["request_id"] for run in found if run["key"] == key]


def claims(deployment):
    return processes.get(deployment.store.address, "/v1/objects/claims")[
        "items"
    ]


def book_until_final(daemon, key="k"):
    """Repeats a booking after each ``retry_after_s``.

    Returns the first response that asks for no retry, or the last of eight.
    """
    for _ in range(8):
        response = book(daemon, key)
        error = response.json().get("error", {})
        if "retry_after_s" not in error:
            return response
        time.sleep(error["retry_after_s"])
    return response


def test_one_key_at_three_hosts_at_once_runs_once(hosts):
    with futures.ThreadPoolExecutor(9) as pool:
        responses = list(pool.map(book, hosts.daemons * 3))
    assert len(runs(hosts)) == 1
    assert 200 in {response.status for response in responses}
    for response in responses:
        if response.status != 200:
            assert response.json()["error"]["ran"] == "unknown"


def test_repeat_after_the_caller_left_gets_the_one_answer(hosts):
    processes.put(hosts.plain.address, "/_faults", {"delay_s": 2.0})
    first, second, _ = hosts.daemons
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        book(first, timeout_s=1.0)
    early = book(second)
    assert early.json()["error"]["ran"] == "unknown"
    assert book_until_final(second).status == 200
    assert len(runs(hosts)) == 1


def freeze_between_claim_and_call(hosts, pool):
    """Pauses the first entry after its claim is stored, before its call.

    Returns the key and the future of the booking. Calls to a slow store are
    queued, so that their timing varies and several attempts may be needed.
    """
    entry = hosts.daemons[0]
    for number in range(8):
        key = f"key-{number}"
        before = claims(hosts)
        processes.put(hosts.store.address, "/_faults", {"delay_s": STORE_S})
        pending = pool.submit(book, entry, key)
        time.sleep(1.5 * STORE_S)
        entry.signal(signal.SIGSTOP)
        processes.HTTP.request(
            "DELETE", f"http://{hosts.store.address}/_faults"
        )
        time.sleep(2 * STORE_S)  # Requests in transit take effect.
        if claims(hosts) != before and not runs(hosts, key):
            return key, pending
        entry.signal(signal.SIGCONT)
        pending.result()
    raise TimeoutError("the entry was never between claim and call")


@pytest.mark.parametrize("resume_or_kill", [signal.SIGKILL, signal.SIGCONT])
def test_entry_lost_between_claim_and_call(hosts, resume_or_kill):
    first, second, _ = hosts.daemons
    with futures.ThreadPoolExecutor(1) as pool:
        key, pending = freeze_between_claim_and_call(hosts, pool)
        assert book(second, key).json()["error"]["ran"] == "unknown"
        time.sleep(FREEZE_S)
        first.signal(resume_or_kill)
        if resume_or_kill == signal.SIGKILL:
            assert pending.exception() is not None
            assert book(second, key).json()["error"]["ran"] == "unknown"
            assert runs(hosts, key) == []
            return
        first_outcome = pending.result()
    last_response = book_until_final(second, key)
    ran = runs(hosts, key)
    assert len(ran) == (last_response.status == 200)
    # The first response must be correct for its own request.
    error = first_outcome.json()["error"]
    assert (error["ran"], error["request_id"] in ran) == ("not_run", False)


def test_entry_frozen_while_the_call_runs(hosts):
    """A repeat at another host does not run while the entry is paused."""
    first, second, _ = hosts.daemons
    processes.put(hosts.plain.address, "/_faults", {"delay_s": 1.0})
    with futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(book, first)
        processes.await_that(lambda: claims(hosts), 10, "no claim")
        time.sleep(0.5)
        first.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        assert book(second).json()["error"]["ran"] == "unknown"
        first.signal(signal.SIGCONT)
        pending.result()
    assert book_until_final(second).status == 200
    assert len(runs(hosts)) == 1
