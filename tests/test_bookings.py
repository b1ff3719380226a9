"""A call with an idempotency key runs at most once, whatever fails.

The journals of the plain services are the truth: each key stands there at
most once, and no request that was refused as not run stands there at all.
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
CALLERS = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=16)
NO_ANSWER = {"status": 0, "ran": "unknown", "request_id": ""}


class Bookings:
    def __init__(self, made):
        self.made = made
        self.keys = (f"key-{number}" for number in itertools.count())
        self.words = []
        self.pool = futures.ThreadPoolExecutor(16)

    def post(self, daemon, key):
        headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
        url = f"http://{daemon.callers}/orders/lots"
        body = json.dumps({"lot": 7}).encode()
        try:
            answer = CALLERS.request("POST", url, body=body, headers=headers)
            value = answer.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return self._hear(key, NO_ANSWER)
        error = value.get("error", {})
        word = {
            "status": answer.status,
            "ran": error.get("ran", "answered"),
            "reason": error.get("reason", ""),
            "retry_after_s": error.get("retry_after_s"),
            "request_id": answer.headers.get("X-Request-Id", ""),
            "run": value.get("run"),
        }
        return self._hear(key, word)

    def _hear(self, key, word):
        self.words.append((key, word))
        return word

    def post_later(self, daemon, key):
        return self.pool.submit(self.post, daemon, key)

    def runs(self, key=None):
        return [
            run
            for host in self.made.hosts
            if host["role"] == "plain"
            for run in processes.get(host["address"], "/_journal")["runs"]
            if key in (None, run["key"])
        ]

    def settle(self, daemon, key, most=20):
        """Repeats as a caller does until there is a final word."""
        for _ in range(most):
            word = self.post(daemon, key)
            if word.get("retry_after_s") is None:
                break
            time.sleep(min(word["retry_after_s"], 1.0))
        return word

    def services(self, **faults):
        for host in self.made.hosts:
            if host["role"] == "plain":
                processes.put(host["address"], "/_faults", faults)

    def store(self, **faults):
        processes.put(self.made.store.address, "/_faults", faults)

    def check(self):
        runs = self.runs()
        by_key = [run["key"] for run in runs]
        assert len(by_key) == len(set(by_key)), by_key
        ran = {run["request_id"] for run in runs}
        for key, word in self.words:
            if word["ran"] == "not_run":
                assert word["request_id"] not in ran, word
            if word["ran"] == "answered":
                assert key in by_key, word


@pytest.fixture(scope="module")
def running():
    with processes.Deployment("midt-norge") as made:
        for zone in ZONES:
            made.add_replica("ordrebok", zone, "plain")
        made.apply("routes", "ordrebok", ROUTE)
        for zone in ZONES:
            made.add_daemon(zone)
        for daemon in made.daemons:
            daemon.await_ready()
        yield Bookings(made)


@pytest.fixture
def bookings(running):
    yield running
    for host in running.made.hosts:
        if host["role"] == "plain":
            clear(host["address"])
    clear(running.made.store.address)
    running.check()


def clear(address):
    processes.HTTP.request("DELETE", f"http://{address}/_faults")


@pytest.fixture
def victim(bookings):
    made = bookings.made
    daemon = made.add_daemon(ZONES[0])
    daemon.await_ready()
    yield daemon
    daemon.kill()
    made.hosts = [
        host for host in made.hosts if host["address"] != daemon.peers
    ]
    made.daemons.remove(daemon)
    made.write_hosts()


def test_same_key_at_three_hosts_at_once(bookings):
    for _ in range(5):
        key = next(bookings.keys)
        daemons = bookings.made.daemons * 2
        asked = [bookings.post_later(daemon, key) for daemon in daemons]
        futures.wait(asked)
        word = bookings.settle(daemons[0], key)
        assert word["status"] == 200, word
        assert len(bookings.runs(key)) == 1


def test_repeat_gets_the_same_answer_elsewhere(bookings):
    key = next(bookings.keys)
    first, second, _ = bookings.made.daemons
    word = bookings.post(first, key)
    again = bookings.settle(second, key)
    assert (word["status"], again["run"]) == (200, word["run"])


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_store_loses_its_answers(bookings, lost):
    key = next(bookings.keys)
    bookings.store(lose_answers=lost)
    bookings.post(bookings.made.daemons[0], key)
    word = bookings.settle(bookings.made.daemons[1], key)
    assert word["status"] == 200, word
    assert len(bookings.runs(key)) == 1


def test_store_down_before_the_claim(bookings):
    key = next(bookings.keys)
    bookings.store(outage=True)
    word = bookings.post(bookings.made.daemons[0], key)
    assert (word["status"], word["ran"]) == (503, "not_run")
    assert word["retry_after_s"] > 0
    assert bookings.runs(key) == []
    bookings.store(outage=False)
    assert bookings.settle(bookings.made.daemons[1], key)["status"] == 200


def test_silent_store_refuses_and_recovers(bookings):
    key = next(bookings.keys)
    bookings.store(silent=True)
    word = bookings.post(bookings.made.daemons[0], key)
    assert (word["status"], word["ran"]) == (503, "not_run")
    bookings.store(silent=False)
    assert bookings.settle(bookings.made.daemons[1], key)["status"] == 200
    # The daemon that met the silence serves again too, as it had promised.
    other = next(bookings.keys)
    assert bookings.settle(bookings.made.daemons[0], other)["status"] == 200


def test_store_down_while_the_outcome_is_recorded(bookings):
    key = next(bookings.keys)
    bookings.services(delay_s=1.0)
    asked = bookings.post_later(bookings.made.daemons[0], key)
    time.sleep(0.5)
    bookings.store(outage=True)
    word = asked.result()
    assert word["status"] == 200, word
    word = bookings.post(bookings.made.daemons[1], key)
    assert word["ran"] == "not_run"
    bookings.store(outage=False)
    word = bookings.settle(bookings.made.daemons[1], key)
    assert word["status"] == 200, word
    assert len(bookings.runs(key)) == 1


@pytest.mark.parametrize(
    ("fault", "runs"),
    [("reset_before", 0), ("reset_after", 1), ("silent", 1), ("wrong_id", 1)],
)
def test_backend_server_gives_no_answer(bookings, fault, runs):
    key = next(bookings.keys)
    bookings.services(**{fault: True if fault == "silent" else 1})
    word = bookings.post(bookings.made.daemons[0], key)
    assert word["ran"] == "unknown"
    time.sleep(0.3)
    again = bookings.settle(bookings.made.daemons[1], key)
    assert again["ran"] == "unknown"
    assert len(bookings.runs(key)) == runs


# With the store this slow a claim is read until 0.4 s, written until 0.8 s,
# and the call is sent then; the service takes 0.6 s.
SLOW_STORE = {"delay_s": 0.4}
SLOW_SERVICE = {"delay_s": 0.6}
MOMENTS_S = [0.2, 0.5, 0.75, 0.85, 1.1, 1.6]


@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_entry_is_killed(bookings, victim, moment_s):
    key = next(bookings.keys)
    bookings.store(**SLOW_STORE)
    bookings.services(**SLOW_SERVICE)
    asked = bookings.post_later(victim, key)
    time.sleep(moment_s)
    victim.kill()
    asked.result()
    # A claim that has lost its daemon stays in progress for a minute.
    bookings.settle(bookings.made.daemons[1], key, most=3)
    assert len(bookings.runs(key)) <= 1


def test_entries_are_frozen_and_go_on(bookings):
    made = bookings.made
    victims = [made.add_daemon(ZONES[0]) for _ in MOMENTS_S]
    for victim in victims:
        victim.await_ready()
    bookings.store(**SLOW_STORE)
    bookings.services(**SLOW_SERVICE)
    keys = [next(bookings.keys) for _ in MOMENTS_S]
    tries = [
        bookings.pool.submit(freeze, bookings, *one)
        for one in zip(victims, keys, MOMENTS_S, strict=True)
    ]
    for tried in tries:
        tried.result()
    time.sleep(1.0)
    for key in keys:
        assert len(bookings.runs(key)) <= 1
    for victim in victims:
        victim.kill()


def freeze(bookings, victim, key, moment_s):
    asked = bookings.post_later(victim, key)
    time.sleep(moment_s)
    victim.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    bookings.settle(bookings.made.daemons[1], key, most=3)
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    victim.signal(signal.SIGCONT)
    asked.result()
    bookings.settle(bookings.made.daemons[2], key, most=3)
