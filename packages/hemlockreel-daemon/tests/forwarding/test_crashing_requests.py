"""A plain request that crashes each server which begins to run it.

It comes again at any host, with another id but the same content.
"""

import pytest

from hemlockreel_standins import crash_rig

from hemlockreel.forwarding import blocked_parts
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
    site.run(blocked_parts.TRIAL_S)
    for host in hosts:
        for path in site.beside:
            site.request(host, path)
    site.run(1.0)
    for host in hosts:
        for path in site.beside:
            assert site.request(host, path).status == 200
        assert site.request(host, BAD).status in (502, 503)
    assert site.late_arrivals(BAD) <= MAX_LATE


def test_a_request_is_tried_once_at_a_time():
    """In case that it was blamed for crashes of another one."""
    site = crash_rig.Site(13, servers=6)
    site.bad.add(BAD)
    hosts = list(site.fleet.fabric.boards)
    for turn in range(600):
        site.request(hosts[turn % 13], BAD)
        site.run(0.25)
    late = site.late_arrivals(BAD)
    assert 0 < late <= MAX_LATE
    site.bad.clear()
    for turn in range(500):
        site.request(hosts[turn % 13], BAD)
        site.run(1.0)
    assert {site.request(host, BAD).status for host in hosts} == {200}


# BUDGET of issue 27: a first caller's two attempts blamed the request of this
# caller only, and three more servers ended for the next ones.
def test_a_request_of_another_caller_is_blocked_with_the_first_one():
    site = crash_rig.Site(13, servers=9)
    site.bad.add(BAD)
    hosts = list(site.fleet.fabric.boards)
    for turn in range(3):
        site.request(hosts[turn], BAD, caller="10.9.0.1")
        site.run(0.1)
    site.run(crash_rig.RESTART_S)
    for turn in range(60):
        for number in (1, 2):
            caller = f"10.9.{number}.{turn}"
            site.request(hosts[(turn + number) % 13], BAD, caller=caller)
        site.run(PERIOD_S)
    assert site.late_arrivals(BAD) <= MAX_LATE


@pytest.mark.parametrize("kind", ["IDEMPOTENT", "NON_IDEMPOTENT"])
def test_a_blocked_request_is_refused_as_not_run(kind):
    site = crash_rig.Site()
    site.bad.add(BAD)
    play(site, 5.0)
    route = crash_rig.ROUTE._replace(kind=deployments.RouteKind[kind])
    before = len(site.crashes)
    refused = site.request(
        next(iter(site.fleet.fabric.boards)), BAD, route=route
    )
    assert refused.status == 503
    assert float(dict(refused.headers)["Retry-After"]) > 0
    assert b"crash" in refused.body
    assert len(site.crashes) == before


def test_the_same_path_of_other_callers_is_sent_if_they_are_answered():
    site = crash_rig.Site()
    site.bad.add(BAD)
    site.bad_caller = "10.9.0.1"
    hosts = list(site.fleet.fabric.boards)
    statuses = []
    for turn in range(60):
        other = site.request(hosts[turn * 3 % 13], BAD, caller="10.9.0.2")
        statuses.append(other.status)
        site.request(hosts[turn % 13], BAD)
        site.run(PERIOD_S)
    assert statuses[-1] == 200
    assert site.request(hosts[0], BAD).status == 503
    assert site.late_arrivals(BAD) <= MAX_LATE


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
