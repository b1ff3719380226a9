"""Real daemons whose callers belong to organisations with usage caps."""

import time

import pytest

from hemlockreel_standins import host_links
from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

from hemlockreel.forwarding import organisations
from hemlockreel.forwarding import usage_bounds

CONFIG_APPLY_S = 3.0  # the platform's config_apply_ms
CAP = organisations.UsageCap(20.0, 30.0)
CAPPED = {"rate_per_s": CAP.rate, "burst_size": CAP.burst}
FIRST = {"name": "fjellpulver", "api_keys": ["first", "second"], **CAPPED}
FREE = {"name": "voss-metall", "api_keys": ["third"]}


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp("capped")
    with host_links.LinkedSite(folder, 3) as started:
        processes.await_that(
            lambda: all(count_members(each) == 3 for each in started.daemons),
            10.0,
            "the hosts know each other",
        )
        configure(started, 2, FIRST, FREE)
        yield started


def count_members(daemon):
    return len(processes.get(daemon.operators, "/status")["members"])


def configure(site, version, *tenants):
    site.store.put(
        "config",
        "main",
        platform_site.configuration(version, tenants=list(tenants)),
    )
    time.sleep(CONFIG_APPLY_S)


def send(daemon, key):
    return platform_site.send(
        daemon.listen["frontend"],
        "GET",
        "/lookups/1",
        {"Hemlockreel-Credential": key, "Hemlockreel-Tenant-Id": "forged"},
    )


def test_keys_decide_who_is_served_and_as_whom(site):
    site.plain.arrivals.clear()
    found = [send(site.daemons[0], key)[0] for key in ("third", "other", "")]
    assert found == [200, 401, 401]
    (arrival,) = site.plain.runs()
    assert arrival.headers["hemlockreel-tenant-id"] == "voss-metall"
    assert "hemlockreel-credential" not in arrival.headers


def test_a_cap_holds_over_all_hosts(site):
    statuses, waits = [], []
    ends_at = time.monotonic() + 5.0
    while time.monotonic() < ends_at:
        for daemon in site.daemons:
            status, headers, _ = send(daemon, "first")
            statuses.append(status)
            if status == 429:
                waits.append(float(headers["Retry-After"]))
    assert set(statuses) == {200, 429}
    limits = usage_bounds.UsageLimits()
    served = statuses.count(200)
    assert 0.99 * CAP.rate * 5.0 <= served
    assert served <= usage_bounds.allowed(limits, CAP)
    assert max(waits) <= 1.0
    assert send(site.daemons[0], "third")[0] == 200


def test_status_and_metrics_name_the_organisation_but_no_key(site):
    caps = [
        processes.get(each.operators, "/status")["caps"][0]
        for each in site.daemons
    ]
    assert {each["organisation"] for each in caps} == {"fjellpulver"}
    assert any(each["lendable"] is not None for each in caps)
    for daemon in site.daemons:
        log = daemon.log.read_text()
        assert '"second"' not in log
        assert '"third"' not in log


def test_a_taken_key_is_refused_at_all_hosts(site):
    assert send(site.daemons[1], "second")[0] in (200, 429)
    configure(site, 3, {**FIRST, "api_keys": ["first"]}, FREE)
    found = [send(each, "second")[0] for each in site.daemons]
    assert found == [401] * 3
    assert send(site.daemons[0], "third")[0] == 200
