"""What follows from the reported times of replicas, without hosts."""

import math
import random

import pytest

from hemlockreel.forwarding import pace_estimates

BORN = 7
RUNNING = 5  # at each replica, less than its slots
SLOTS = {"a": 16, "b": 16, "c": 16}


class Service:
    """Three replicas; each of ``hosts`` hosts reports them once a second."""

    def __init__(self, hosts=20):
        self.hosts = hosts
        self.group = pace_estimates.Group()
        self.now = 0.0
        self._rng = random.Random(3)

    def report(self, seconds, count=4, **times):
        """Reports for ``seconds``; ``times`` has those of each replica."""
        busy_s = RUNNING * 0.5 / (self.hosts * count)
        for _ in range(2 * seconds):
            self.now += 0.5
            for host in range(self.hosts):
                for id, time in times.items():
                    sums = pace_estimates.Sums()
                    for _ in range(count):
                        found = time * self._rng.lognormvariate(0.0, 0.5)
                        sums = pace_estimates.add_sample(sums, found, busy_s)
                    entry = pace_estimates.Entry(self.now, str(host), sums)
                    pace_estimates.add_report(self.group, id, BORN, entry)
            pace_estimates.update(self.group, SLOTS, self.now)

    def pace(self, id):
        return self.group.learned[id].pace


@pytest.mark.parametrize(
    ("time", "pace"), [(0.4, 0.25), (0.05, 2.0), (9.0, 0.1), (0.11, 1.0)]
)
def test_a_replica_that_differs_and_its_return(time, pace):
    """Loads: slow and fast ones; far too slow; within the variation."""
    service = Service()
    service.report(8, a=0.1, b=0.1, c=time)
    assert service.pace("c") == pytest.approx(pace, rel=0.2)
    assert service.pace("a") == service.pace("b") == 1.0
    service.report(14, a=0.1, b=0.1, c=0.1)
    assert service.pace("c") == 1.0


def test_without_samples_a_replica_becomes_neutral():
    """Load: a slow replica that gets no requests any more."""
    service = Service()
    service.report(4, a=0.1, b=0.1, c=0.4)
    service.report(30, a=0.1, b=0.1)
    assert service.pace("c") == 1.0


def test_few_samples_say_nothing():
    """Load: one host with one answer of each replica a second."""
    service = Service(hosts=1)
    for _ in range(30):
        service.report(1, count=1, a=0.1, b=0.1, c=0.13)
        assert service.pace("c") == 1.0


def test_one_host_with_a_slow_link_doesnt_judge_a_replica():
    """Failure: only the cut-off host still reports one of the replicas."""
    service = Service()
    service.report(3, a=0.1, b=0.1)
    service.hosts = 1
    service.report(2, count=40, c=0.9)
    assert service.pace("c") == 1.0


def test_reports_are_dropped_once_newer_ones_suffice():
    """Load: a long run, in which the memory must not grow."""
    service = Service()
    service.report(30, a=0.1, b=0.1, c=0.1)
    assert max(map(len, service.group.entries.values())) <= 3 * service.hosts


def test_the_room_grows_again_while_it_is_used():
    """Load: 14 requests run at a replica that took 8 before."""
    group = pace_estimates.Group()
    group.learned["a"] = pace_estimates.Learned(BORN, 0.0, 0.5, 0.0, 8.0)
    rooms = []
    for second in range(40):
        for id in SLOTS:
            sums = pace_estimates.Sums(20, 20 * math.log(0.1), 0.0, 14.0)
            sums = sums._replace(squares=sums.logs**2 / sums.count)
            for host in "xy":
                entry = pace_estimates.Entry(second, host, sums)
                pace_estimates.add_report(group, id, BORN, entry)
        pace_estimates.update(group, SLOTS, second)
        rooms.append(group.learned["a"].room)
    assert rooms == sorted(rooms)
    assert rooms[3] < 0.7
    assert rooms[-1] == 1.0


def test_a_slow_replica_isnt_taken_for_a_fast_one_at_once():
    """Load: a slow replica that recovers, with few and varying answers."""
    learned = {"c": pace_estimates.Learned(BORN, math.log(0.4))}
    found = {
        id: pace_estimates.Summary(math.log(time), 0.2, 2, 1.0)
        for id, time in (("a", 0.1), ("b", 0.1), ("c", 0.075))
    }
    assert pace_estimates.compare(found, learned)["c"] == 0.0
    found["c"] = found["c"]._replace(log_s=math.log(0.13))
    assert pace_estimates.compare(found, learned)["c"] < 0.0
