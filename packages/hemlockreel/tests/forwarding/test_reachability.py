"""What a host concludes from the connections that it opens, or can't."""

import collections

import pytest

from hemlockreel import addresses
from hemlockreel import leader
from hemlockreel import membership
from hemlockreel_standins import cut_rig

from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import reachability
from hemlockreel.forwarding import replica_health
from hemlockreel_daemon.forwarding import connector

SPREAD_S = 3.0  # the platform's stability_ms, for news to reach all hosts


def board(site, host):
    return site.fleet.fabric.boards[host]


def find_cut(site, host):
    """Returns what the others believe ``host`` to be cut off from."""
    return {
        membership.find_member(board(site, other), host).unreached
        for other in site.hosts
        if other != host
    }


@pytest.fixture
def site():
    return cut_rig.Site(13)


def request_until_cut(site, hosts):
    site.cut = set(hosts)
    for host in hosts:
        for _ in range(3):
            site.request(host)
    site.run(SPREAD_S)


def test_all_hosts_hear_of_a_cut_and_of_its_end(site):
    first = site.hosts[0]
    request_until_cut(site, [first])
    assert find_cut(site, first) == {("lesar",)}
    site.cut.clear()
    site.run(SPREAD_S)
    assert find_cut(site, first) == {()}
    assert not board(site, first).state(reachability.State).failing


# Hosts that were cut off just now may be the only ones to help the next.
@pytest.mark.parametrize("hosts", [4, 13, 195])
def test_hosts_help_as_soon_as_they_are_back(hosts):
    site = cut_rig.Site(hosts)
    request_until_cut(site, site.hosts[1:])
    site.cut = {site.hosts[0]}
    site.run(1.0)
    assert all(site.request(site.hosts[0]).status == 200 for _ in range(10))


def test_cut_off_hosts_leave_the_addresses_unless_all_are(site):
    for host in site.hosts:
        membership.table(board(site, host)).configuration = 1
    request_until_cut(site, site.hosts[:9])
    found = addresses.sample_for_zone(board(site, site.hosts[0]), "")
    assert set(found) == {f"c{host}" for host in site.hosts[9:]}
    for _ in range(3):
        request_until_cut(site, site.hosts)
    found = addresses.sample_for_zone(board(site, site.hosts[0]), "")
    assert len(found) == len(site.hosts)


def test_controller_is_a_host_that_reaches_the_engines(site):
    at = board(site, site.hosts[0])
    controller = leader.preferred_controller(at)
    request_until_cut(site, [controller])
    found = {
        leader.preferred_controller(board(site, host)) for host in site.hosts
    }
    assert len(found) == 1
    assert controller not in found


# A replica that is gone is no cut, and no host asks for more paths than it has
# requests, and tries by itself.
@pytest.mark.parametrize("hosts", [13, 195])
def test_replicas_that_are_gone_cost_few_paths(hosts):
    site = cut_rig.Site(hosts)
    site.down = {"s0", "s1"}
    rounds = 20
    for _ in range(rounds):
        for host in site.hosts[:13]:
            assert site.request(host).status == 200
        site.run(0.1)
    tries = 0.1 * rounds / reachability.PROBE_PERIOD_S + 1
    counts = collections.Counter(host for host, _ in site.paths)
    for host in site.hosts:
        requests = rounds if host in site.hosts[:13] else 0
        assert counts[host] <= requests + tries
    assert all(find_cut(site, host) == {()} for host in site.hosts[:3])


def test_replicas_that_are_gone_for_all_leave_nobody_out(site):
    site.down = {"s0", "s1", "s2"}
    for host in site.hosts:
        assert site.request(host).status == 503
    site.run(SPREAD_S)
    found = addresses.sample_for_zone(board(site, site.hosts[0]), "")
    assert len(found) == len(site.hosts)


def test_cut_says_nothing_about_the_replicas(site):
    first = site.hosts[0]
    request_until_cut(site, [first])
    at = board(site, first)
    health = at.state(replica_health.State)
    assert not health.connect_backoff
    assert all(
        replica_health.failure_rate(health, each, site.now) == 0.0
        for each in ("s0", "s1", "s2")
    )
    assert not at.state(ranking.State).running


def test_a_known_cut_costs_no_failed_connect(site):
    first = site.hosts[0]
    request_until_cut(site, [first])
    site.connects.clear()
    for _ in range(10):
        assert site.request(first).status == 200
    assert site.connects == []
    assert {via for _, via in site.arrivals[-10:]}.isdisjoint({"", first})


def test_replica_may_fail_for_hours(site):
    at = board(site, site.hosts[0])
    failed = reachability.DirectFailed("s0", "lesar")
    for turn in range(3000):
        list(reachability.handle(failed, at, site.now + 4.0 * turn))
    found = at.state(reachability.State).failing["s0"]
    assert found.next_try_at - (site.now + 4.0 * 2999) == (
        reachability.MAX_RETRY_S
    )


def test_known_paths_need_not_wait_for_slow_connects(site):
    first = site.hosts[0]
    request_until_cut(site, [first])
    for _ in range(connector.MAX_SECOND_WAYS):
        site.second_ways.acquire()
    assert site.request(first).status == 200


# Seed 903 of the soak: servers crashed one by one beside a cut.
def test_replicas_that_are_gone_do_not_hide_the_only_helper():
    site = cut_rig.Site(4, servers=9)
    request_until_cut(site, site.hosts[1:])
    site.down = {f"s{number}" for number in range(6)}
    served = 0
    for _ in range(10):
        for host in site.hosts[1:]:
            served += site.request(host).status == 200
        site.run(0.2)
    assert served == 30


def test_work_is_shared_by_the_hosts_that_are_left(site):
    request_until_cut(site, site.hosts[:9])
    site.arrivals.clear()
    for _ in range(20):
        for host in site.hosts[:9]:
            site.request(host)
    helpers = [via for _, via in site.arrivals]
    counts = {host: helpers.count(host) for host in site.hosts[9:]}
    assert sum(counts.values()) == len(helpers) == 180
    assert max(counts.values()) <= 2 * 180 / 4


def test_messages_of_a_cut_do_not_grow_with_the_hosts():
    """What a host sends more with news of a cut than in calm times."""
    more = {}
    for hosts in (13, 195):
        site = cut_rig.Site(hosts)
        site.run(20.0)
        counts = []
        for cut in (False, True):
            before = site.fleet.sent()
            if cut:
                request_until_cut(site, site.hosts[:1])
            else:
                site.run(SPREAD_S)
            counts.append((site.fleet.sent() - before) / hosts)
        more[hosts] = counts[1] - counts[0]
    assert more[195] <= more[13] + 1.0
