"""Requests to replicas that name a limit."""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_limits

PLAIN = rigs.ROUTE._replace(
    kind=deployments.RouteKind.IDEMPOTENT, objective_s=0.2, timeout_s=1.0
)
SERVICE = rigs.SERVICE._replace(engine=None)


@pytest.fixture
def rig():
    rig = rigs.Rig(rigs.server("s1"))
    rig.loop.post(replica_limits.LimitStated("s1", 0, 2.0))
    return rig


def handle(rig):
    return rig.handle_request(PLAIN, SERVICE, None, 1.0)


def test_beyond_the_limit_requests_are_refused_at_once_as_not_run(rig):
    found = [handle(rig) for _ in range(6)]
    refused = [each for each in found if each.status == 503]
    assert len(refused) >= 4
    assert rig.backends.count("decode") == 6 - len(refused)
    for each in refused:
        ((_, after_s),) = each.headers
        assert 0 < float(after_s) <= 1.0


def test_beyond_the_limit_requests_go_to_others(rig):
    listed = (rigs.server("s1"), rigs.server("s2"))
    rig.loop.post(instances.InstancesListed(listed))
    assert {handle(rig).status for _ in range(20)} == {200}
    at = [replica for _, replica, _ in rig.backends.sent]
    assert at.count("s1") <= 2


def test_an_engine_with_a_limit_runs_what_it_reserved_memory_for():
    """Its reservations took all permits, so that no run ended the limit."""
    rig = rigs.Rig(rigs.engine("p1", "prefill"), rigs.engine("d1", "decode"))
    rig.loop.post(replica_limits.LimitStated("d1", 0, 3.4))
    found = [rig.handle_request() for _ in range(4)]
    served = [each for each in found if each.status == 200]
    assert served
    held = rig.backends.count("hold")
    assert rig.backends.count("decode") == held == len(served)
