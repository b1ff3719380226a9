import pytest

from hemlockreel_standins import processes

POOL = {
    "service": "lesar",
    "model": "lesar-7b",
    "max_output_tokens": 64,
}
ROUTE = {"service": "ordrebok", "prefix": "/orders"}


@pytest.fixture
def deployment():
    """A deployment of 2 prefill, 3 decode and 3 plain replicas, 3 daemons."""
    with processes.Deployment("midt-norge") as made:
        zones = ("trondheim-a", "trondheim-b", "orkanger")
        for index, role in enumerate(["prefill"] * 2 + ["decode"] * 3):
            made.add_replica("lesar", zones[index % 3], role)
        for zone in zones:
            made.add_replica("ordrebok", zone, "plain")
        made.apply("modelpools", "lesar", POOL)
        made.apply("routes", "ordrebok", ROUTE)
        for zone in zones:
            made.add_daemon(zone)
        for daemon in made.daemons:
            daemon.await_ready()
        yield made
