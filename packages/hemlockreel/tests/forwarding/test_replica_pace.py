"""Replicas of one service that differ in speed, under the load of a fleet."""

import heapq
import random
import statistics

import pytest

from hemlockreel import core
from hemlockreel_standins import fabric
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import pace_estimates
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
            sent.append(self._send(self.rng.choice(self.hosts)))
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

    def _send(self, host):
        board = self.fabric.boards[host]
        wanted = ranking.CandidatesRequested(
            "r", SERVICE, instances.Stage.PLAIN
        )
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
