"""Tests that a call with an idempotency key runs at most once under faults.

After each test the journals of the plain services are checked: each key occurs
at most once, and no request that was refused as not run occurs at all.
"""

from concurrent import futures
import itertools
import json
import signal
import time

import pytest
import urllib3

from hemlockreel_standins import processes

ZONES = ("trondheim-a", "trondheim-b", "orkanger")
ROUTE = {
    "service": "ordrebok",
    "prefix": "/orders",
    "key_required": True,
    "timeout_ms": 2000,
}
FREEZE_S = 10.0
HTTP = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=16)
NO_RESPONSE = {"status": 0, "ran": "unknown", "request_id": ""}


class Bookings:
    def __init__(self, deployment):
        self.deployment = deployment
        self.keys = (f"key-{number}" for number in itertools.count())
        self.outcomes = []
        self.pool = futures.ThreadPoolExecutor(16)

    def post(self, daemon, key):
        headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
        url = f"http://{daemon.callers}/orders/lots"
        body = json.dumps({"lot": 7}).encode()
        try:
            response = HTTP.request("POST", url, body=body, headers=headers)
            value = response.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return self._record(key, NO_RESPONSE)
        error = value.get("error", {})
        outcome = {
            "status": response.status,
            "ran": error.get("ran", "answered"),
            "reason": error.get("reason", ""),
            "retry_after_s": error.get("retry_after_s"),
            "request_id": response.headers.get("X-Request-Id", ""),
            "run": value.get("run"),
        }
        return self._record(key, outcome)

    def _record(self, key, outcome):
        self.outcomes.append((key, outcome))
        return outcome

    def post_later(self, daemon, key):
        return self.pool.submit(self.post, daemon, key)

    def runs(self, key=None):
        return [
            run
            for host in self.deployment.hosts
            if host["role"] == "plain"
            for run in processes.get(host["address"], "/_journal")["runs"]
            if key in (None, run["key"])
        ]

    def retry(self, daemon, key, max_attempts=20):
        """Repeats a request until the outcome asks for no retry."""
        for _ in range(max_attempts):
            outcome = self.post(daemon, key)
            if outcome.get("retry_after_s") is None:
                break
            time.sleep(min(outcome["retry_after_s"], 1.0))
        return outcome

    def set_service_faults(self, **faults):
        for host in self.deployment.hosts:
            if host["role"] == "plain":
                processes.put(host["address"], "/_faults", faults)

    def set_store_faults(self, **faults):
        processes.put(self.deployment.store.address, "/_faults", faults)

    def check_journals(self):
        runs = self.runs()
        by_key = [run["key"] for run in runs]
        assert len(by_key) == len(set(by_key)), by_key
        ran = {run["request_id"] for run in runs}
        for key, outcome in self.outcomes:
            if outcome["ran"] == "not_run":
                assert outcome["request_id"] not in ran, outcome
            if outcome["ran"] == "answered":
                assert key in by_key, outcome


@pytest.fixture(scope="module")
def running():
    with processes.Deployment("midt-norge") as deployment:
        for zone in ZONES:
            deployment.add_replica("ordrebok", zone, "plain")
        deployment.apply("routes", "ordrebok", ROUTE)
        for zone in ZONES:
            deployment.add_daemon(zone)
        for daemon in deployment.daemons:
            daemon.await_ready()
        yield Bookings(deployment)


@pytest.fixture
def bookings(running):
    yield running
    for host in running.deployment.hosts:
        if host["role"] == "plain":
            clear(host["address"])
    clear(running.deployment.store.address)
    running.check_journals()


def clear(address):
    processes.HTTP.request("DELETE", f"http://{address}/_faults")


@pytest.fixture
def victim(bookings):
    deployment = bookings.deployment
    daemon = deployment.add_daemon(ZONES[0])
    daemon.await_ready()
    yield daemon
    daemon.kill()
    deployment.hosts = [
        host for host in deployment.hosts if host["address"] != daemon.peers
    ]
    deployment.daemons.remove(daemon)
    deployment.write_hosts()


def test_same_key_at_three_hosts_at_once(bookings):
    for _ in range(5):
        key = next(bookings.keys)
        daemons = bookings.deployment.daemons * 2
        pending = [bookings.post_later(daemon, key) for daemon in daemons]
        futures.wait(pending)
        outcome = bookings.retry(daemons[0], key)
        assert outcome["status"] == 200, outcome
        assert len(bookings.runs(key)) == 1


