"""Replicas of one service that differ in speed, under the load of a fleet."""

import heapq
import random
import statistics

import pytest

from hemlockreel import core
from hemlockreel import messages
from hemlockreel_standins import fabric
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_pace
from hemlockreel.forwarding import replica_selection

SERVICE = "lesar"
ANSWER_S = 0.04
SLOTS = 30
LISTED = tuple(
    rigs.server(f"s{number}")._replace(born=7, slots=SLOTS)
    for number in range(3)
)


class Fleet:
    """Hosts that send requests to replicas which are functions.

    ``answer_s`` returns the time of an answer for the host, the id of the
    replica and the number of requests that run there, and whether it succeeds.
    """

    def __init__(self, hosts=75, listed=LISTED):
        self.fabric = fabric.Fabric()
        self.fabric.step = lambda board, event, now: core.step(
            board, event, now, core.FORWARDING_CONTROLLERS
        )
        self.rng = random.Random(5)
        self.hosts = [f"10.0.0.{number}:9" for number in range(hosts)]
        self.running = dict.fromkeys((each.id for each in listed), 0)
        self.answer_s = lambda host, id, running: (ANSWER_S, True)
        self._ends = []
        for host in self.hosts:
            self.fabric.add(host, seeds=tuple(self.hosts[:3]))
            self.fabric.post(host, instances.InstancesListed(listed))
        self.fabric.run(2.0)

    def serve(self, seconds, per_s=400):
        """Sends requests from random hosts; returns (id, seconds) of each."""
        sent = []
        end = self.fabric.now + seconds
        while self.fabric.now < end:
            self._run_until(self.fabric.now + self.rng.expovariate(per_s))
            sent.append(self.send(self.rng.choice(self.hosts)))
        return sent

    def _run_until(self, until):
        while self._ends and self._ends[0][0] <= until:
            at, _, host, instance, seconds, succeeded = heapq.heappop(
                self._ends
            )
            self.fabric.run(at - self.fabric.now)
            self.running[instance.id] -= 1
            ended = replica_selection.SendFinished(instance.id, 0, succeeded)
            self.fabric.post(host, ended)
            if succeeded:
                timed = replica_pace.AnswerTimed(
                    instance.id,
                    instance.born,
                    replica_pace.Kind.ANSWER,
                    seconds,
                    seconds,
                )
                self.fabric.post(host, timed)
        self.fabric.run(until - self.fabric.now)

    def send(self, host, instance=None):
        """Sends a request to the first replica, or to ``instance``."""
        board = self.fabric.boards[host]
        wanted = ranking.CandidatesRequested(
            "r", SERVICE, instances.Stage.PLAIN
        )
        if instance is None:
            instance = ranking.rank(board, wanted, self.fabric.now)[0]
        self.fabric.post(host, replica_selection.SendStarted(instance.id))
        self.running[instance.id] += 1
        seconds, succeeded = self.answer_s(
            host, instance.id, self.running[instance.id]
        )
        seconds *= self.rng.lognormvariate(0.0, 0.4)
        ends_at = self.fabric.now + seconds
        heapq.heappush(
            self._ends,
            (ends_at, self.rng.random(), host, instance, seconds, succeeded),
        )
        return instance.id, seconds

    def learned(self, function, id):
        """Returns the median over the hosts of ``pace`` or ``places``."""
        boards = self.fabric.boards.values()
        return statistics.median(
            function(
                board,
                board.state(instances.State).instances[id],
                self.fabric.now,
            )
            for board in boards
        )

    def pace(self, id):
        return self.learned(replica_pace.pace, id)

    def places(self, id):
        return self.learned(replica_pace.places, id)


def slow_down(id, factor):
    """Returns the times of answers while one replica is slower."""
    return lambda host, sent_to, running: (
        ANSWER_S * (factor if sent_to == id else 1.0),
        True,
    )


def share(sent, id):
    return sum(sent_to == id for sent_to, _ in sent) / len(sent)


def p95(sent):
    return statistics.quantiles((seconds for _, seconds in sent), n=20)[-1]


def test_a_slow_replica_is_found_in_two_seconds_and_gets_less():
    """Load: 400 requests/s of 75 hosts, one of three replicas 4x slower."""
    fleet = Fleet()
    before = p95(fleet.serve(3.0))
    fleet.answer_s = slow_down("s1", 4.0)
    fleet.serve(2.0)
    assert fleet.pace("s1") < 0.5
    fleet.serve(2.0)
    sent = fleet.serve(4.0)
    # A ninth is its share of the speed of all three.
    assert 1 / 18 < share(sent, "s1") < 2 / 9
    assert fleet.pace("s1") == pytest.approx(0.25, abs=0.1)
    assert p95([each for each in sent if each[0] != "s1"]) < 1.25 * before
    fleet.answer_s = slow_down("s1", 1.0)
    fleet.serve(1.0)
    assert fleet.pace("s1") < 0.5  # it isn't flooded
    fleet.serve(9.0)
    assert fleet.pace("s1") == 1.0
    assert share(fleet.serve(2.0), "s1") > 0.25


