"""Tests promise 5: a planned stop cuts no request in progress."""

from concurrent import futures
import itertools
import signal
import threading
import time

import pytest

from hemlockreel_standins import processes
from hemlockreel_standins import raw_caller

POOL = {
    "service": "lesar",
    "model": "lesar-7b",
    "max_output_tokens": 2048,
    "first_token_ms": 10000,
}
ROUTE = {"service": "ordrebok", "prefix": "/orders", "timeout_ms": 20000}
ENGINE = ("--step-base-s", "0.02", "--step-per-sequence-s", "0")
STREAMS = 30
TOKENS = 420  # 8.4 s, longer than callers keep an address
ADDRESS_TTL_S = 5.0
LEAVING_BOUND_S = 4.0
EXIT_BOUND_S = 60.0


def completion_body(tokens=TOKENS):
    return {"model": "lesar-7b", "prompt": "alloy " * 40, "max_tokens": tokens}


@pytest.fixture
def hosts():
    """Two daemons with three decode engines and a plain service."""
    with processes.Deployment("midt-norge") as deployment:
        deployment.add_replica("lesar", "trondheim-a", "prefill")
        for _ in range(3):
            deployment.add_replica("lesar", "trondheim-a", "decode", ENGINE)
        deployment.plain = deployment.add_replica(
            "ordrebok", "trondheim-a", "plain"
        )
        deployment.apply("modelpools", "lesar", POOL)
        deployment.apply("routes", "ordrebok", ROUTE)
        for zone in ("trondheim-a", "trondheim-b"):
            deployment.add_daemon(zone)
        for daemon in deployment.daemons:
            daemon.await_ready()
        await_members(deployment.daemons)
        yield deployment


def await_members(daemons):
    processes.await_that(
        lambda: all(
            len(daemon.status()["members"]) == len(daemons)
            for daemon in daemons
        ),
        20,
        "the daemons do not know each other",
    )


def addresses(daemon, who="me"):
    path = f"/v1/addresses?caller={who}"
    return processes.get(daemon.callers, path)["addresses"]


def book(daemon, key):
    return raw_caller.HTTP.request(
        "POST",
        f"http://{daemon.callers}/orders/lots",
        body=b"{}",
        headers={"Idempotency-Key": key, "Content-Type": "application/json"},
    )


def claims(deployment):
    return processes.get(deployment.store.address, "/v1/objects/claims")[
        "items"
    ]


def test_open_streams_finish_and_old_addresses_still_serve(hosts):
    """The store is down from before the stop until the end of the test."""
    old, other = hosts.daemons
    with futures.ThreadPoolExecutor(STREAMS + 1) as pool:
        streams = [
            raw_caller.Stream(old.callers, completion_body())
            for _ in range(STREAMS)
        ]
        for stream in streams:
            stream.read_tokens(1)
        received = [pool.submit(stream.read_all) for stream in streams]
        processes.put(hosts.plain.address, "/_faults", {"delay_s": 3.0})
        booked = pool.submit(book, old, "k1")
        processes.await_that(lambda: claims(hosts), 10, "no claim")
        processes.put(hosts.store.address, "/_faults", {"outage": True})
        stopped = time.monotonic()
        old.signal(signal.SIGTERM)
        processes.await_that(
            lambda: processes.get_status(old.operators, "/readyz") == 503,
            LEAVING_BOUND_S,
            "still ready",
        )
        assert old.callers not in addresses(old)
        processes.await_that(
            lambda: old.callers not in addresses(other),
            LEAVING_BOUND_S,
            "still given to callers",
        )
        old.signal(signal.SIGTERM)  # A second one changes nothing.
        while time.monotonic() < stopped + ADDRESS_TTL_S - 1:
            short = raw_caller.Stream(
                old.callers, completion_body(5)
            ).read_all()
            assert short.whole(5), short
            time.sleep(0.3)
        await_refusals(old)
        status, body = raw_caller.complete(old.callers, completion_body(5))
        assert (status, body["error"]["ran"]) == (503, "not_run")
        assert body["error"]["addresses"] == [other.callers]
        assert [each.result().whole(TOKENS) for each in received] == [
            True
        ] * STREAMS
        assert booked.result().status == 200
    assert old.wait(EXIT_BOUND_S) == 0
    processes.await_that(
        lambda: len(other.status()["members"]) == 1,
        LEAVING_BOUND_S,
        "the host that left is still a member",
    )


def await_refusals(daemon):
    def refused():
        status, body = raw_caller.complete(daemon.callers, completion_body(1))
        return status == 503 and body["error"]["reason"] == "draining"

    processes.await_that(refused, 10, "still open")


def test_all_hosts_are_replaced_under_load(hosts):
    stopping = threading.Event()
    faults = []

    def load(index):
        """Sends requests as a caller that caches addresses for their TTL."""
        known = hosts.daemons[index % 2].callers
        for turn in itertools.count():
            if stopping.is_set():
                return turn
            path = f"/v1/addresses?caller=c{index}"
            found = processes.get(known, path)
            fresh_until = time.monotonic() + found["ttl_s"]
            known = found["addresses"][0]
            while time.monotonic() < fresh_until and not stopping.is_set():
                tokens = 150 if index % 2 else 20
                received = raw_caller.Stream(
                    known, completion_body(tokens)
                ).read_all()
                if not received.whole(tokens):
                    faults.append((known, received))

    old_daemons = list(hosts.daemons)
    with futures.ThreadPoolExecutor(8) as pool:
        loads = [pool.submit(load, index) for index in range(8)]
        try:
            for old in old_daemons:
                hosts.add_daemon("orkanger").await_ready()
                time.sleep(1.0)
                old.signal(signal.SIGTERM)
            codes = [old.wait(EXIT_BOUND_S) for old in old_daemons]
            time.sleep(1.0)
        finally:
            stopping.set()
        turns = [each.result() for each in loads]
    assert codes == [0, 0]
    ids = [received.request_id for _, received in faults]
    assert faults == [], "\n".join(hosts.logged(ids))
    assert all(turns)
