"""Replicas that name how many requests they take from all hosts together."""

import pytest

from hemlockreel import actions
from hemlockreel import core
from hemlockreel_standins import fabric
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_limits

RATE = 3.4
WINDOW_S = 4.0
ALLOWED = 1.5 * RATE * WINDOW_S + 5  # the users' rule LIMIT
LISTED = (
    rigs.server("s1")._replace(born=7),
    rigs.server("s2")._replace(born=7),
)


class Fleet:
    """Hosts on a simulated network that want to send to one replica."""

    def __init__(self, hosts):
        self.fabric = fabric.Fabric()
        self.fabric.step = lambda board, event, now: core.step(
            board, event, now, core.FORWARDING_CONTROLLERS
        )
        self.fabric.call = self._note
        self.permits = []
        self.granted_at = []
        self.hosts = [f"10.0.0.{number}:9" for number in range(hosts)]
        self.asked = 0
        for host in self.hosts:
            self.fabric.add(host, seeds=tuple(self.hosts[:3]))
            self.fabric.post(host, instances.InstancesListed(LISTED))
        self.fabric.run(3.0)

    def _note(self, host, action):
        if isinstance(action, actions.Reply) and isinstance(
            action.value, replica_limits.Permit
        ):
            self.permits.append(action.value)
            if action.value.granted:
                at = self.fabric.now + action.value.after_s
                self.granted_at.append(at)

    def state_limit(self, rate, host=0, born=7):
        stated = replica_limits.LimitStated("s1", born, rate)
        self.fabric.post(self.hosts[host], stated)
        self.fabric.run(0.1)

    def demand(self, seconds, per_s=40, max_wait_s=0.0):
        """Has random hosts that run ask for permits."""
        for _ in range(int(seconds * per_s)):
            self.asked += 1
            host = self.fabric.rng.choice(list(self.fabric.boards))
            asked = replica_limits.PermitRequested(
                f"r{self.asked}", 1, "s1", max_wait_s
            )
            self.fabric.post(host, asked)
            self.fabric.run(1 / per_s)

    def most(self):
        times = sorted(self.granted_at)
        return max(
            sum(at - WINDOW_S < each <= at for each in times) for at in times
        )

    def limited(self):
        return {
            host
            for host, board in self.fabric.boards.items()
            if "s1" in replica_limits.limited(board)
        }


@pytest.mark.parametrize("hosts", [13, 195])
@pytest.mark.parametrize("max_wait_s", [0.0, 1.0])
def test_a_limit_holds_over_all_hosts_and_is_used(hosts, max_wait_s):
    """LIMIT of issue 23: a server got far more than the limit it named."""
    fleet = Fleet(hosts)
    fleet.state_limit(RATE)
    assert fleet.limited() == set(fleet.hosts)
    fleet.demand(12.0, max_wait_s=max_wait_s)
    assert fleet.most() <= ALLOWED
    assert len(fleet.granted_at) >= 0.8 * 12.0 * RATE


def test_it_holds_while_hosts_end():
    fleet = Fleet(13)
    fleet.state_limit(RATE)
    for host in fleet.hosts[:10]:
        fleet.demand(1.0)
        fleet.fabric.kill(host)
    assert fleet.most() <= ALLOWED


def test_a_limit_that_changes_or_ends():
    fleet = Fleet(3)
    fleet.state_limit(RATE)
    fleet.fabric.run(1.1)
    fleet.state_limit(10.0, host=1)
    fleet.demand(8.0)
    assert 0.8 * 80 <= len(fleet.granted_at) <= 1.1 * 80
    fleet.state_limit(None, host=2)
    assert not fleet.limited()
    fleet.permits.clear()
    fleet.demand(1.0)
    assert all(each.granted for each in fleet.permits)


def test_an_answer_from_before_the_limit_does_not_end_it():
    fleet = Fleet(3)
    fleet.state_limit(RATE)
    fleet.state_limit(None)
    assert fleet.limited() == set(fleet.hosts)


def test_another_run_of_the_replica_has_no_limit():
    fleet = Fleet(3)
    fleet.state_limit(RATE)
    restarted = LISTED[0]._replace(born=8)
    for host in fleet.hosts:
        fleet.fabric.post(host, instances.InstancesChanged((restarted,), ()))
    fleet.fabric.run(0.1)
    assert not fleet.limited()


def test_a_limit_of_zero_lets_a_trial_through():
    fleet = Fleet(3)
    fleet.state_limit(0.0)
    fleet.demand(30.0, per_s=10)
    assert 1 <= len(fleet.granted_at) <= 4


def test_a_denied_request_learns_when_there_is_room():
    fleet = Fleet(3)
    fleet.state_limit(1.0)
    fleet.demand(0.5)
    denied = [each for each in fleet.permits if not each.granted]
    assert all(0 < each.after_s <= 1.0 for each in denied)


def test_replicas_without_a_limit_come_first_mostly():
    fleet = Fleet(1)
    fleet.state_limit(RATE)
    board = fleet.fabric.boards[fleet.hosts[0]]
    asked = ranking.CandidatesRequested("r", "lesar", instances.Stage.PLAIN)
    first = [ranking.rank(board, asked, 9.0)[0].id for _ in range(500)]
    assert 0.03 < first.count("s1") / 500 < 0.2
