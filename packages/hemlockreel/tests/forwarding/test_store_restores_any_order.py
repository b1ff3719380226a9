"""Restores of the store in any order with other faults, as a model check.

Hosts are cut from the store and from each other, killed and frozen while the
store is restored from older copies. After each step: no two hosts may give
orders, fencing numbers rise, the deployment in force does not go back, and a
replica that a host knew as leaving gets no requests from it.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from hemlockreel import events
from hemlockreel import leader
from hemlockreel_standins import feed_rig
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import departures
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import store_fanout

HOST_COUNT = 7
# A host may need a takeover of the failure detector and a read of its own
# after the last fault; replicas of a copy are withheld for a while.
AGREEMENT_S = 12.0 + departures.WITHHELD_S
HOSTS = strategies.integers(0, HOST_COUNT - 1)


class Restores(stateful.RuleBasedStateMachine):
    """A fleet that is large enough to have readers and other hosts."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(store_fanout, "MAX_SMALL_FLEET_HOSTS", 2)
        self.fleet = feed_rig.Fleet(HOST_COUNT)
        self.number = 0
        self.highest_fence = 0
        self.last_holder = ""
        self.left: dict[tuple[str, int], set[str]] = {}
        self.versions: dict[tuple[str, int], int] = {}
        self.epochs = dict.fromkeys(self.fleet.hosts, 1)
        for name in ("d1", "d2"):
            self.fleet.change(rigs.engine(name, "decode"))
        self.pass_time(60)
        self.fleet.save()

    def teardown(self):
        self.patch.undo()

    def pass_time(self, steps):
        for _ in range(steps):
            self.fleet.run(feed_rig.STEP_S)
            self.check()

    def check(self):
        now = self.fleet.fabric.now
        holding = []
        for host, board in self.fleet.fabric.boards.items():
            run = (host, self.epochs[host])
            found = active_deployment.current(board)
            version = found.version if found else 0
            assert version >= self.versions.get(run, 0), "deployment went back"
            self.versions[run] = version
            state = board.state(instances.State)
            left = self.left.setdefault(run, set())
            for each in state.instances.values():
                if each.draining:
                    left.add(each.id)
            used = {each.id for each in instances.usable(state, "lesar", now)}
            assert not used & left, "a replica that left is used"
            if leader.lease_time_left(board, now) > 0:
                holding.append((host, leader.fencing_number(board)))
        assert len(holding) <= 1, "two hosts may give orders"
        for host, fence in holding:
            if host == self.last_holder:
                assert fence >= self.highest_fence
            else:
                assert fence > self.highest_fence
            self.highest_fence, self.last_holder = fence, host

    @stateful.rule(steps=strategies.sampled_from([1, 3, 10, 30, 130]))
    def run(self, steps):
        self.pass_time(steps)

    @stateful.rule()
    def save(self):
        self.fleet.save()

    @stateful.rule()
    def restore(self):
        self.fleet.restore()

    @stateful.rule()
    def expire_watches(self):
        self.fleet.expire_watches()

    @stateful.rule()
    def configure(self):
        self.fleet.configure()

    @stateful.rule()
    def add_replica(self):
        self.number += 1
        self.fleet.change(rigs.engine(f"x{self.number}", "decode"))

    @stateful.rule()
    def drain_replica(self):
        if self.fleet.present:
            replica = min(self.fleet.present.values())
            self.fleet.change(replica._replace(draining=True))

    @stateful.rule()
    def remove_replica(self):
        draining = [e for e in self.fleet.present.values() if e.draining]
        if draining:
            self.fleet.change(min(draining), gone=True)

    @stateful.rule(index=HOSTS)
    def cut_from_store(self, index):
        self.fleet.unreachable |= {feed_rig.host(index)}

    @stateful.rule(index=HOSTS)
    def cut_from_peers(self, index):
        alone, rest = {feed_rig.host(index)}, set(self.fleet.hosts)
        self.fleet.fabric.cut(alone, rest)
        self.fleet.fabric.cut(rest, alone)

    @stateful.rule()
    def heal(self):
        self.fleet.unreachable = set()
        self.fleet.fabric.cuts.clear()

    @stateful.rule(index=HOSTS)
    def restart(self, index):
        host = feed_rig.host(index)
        self.epochs[host] += 1
        seeds = (feed_rig.host(0), feed_rig.host(1))
        self.fleet.fabric.add(
            host, feed_rig.ZONES[index % 3], seeds, self.epochs[host]
        )
        self.fleet.forget(host)
        self.fleet.fabric.post(host, events.Tick())

    @stateful.rule()
    def agree(self):
        """Without further faults all hosts know what the store shows."""
        self.heal()
        self.pass_time(round(AGREEMENT_S / feed_rig.STEP_S))
        wanted = {
            id for id, each in self.fleet.listed().items() if not each.draining
        }
        for board in self.fleet.fabric.boards.values():
            state = board.state(instances.State)
            found = instances.usable(state, "lesar", self.fleet.fabric.now)
            assert {each.id for each in found} == wanted
        assert self.fleet.hosts_with_version(self.fleet.version) == set(
            self.fleet.hosts
        )


Restores.TestCase.settings = hypothesis.settings(
    max_examples=8,
    stateful_step_count=14,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    derandomize=True,
)
TestRestores = Restores.TestCase
