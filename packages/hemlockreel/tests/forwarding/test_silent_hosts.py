"""Hosts that are only silent, or slow to report, for a while.

Requests run in the process that received them, so nobody may start the work
of a silent host again or give it up, here or at an engine.
"""

import pytest

from hemlockreel import actions
from hemlockreel_standins import feed_rig

HARMLESS = {
    actions.Send,
    actions.Reconnect,
    actions.Log,
    actions.Count,
    actions.CallStore,
}


def acts_of_others(fleet, silent):
    """Returns the kinds of actions of all hosts but ``silent``."""
    return {
        type(action)
        for at in fleet.hosts
        if at != silent
        for _, action in fleet.fabric.done[at]
    }


@pytest.mark.parametrize("silent_s", [0.6, 3.0, 20.0])
@pytest.mark.parametrize("way", ["frozen", "cut", "lossy"])
def test_nobody_acts_on_the_requests_of_a_silent_host(way, silent_s):
    fleet = feed_rig.Fleet(5)
    fleet.run(20.0)
    silent, others = fleet.hosts[2], set(fleet.hosts) - {fleet.hosts[2]}
    if way == "frozen":
        fleet.fabric.frozen.add(silent)
    elif way == "cut":
        fleet.fabric.cut({silent}, others)
        fleet.fabric.cut(others, {silent})
    else:
        fleet.fabric.loss = 0.5
    fleet.run(silent_s)
    fleet.fabric.frozen.clear()
    fleet.fabric.cuts.clear()
    fleet.fabric.loss = 0.0
    fleet.run(10.0)
    assert acts_of_others(fleet, silent) <= HARMLESS
    # Not even the silent host itself ends because it was taken for dead.
    assert actions.Exit not in {
        type(action) for _, action in fleet.fabric.done[silent]
    }
