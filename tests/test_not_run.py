"""Tests promise 2: no request refused as not run is in a journal."""

from concurrent import futures
import random

from hemlockreel_standins import processes

REQUESTS = 120
WORKERS = 6
SEED = 20261203
ROUTE = {"service": "ordrebok", "prefix": "/orders", "timeout_ms": 400}
FAULTS = (
    {"reset_before": 1},
    {"reset_after": 1},
    {"wrong_id": 1},
    {"delay_s": 0.6},
    {"delay_s": 0.0},
)


def book(address, number, key):
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    response = processes.HTTP.request(
        "POST",
        f"http://{address}/orders/lots",
        body=b'{"lot": %d}' % number,
        headers=headers,
    )
    if response.status < 400:
        return None
    error = response.json()["error"]
    return error["request_id"], error["ran"]


def test_no_refused_request_is_in_a_journal():
    rng = random.Random(SEED)
    with processes.Deployment("midt-norge") as deployment:
        plain = [
            deployment.add_replica("ordrebok", "trondheim-a", "plain")
            for _ in range(3)
        ]
        deployment.apply("routes", "ordrebok", {**ROUTE, "max_in_flight": 1})
        for zone in ("trondheim-a", "trondheim-b"):
            deployment.add_daemon(zone).await_ready()
        pending = []
        with futures.ThreadPoolExecutor(WORKERS) as pool:
            for number in range(REQUESTS):
                if number % 5 == 0:
                    server = rng.choice(plain)
                    fault = rng.choice(FAULTS)
                    processes.put(server.address, "/_faults", fault)
                if number == REQUESTS // 2:
                    outage = {"outage": True}
                    processes.put(deployment.store.address, "/_faults", outage)
                address = rng.choice(deployment.daemons).callers
                key = f"k{number}" if rng.random() < 0.5 else ""
                pending.append(pool.submit(book, address, number, key))
        found = [each.result() for each in pending if each.result()]
        not_run = {each for each, ran in found if ran == "not_run"}
        journals = {
            run["request_id"]
            for server in plain
            for run in processes.get(server.address, "/_journal")["runs"]
        }
    assert not_run, "the faults must lead to refusals"
    assert journals, "the others must run"
    assert not not_run & journals
