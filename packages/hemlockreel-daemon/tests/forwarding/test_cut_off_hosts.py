"""Hosts that lose all replicas while callers and other hosts reach them."""

import pytest

from hemlockreel_standins import cut_rig

STABILITY_S = 3.0  # the platform's stability_ms
ROUNDS = 3


def share_served(site, hosts):
    """Returns the share of first tries at ``hosts`` that are served."""
    found = [site.request(host) for _ in range(ROUNDS) for host in hosts]
    return sum(each.status == 200 for each in found) / len(found)


# RECOVER of issue 30: callers of hosts without any replica were refused.
@pytest.mark.parametrize("hosts", [13, 195])
@pytest.mark.parametrize("cut_share", [0.1, 0.7])
def test_callers_of_cut_off_hosts_are_served(hosts, cut_share):
    site = cut_rig.Site(hosts)
    site.cut = set(site.hosts[: max(1, round(cut_share * hosts))])
    others = [each for each in site.hosts if each not in site.cut]
    share_served(site, sorted(site.cut))
    site.run(STABILITY_S)
    cut_served = share_served(site, sorted(site.cut))
    assert share_served(site, others) == 1.0
    assert cut_served >= 2 / 3