def test_a_replica_that_slows_down_before_it_is_full_is_kept_below():
    """Load: 900 requests/s; one replica of 30 slots slows down beyond 15."""
    fleet = Fleet()
    fleet.serve(3.0)
    fleet.answer_s = lambda host, id, running: (
        ANSWER_S * (1 + max(0, running - 15) / 2 if id == "s1" else 1),
        True,
    )
    fleet.serve(10.0, per_s=900)
    ran = []
    sent = []
    for _ in range(100):
        sent += fleet.serve(0.1, per_s=900)
        ran.append(fleet.running["s1"])
    assert fleet.places("s1") < 22
    assert statistics.mean(ran) < 15
    assert p95(sent) < 3 * ANSWER_S
    assert fleet.places("s0") == fleet.places("s2") == SLOTS


def slow_when_busy(host, id, running):
    return ANSWER_S * max(1.0, running / 10), True


def fail_fast(host, id, running):
    return (0.002, False) if id == "s1" else (ANSWER_S, True)


def slow_link(host, id, running):
    return ANSWER_S * (10 if host == "10.0.0.0:9" else 1), True


@pytest.mark.parametrize(
    ("answer_s", "per_s"),
    [(slow_when_busy, 1200), (fail_fast, 400), (slow_link, 400)],
)
def test_replicas_count_as_alike(answer_s, per_s):
    """Loads: a burst over all, failures that answer fast, one slow link."""
    fleet = Fleet()
    fleet.serve(2.0)
    fleet.answer_s = answer_s
    for _ in range(6):
        fleet.serve(1.0, per_s=per_s)
        assert [fleet.pace(id) for id in fleet.running] == [1.0] * 3
        assert [fleet.places(id) for id in fleet.running] == [SLOTS] * 3


def test_a_queue_is_not_taken_for_a_slow_replica():
    """Load: a full service; one replica has a long queue after a burst."""
    listed = tuple(each._replace(slots=6) for each in LISTED)
    fleet = Fleet(listed=listed)
    fleet.answer_s = lambda host, id, running: (
        ANSWER_S * max(1.0, running / 6),
        True,
    )
    fleet.serve(2.0, per_s=300)
    for host in 2 * fleet.hosts:
        fleet.send(host, listed[1])
    for _ in range(8):
        fleet.serve(0.5, per_s=420)
        assert [fleet.pace(id) for id in fleet.running] == [1.0] * 3


def test_alike_replicas_are_ranked_as_without_pace():
    """Load: a calm fleet, where the pace must change no choice."""
    sent = []
    for is_enabled in (True, False):
        fleet = Fleet(hosts=13)
        for board in fleet.fabric.boards.values():
            board.state(replica_pace.State).is_enabled = is_enabled
        sent.append(fleet.serve(6.0, per_s=200))
    assert sent[0] == sent[1]


def test_another_host_collects_when_one_is_lost():
    """Failure: the host that collects the times dies while one is slow."""
    fleet = Fleet()
    fleet.answer_s = slow_down("s1", 4.0)
    fleet.serve(4.0)
    sent = fleet.fabric.sent[fleet.hosts[5]]
    collector = [
        each.to
        for each in sent
        if isinstance(each.message, messages.TimesReported)
    ][-1]
    fleet.fabric.kill(collector)
    fleet.hosts.remove(collector)
    paces = []
    for _ in range(16):
        fleet.serve(0.5)
        paces.append(fleet.pace("s1"))
    assert max(paces) < 0.7
    assert paces[-1] < 0.4


def test_a_host_without_answers_goes_by_its_own_times():
    """Failure: a busy host that hears no other one finds a slow replica."""
    fleet = Fleet(hosts=13)
    fleet.answer_s = slow_down("s1", 4.0)
    alone = fleet.hosts[3]
    others = [host for host in fleet.hosts if host != alone]
    fleet.fabric.cut(others, [alone])
    fleet.hosts = [alone]
    fleet.serve(8.0, per_s=60)
    fleet.hosts = others
    board = fleet.fabric.boards[alone]
    assert replica_pace.pace(board, LISTED[1], fleet.fabric.now) < 0.6
    fleet.serve(20.0, per_s=60)
    assert replica_pace.pace(board, LISTED[0], fleet.fabric.now) == 1.0


def test_a_replica_that_starts_anew_is_forgotten():
    """Failure: a slow replica restarts under the same id and is fast."""
    fleet = Fleet()
    fleet.answer_s = slow_down("s1", 4.0)
    fleet.serve(4.0)
    assert fleet.pace("s1") < 0.5
    started = LISTED[1]._replace(born=8)
    for host in fleet.hosts:
        fleet.fabric.post(host, instances.InstancesChanged((started,), ()))
    fleet.answer_s = slow_down("s1", 1.0)
    fleet.fabric.run(0.1)
    assert fleet.pace("s1") == 1.0
    fleet.serve(4.0)
    assert fleet.pace("s1") == 1.0


def test_a_slow_replica_of_the_own_zone_gets_less_than_another_zone():
    """Load: hosts that rarely have a request running at any replica."""
    far = LISTED[0]._replace(id="far", zone="elsewhere")
    fleet = Fleet(hosts=1, listed=(LISTED[1], far))
    board = fleet.fabric.boards[fleet.hosts[0]]
    told = messages.PacesTold(
        sender="10.0.0.1:9",
        epoch=1,
        service=SERVICE,
        paces=[messages.ReplicaPace("s1", 7, 0.25)],
    )
    fleet.fabric.post(fleet.hosts[0], told)
    sent = fleet.serve(2.0, per_s=200)
    assert 0.15 < share(sent, "s1") < 0.35
    assert replica_pace.pace(board, far, fleet.fabric.now) == 1.0
