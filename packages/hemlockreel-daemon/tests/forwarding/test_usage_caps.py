"""Requests that count towards the cap of an organisation."""

import pytest

from hemlockreel import messages
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import organisations
from hemlockreel.forwarding import usage_caps
from hemlockreel.forwarding import usage_lending
from hemlockreel_daemon.forwarding import interfaces

PLAIN = rigs.ROUTE._replace(
    kind=deployments.RouteKind.IDEMPOTENT, objective_s=0.2, timeout_s=1.0
)
SERVICE = rigs.SERVICE._replace(engine=None)
CAP = organisations.UsageCap(1.0, 3.0)
HOLDER = organisations.Organisation("fjellpulver", (), cap=CAP)
WANT = messages.Want("fjellpulver", 0, 0, 0, 1, 1, 3, "")


@pytest.fixture
def rig():
    rig = rigs.Rig(rigs.server("s1"))
    found = deployments.Deployment(1, (), {}, organisations=(HOLDER,))
    rig.loop.post(active_deployment.DeploymentRead(found))
    rig.board.seeds = ()
    rig.board.state(usage_lending.State).started_at = -200.0
    # The lender has run for long enough to have all in hand.
    usage_lending._lend(rig.board, WANT, -100.0)
    usage_lending._lend(rig.board, WANT, 0.0)
    return rig


def handle(rig):
    return rig.handle_request(PLAIN, SERVICE, None, 1.0, organisation=HOLDER)


def test_above_the_cap_callers_get_429_and_the_time_of_return(rig):
    found = [handle(rig) for _ in range(6)]
    assert [each.status for each in found] == [200] * 3 + [429] * 3
    assert rig.backends.count("decode") == 3
    for each in found[3:]:
        ((_, after_s),) = each.headers
        assert 0.5 < float(after_s) <= 1.0
        assert b"fjellpulver" in each.body


def test_what_no_replica_ran_does_not_count(rig):
    ready = rig.backends.on_send
    rig.backends.on_send = lambda *_: rigs.make_send_failure()
    assert all(handle(rig).status == 503 for _ in range(6))
    rig.backends.on_send = ready
    assert [handle(rig).status for _ in range(4)] == [200] * 3 + [429]


@pytest.mark.parametrize("ran", interfaces.Ran)
def test_a_prefill_that_may_have_run_counts(ran):
    """Its replica sent no answer, and no decode replica ran the request."""
    rig = rigs.Rig(rigs.engine("p1", "prefill"), rigs.engine("d1", "decode"))
    found = deployments.Deployment(1, (), {}, organisations=(HOLDER,))
    rig.loop.post(active_deployment.DeploymentRead(found))
    rig.board.seeds = ()
    rig.board.state(usage_lending.State).started_at = -200.0
    usage_lending._lend(rig.board, WANT, -100.0)
    rig.backends.on_prefill = lambda *_: interfaces.SendFailure(ran, "")
    rig.backends.on_send = lambda *_: rigs.make_send_failure()
    assert rig.handle_request(organisation=HOLDER).status == 503
    assert rig.backends.count("prefill")
    unused = [
        each
        for each in rig.loop.seen
        if isinstance(each, usage_caps.UsageUnused)
    ]
    assert bool(unused) == (ran is not interfaces.Ran.UNKNOWN)


def test_no_organisation_no_cap(rig):
    found = [rig.handle_request(PLAIN, SERVICE, None, 1.0) for _ in range(9)]
    assert {each.status for each in found} == {200}