def test_repeat_gets_the_same_answer_elsewhere(bookings):
    key = next(bookings.keys)
    first, second, _ = bookings.deployment.daemons
    outcome = bookings.post(first, key)
    again = bookings.retry(second, key)
    assert (outcome["status"], again["run"]) == (200, outcome["run"])


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_store_loses_its_answers(bookings, lost):
    key = next(bookings.keys)
    bookings.set_store_faults(lose_answers=lost)
    bookings.post(bookings.deployment.daemons[0], key)
    outcome = bookings.retry(bookings.deployment.daemons[1], key)
    assert outcome["status"] == 200, outcome
    assert len(bookings.runs(key)) == 1


def test_store_down_before_the_claim(bookings):
    key = next(bookings.keys)
    bookings.set_store_faults(outage=True)
    outcome = bookings.post(bookings.deployment.daemons[0], key)
    assert (outcome["status"], outcome["ran"]) == (503, "not_run")
    assert outcome["retry_after_s"] > 0
    assert bookings.runs(key) == []
    bookings.set_store_faults(outage=False)
    assert bookings.retry(bookings.deployment.daemons[1], key)["status"] == 200


def test_silent_store_refuses_and_recovers(bookings):
    key = next(bookings.keys)
    bookings.set_store_faults(silent=True)
    outcome = bookings.post(bookings.deployment.daemons[0], key)
    assert (outcome["status"], outcome["ran"]) == (503, "not_run")
    bookings.set_store_faults(silent=False)
    assert bookings.retry(bookings.deployment.daemons[1], key)["status"] == 200
    # The daemon whose store was silent serves again after the given delay.
    other = next(bookings.keys)
    assert (
        bookings.retry(bookings.deployment.daemons[0], other)["status"] == 200
    )


def test_store_down_while_the_outcome_is_recorded(bookings):
    key = next(bookings.keys)
    bookings.set_service_faults(delay_s=1.0)
    pending = bookings.post_later(bookings.deployment.daemons[0], key)
    time.sleep(0.5)
    bookings.set_store_faults(outage=True)
    outcome = pending.result()
    assert outcome["status"] == 200, outcome
    outcome = bookings.post(bookings.deployment.daemons[1], key)
    assert outcome["ran"] == "not_run"
    bookings.set_store_faults(outage=False)
    outcome = bookings.retry(bookings.deployment.daemons[1], key)
    assert outcome["status"] == 200, outcome
    assert len(bookings.runs(key)) == 1


@pytest.mark.parametrize(
    ("fault", "runs"),
    [("reset_before", 0), ("reset_after", 1), ("silent", 1), ("wrong_id", 1)],
)
def test_backend_server_gives_no_answer(bookings, fault, runs):
    key = next(bookings.keys)
    bookings.set_service_faults(**{fault: True if fault == "silent" else 1})
    outcome = bookings.post(bookings.deployment.daemons[0], key)
    assert outcome["ran"] == "unknown"
    time.sleep(0.3)
    again = bookings.retry(bookings.deployment.daemons[1], key)
    assert again["ran"] == "unknown"
    assert len(bookings.runs(key)) == runs


# With this delay the claim has been read after 0.4 s and written after 0.8 s.
# The call is sent then, and the service takes 0.6 s.
SLOW_STORE = {"delay_s": 0.4}
SLOW_SERVICE = {"delay_s": 0.6}
MOMENTS_S = [0.2, 0.5, 0.75, 0.85, 1.1, 1.6]


@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_entry_is_killed(bookings, victim, moment_s):
    key = next(bookings.keys)
    bookings.set_store_faults(**SLOW_STORE)
    bookings.set_service_faults(**SLOW_SERVICE)
    pending = bookings.post_later(victim, key)
    time.sleep(moment_s)
    victim.kill()
    pending.result()
    # The claim of a killed daemon stays in progress for a minute.
    bookings.retry(bookings.deployment.daemons[1], key, max_attempts=3)
    assert len(bookings.runs(key)) <= 1


def test_entries_are_paused_and_resumed(bookings):
    deployment = bookings.deployment
    victims = [deployment.add_daemon(ZONES[0]) for _ in MOMENTS_S]
    for victim in victims:
        victim.await_ready()
    bookings.set_store_faults(**SLOW_STORE)
    bookings.set_service_faults(**SLOW_SERVICE)
    keys = [next(bookings.keys) for _ in MOMENTS_S]
    pending = [
        bookings.pool.submit(freeze, bookings, *one)
        for one in zip(victims, keys, MOMENTS_S, strict=True)
    ]
    for future in pending:
        future.result()
    time.sleep(1.0)
    for key in keys:
        assert len(bookings.runs(key)) <= 1
    for victim in victims:
        victim.kill()


def freeze(bookings, victim, key, moment_s):
    pending = bookings.post_later(victim, key)
    time.sleep(moment_s)
    victim.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    bookings.retry(bookings.deployment.daemons[1], key, max_attempts=3)
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    victim.signal(signal.SIGCONT)
    pending.result()
    bookings.retry(bookings.deployment.daemons[2], key, max_attempts=3)
