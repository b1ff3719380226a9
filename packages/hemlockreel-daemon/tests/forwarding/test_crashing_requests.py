"""A plain request that crashes each server which begins to run it.

It comes again at any host, with another id but the same content.
"""

import pytest

from hemlockreel_standins import crash_rig

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
