"""Short soak runs with fixed seeds, among them one that once failed."""

import pytest

from hemlockreel_standins.soak import plan
from hemlockreel_standins.soak import play

# The seeds are fixed, so that CI runs are repeatable; `make soak` uses new
# ones. Each case is (seed, seconds, hosts, callers).
SHORT = (1, 4.0, 3, 6)
# Here a host was paused between two readings of the clock and sent a request
# with a negative timeout; see tests/forwarding/test_pauses.py of the daemon.
PAUSED = (212, 15.0, 4, 12)


@pytest.mark.parametrize("case", [SHORT, PAUSED])
def test_no_promise_is_broken(case, tmp_path):
    found = play.play(*case, tmp_path, plan.EARLIER_CHOICES)
    assert found.violations == []
    assert found.steps > 0


def test_no_promise_is_broken_by_the_later_kinds(tmp_path):
    """Restores of the store, and replicas that pause or never end."""
    choices = plan.Choices(
        (plan.Kind.STORE_RESTORED, plan.Kind.REPLICA_FAILS,
         plan.Kind.REPLICA_LEAVES, plan.Kind.HOST_STOPPED),
        plan.REPLICA_MODES[5:],
    )  # fmt: skip
    found = play.play(3, 8.0, 3, 8, tmp_path, choices)
    assert found.violations == []
    assert found.steps > 0


def test_crashing_part_ends_no_more_engines_once_it_is_known(tmp_path):
    """BUDGET of issue 23: requests with one part ended engine after engine."""
    choices = plan.Choices((plan.Kind.PART_CRASHES,), ())
    found = play.play(1, 1.0, 4, 8, tmp_path, choices)
    assert found.log.part_crashes
    assert found.violations == []


def test_a_named_limit_holds_over_all_hosts(tmp_path):
    """LIMIT of issue 23: a server got far more than the limit it named."""
    choices = plan.Choices((plan.Kind.REPLICA_LIMITED,), ())
    found = play.play(2, 1.0, 4, 8, tmp_path, choices)
    assert found.log.limits
    assert found.violations == []


# BUDGET of issue 27: one plain request ended server after server.
def test_crashing_request_ends_no_more_servers_once_it_is_known(tmp_path):
    choices = plan.Choices((plan.Kind.REQUEST_CRASHES,), ())
    found = play.play(1, 1.0, 4, 8, tmp_path, choices)
    assert found.log.part_crashes
    assert found.violations == []


# ORDER of issue 27: streams were joined from two software versions.
def test_resumed_streams_have_no_seam_after_releases(tmp_path):
    choices = plan.Choices(
        (plan.Kind.SOFTWARE_RELEASED, plan.Kind.ALL_KILLED,
         plan.Kind.HOST_KILLED, plan.Kind.REPLICA_FAILS),
        ("own_torn",),
    )  # fmt: skip
    found = play.play(5, 8.0, 4, 12, tmp_path, choices)
    assert found.violations == []
    assert any(each.resumes and each.whole for each in found.log.sent)


# RECOVER of issue 30: callers of hosts without any replica were refused.
@pytest.mark.parametrize("seed", [1, 2])
def test_callers_of_cut_off_hosts_are_served(seed, tmp_path):
    choices = plan.Choices((plan.Kind.CUT_OFF, plan.Kind.ROUTE_MOVED), ())
    found = play.play(seed, 6.0, 4, 10, tmp_path, choices)
    assert found.log.cut_offs
    assert found.violations == []
