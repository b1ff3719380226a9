"""Tests that changes take effect in time while the store's readers fail."""

import json
import signal
import threading
import time

import pytest
import urllib3

from hemlockreel import rendezvous
from hemlockreel_standins import processes

BOUND_S = 4.0
ZONES = ("trondheim-a", "trondheim-b", "orkanger")
ROUTE = {"service": "ordrebok", "prefix": "/orders"}
HTTP = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=4)


@pytest.fixture
def deployment():
    with processes.Deployment("midt-norge") as found:
        for zone in ZONES:
            found.add_replica("ordrebok", zone, "plain")
        found.apply("routes", "ordrebok", ROUTE)
        for index in range(5):
            found.add_daemon(ZONES[index % 3])
        for daemon in found.daemons:
            daemon.await_ready()
        processes.await_that(
            lambda: all(
                len(daemon.status()["members"]) == 5
                for daemon in found.daemons
            ),
            15.0,
            "the daemons do not find each other",
        )
        yield found


def find_reader(deployment, source, position=0):
    by_peer = {daemon.peers: daemon for daemon in deployment.daemons}
    return by_peer[rendezvous.rank(source, by_peer)[position]]


def kill(daemon):
    daemon.kill()


def stop(daemon):
    daemon.signal(signal.SIGSTOP)


def spare(daemon):
    """Injects no fault."""


class Load:
    """Sends GET requests to ``daemon`` until the end of the block."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.statuses = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        url = f"http://{self.daemon.callers}/orders/stock"
        while not self._stopping.wait(0.02):
            try:
                response = HTTP.request("GET", url)
                self.statuses.append(response.status)
            except urllib3.exceptions.HTTPError:
                self.statuses.append(0)


def runs_at(host):
    return len(processes.get(host["address"], "/_journal")["runs"])


@pytest.mark.parametrize(
    ("fault", "delay_s"), [(spare, 0.0), (kill, 0.5), (stop, 0.5)]
)
def test_leaving_replica_gets_no_requests_after_the_bound(
    deployment, fault, delay_s
):
    victim = find_reader(deployment, "hosts/")
    survivor = next(
        daemon for daemon in deployment.daemons if daemon is not victim
    )
    plain = [host for host in deployment.hosts if host["role"] == "plain"]
    with Load(survivor) as load:
        processes.await_that(lambda: any(map(runs_at, plain)), 5.0, "no work")
        leaving = max(plain, key=runs_at)
        leaving["state"] = "leaving"
        deployment.write_hosts()
        time.sleep(delay_s)
        fault(victim)
        time.sleep(BOUND_S - delay_s)
        before = runs_at(leaving)
        response_count = len(load.statuses)
        time.sleep(3.0)
        assert runs_at(leaving) == before
    assert 200 in load.statuses[response_count:]


def generations(deployment):
    return [
        daemon.status()["generation"]
        for daemon in deployment.daemons
        if daemon.running
    ]


def apply_in_time(deployment, weight):
    before = max(generations(deployment))
    deployment.apply("quotas", "acme", {"weight": weight})
    processes.await_that(
        lambda: min(generations(deployment)) > before,
        BOUND_S,
        f"not everywhere: {before}, {generations(deployment)}",
    )


def set_faults(deployment, **faults):
    processes.put(deployment.store.address, "/_faults", faults)


@pytest.mark.parametrize(
    "faults", [{}, {"freeze_watches": True}, {"delay_s": 0.2}], ids=json.dumps
)
def test_change_is_in_force_in_time(deployment, faults):
    set_faults(deployment, **faults)
    for weight in (2.0, 3.0, 4.0):
        apply_in_time(deployment, weight)
        time.sleep(0.7)


def test_change_is_in_force_in_time_without_its_readers(deployment):
    victims = [
        find_reader(deployment, "configuration", position)
        for position in (0, 1)
    ]
    for victim in victims:
        victim.kill()
    deployment.daemons = [
        daemon for daemon in deployment.daemons if daemon not in victims
    ]
    apply_in_time(deployment, 2.0)


def test_hosts_are_replaced_while_the_store_is_down(deployment):
    apply_in_time(deployment, 2.0)
    generation = max(generations(deployment))
    set_faults(deployment, outage=True)
    for _ in range(5):
        # The new host is ready before the old one is killed, as in a rollout.
        deployment.add_daemon(ZONES[0]).await_ready()
        old = deployment.daemons.pop(0)
        old.kill()
        assert set(generations(deployment)) == {generation}
    set_faults(deployment, outage=False)
    apply_in_time(deployment, 3.0)
