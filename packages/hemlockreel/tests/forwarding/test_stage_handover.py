"""Hand-overs of the lease while engines change their stages.

The holder is frozen, killed or cut off at any step of an order. A host that
is only silent for a while may believe that it still holds the lease.
"""

import itertools
from typing import NamedTuple

import pytest

from hemlockreel import actions
from hemlockreel import events
from hemlockreel_standins import feed_rig
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import stage_assignment

PREFILL, DECODE = instances.Stage.PREFILL, instances.Stage.DECODE
SETTLE_S = 60.0  # a new lease and two changes one after the other
PLATFORM_LEASE_S = 3.0  # orders of two holders are at least this far apart
SWITCH_S = 3.0


class Order(NamedTuple):
    """An order that reached an engine at a time in seconds."""

    at: float
    holder: str
    fence: int
    engine: str


class Engines:
    """Six engines of a fleet, four of them for prefill at first."""

    def __init__(self, seed):
        self.fleet = feed_rig.Fleet(5, seed)
        self.fleet.services = {"lesar": rigs.SERVICE}
        self._call_store = self.fleet.fabric.call
        self.fleet.fabric.call = self._call
        self.accepted = {}
        self.orders = []
        self.due = []
        for number in range(6):
            stage = "prefill" if number < 4 else "decode"
            engine = rigs.engine(f"e{number}", stage)
            self.accepted[engine.id] = 0
            self.fleet.change(engine)

    def _call(self, at, action):
        if not isinstance(action, actions.CallEngine):
            return self._call_store(at, action)
        status, body = 200, {"busy": False}
        body["orders"] = self.accepted[action.instance]
        if action.operation == "orders":
            status = self._order(at, action)
        return events.EngineResponded(
            action.call_id, action.address, action.operation, status, body
        )

    def _order(self, at, action):
        now = self.fleet.fabric.now
        if now > action.not_after:
            return 0
        body = action.body
        self.orders.append(Order(now, at, body["fence"], action.instance))
        if body["expected"] != self.accepted[action.instance]:
            return 409
        self.accepted[action.instance] += 1
        self.due.append((now + SWITCH_S, action.instance, body["stage"]))
        return 202

    def run(self, seconds):
        """Lets time pass; engines are listed when they have changed."""
        for _ in range(round(seconds / 0.1)):
            self.fleet.run(0.1)
            now = self.fleet.fabric.now
            for each in [each for each in self.due if each[0] <= now]:
                self.due.remove(each)
                self.fleet.change(rigs.engine(each[1], each[2]))

    def holder(self):
        """Returns the host whose lease the store shows."""
        lease = self.fleet.lease
        return "" if lease is None else lease["value"]["holder"]

    def stages(self):
        """Returns how many engines are listed for prefill."""
        found = self.fleet.listed().values()
        return sum(each.stage is PREFILL for each in found)


def freeze(engines, holder):
    engines.fleet.fabric.frozen.add(holder)


def kill(engines, holder):
    engines.fleet.fabric.kill(holder)


def cut(engines, holder):
    others = set(engines.fleet.hosts) - {holder}
    engines.fleet.fabric.cut({holder}, others)
    engines.fleet.fabric.cut(others, {holder})
    engines.fleet.unreachable.add(holder)


def heal(engines):
    engines.fleet.fabric.frozen.clear()
    engines.fleet.fabric.cuts.clear()
    engines.fleet.unreachable.clear()


@pytest.mark.parametrize("harm", [freeze, kill, cut])
@pytest.mark.parametrize("after_s", [14.0, 17.0, 17.1, 17.6, 21.0, 27.0])
@pytest.mark.parametrize("for_s", [0.4, 4.0, 15.0])
def test_orders_come_from_one_holder_at_a_time(harm, after_s, for_s):
    engines = Engines(seed=1)
    engines.run(after_s)
    assert engines.holder()
    harm(engines, engines.holder())
    engines.run(for_s)
    heal(engines)
    engines.run(SETTLE_S)
    found = engines.orders
    for earlier, later in itertools.pairwise(found):
        assert earlier.fence <= later.fence
        if earlier.holder != later.holder:
            assert earlier.fence < later.fence
            assert later.at - earlier.at > PLATFORM_LEASE_S
    assert engines.stages() == stage_assignment.prefill_count(6)
    # No engine changed and was changed back.
    assert sum(engines.accepted.values()) == 2
