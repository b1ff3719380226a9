"""A plain request that crashes each server which begins to run it.

It comes again at any host, with another id but the same content.
"""

import pytest

from hemlockreel_standins import crash_rig

from hemlockreel.forwarding import deployments

BAD = "/stock/bad"
MAX_LATE = 3  # arrivals that the platform allows after the third crash
PERIOD_S = 0.25


def play(site, seconds=20.0):
    """Sends the bad request, and sound ones, to one host after the other.

    Returns how the sound ones were answered, one status after the other.
    """
    hosts = list(site.fleet.fabric.boards)
    statuses = []
    for turn in range(round(seconds / PERIOD_S)):
        host = hosts[turn * 5 % len(hosts)]
        sound = site.request(host, f"/stock/{turn % 3}")
        statuses.append(sound.status)
        site.request(host, BAD)
        site.run(PERIOD_S)
    return statuses


# BUDGET of issue 27: one request ended server after server.
@pytest.mark.parametrize("hosts", [13, 195])
def test_a_request_that_crashes_servers_stops_reaching_them(hosts):
    site = crash_rig.Site(hosts)
    site.bad.add(BAD)
    statuses = play(site)
    assert len(site.crashes) >= 3
    assert site.late_arrivals(BAD) <= MAX_LATE
    assert statuses[-1] == 200


def test_a_request_stops_with_few_servers_lost():
    """Each attempt of the first one takes two servers, later ones take one."""
    site = crash_rig.Site(13, servers=30)
    site.bad.add(BAD)
    play(site)
    assert len(site.crashes) <= 4


@pytest.mark.parametrize("servers", [3, 30])
def test_sound_requests_that_each_crash_cuts_are_served_again(servers):
    """They break off with the bad one each time, by other requests."""
    site = crash_rig.Site(13, servers)
    site.bad.add(BAD)
    site.beside = ("/stock/one", "/stock/two")
    hosts = list(site.fleet.fabric.boards)
    for turn in range(100):
        site.request(hosts[turn % 13], BAD)
        site.run(PERIOD_S)
    assert site.late_arrivals(BAD) <= MAX_LATE
    for host in hosts:
        for path in site.beside:
            assert site.request(host, path).status == 200
        assert site.request(host, BAD).status == 503


@pytest.mark.parametrize("kind", ["IDEMPOTENT", "NON_IDEMPOTENT"])
def test_a_blocked_request_is_refused_as_not_run(kind):
    site = crash_rig.Site()
    site.bad.add(BAD)
    play(site, 5.0)
    route = crash_rig.ROUTE._replace(kind=deployments.RouteKind[kind])
    before = len(site.arrivals)
    refused = site.request(
        next(iter(site.fleet.fabric.boards)), BAD, route=route
    )
    assert refused.status == 503
    assert float(dict(refused.headers)["Retry-After"]) > 0
    assert b"crash" in refused.body
    assert len(site.arrivals) == before


def test_the_same_path_of_another_caller_is_sent():
    site = crash_rig.Site()
    site.bad.add(BAD)
    play(site, 5.0)
    site.bad.clear()
    host = next(iter(site.fleet.fabric.boards))
    assert site.request(host, BAD, caller="10.9.0.2").status == 200
    assert site.request(host, BAD).status == 503


def test_a_request_of_many_callers_is_recognised():
    """Its callers' addresses differ, its path and body don't."""
    site = crash_rig.Site()
    site.bad.add(BAD)
    hosts = list(site.fleet.fabric.boards)
    for turn in range(60):
        site.request(hosts[turn % 13], BAD, caller=f"10.9.0.{turn}")
        site.run(PERIOD_S)
    assert site.late_arrivals(BAD) <= MAX_LATE


def test_several_requests_at_once_are_all_blocked():
    """They crash the same three servers and hide each other's crashes."""
    site = crash_rig.Site()
    paths = ["/stock/bad1", "/stock/bad2", "/stock/bad3"]
    site.bad.update(paths)
    hosts = list(site.fleet.fabric.boards)
    for turn in range(240):
        site.request(hosts[turn % 13], paths[turn % 3])
        site.run(PERIOD_S)
    for path in paths:
        assert site.late_arrivals(path) <= MAX_LATE
    assert site.request(hosts[0], "/stock/0").status == 200
