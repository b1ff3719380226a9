"""Hosts that share one view of a pool, while messages and hosts are lost."""

import pytest

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import messages
from hemlockreel_standins import fabric
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import pool_load
from hemlockreel.forwarding import shared_placement

DECODE = instances.Stage.DECODE
POOL = ("lesar", DECODE)
LISTED = tuple(rigs.engine(f"d{each}", "decode") for each in range(4))
HEAL_S = pool_load.EXPIRY_S + 0.2


class Hosts:
    """Hosts on a simulated network, whose workers ask for places.

    ``answers`` holds the last answer by key, ``running`` the replica of each
    place in use by host and key.
    """

    def __init__(self, count=6, seed=1):
        self.fabric = fabric.Fabric(seed)
        self.fabric.step = lambda board, event, now: core.step(
            board, event, now, core.FORWARDING_CONTROLLERS
        )
        self.fabric.call = self._note
        self.names = [f"10.0.0.{number}:9" for number in range(count)]
        self.answers = {}
        self.running = {}
        self.count = 0
        for name in self.names:
            self.start(name)
        self.fabric.run(3.0)

    def start(self, name, epoch=1):
        board = self.fabric.add(name, seeds=tuple(self.names[:3]), epoch=epoch)
        board.state(shared_placement.State).is_shared = True
        self.fabric.post(name, instances.InstancesListed(LISTED))

    def kill(self, name):
        self.fabric.kill(name)
        self.running = {k: v for k, v in self.running.items() if k[0] != name}

    @property
    def live(self):
        return [name for name in self.names if name in self.fabric.boards]

    @property
    def giver(self):
        board = self.fabric.boards[self.live[0]]
        return shared_placement.giver(board, POOL)

    def pool(self, name=None):
        board = self.fabric.boards[name or self.giver]
        return board.state(shared_placement.State).pools.get(POOL)

    def ask(self, host, key=None, number=1, wait_s=0.5, **fields):
        self.count += 1
        key = key or f"{host}/{self.count}"
        requested = shared_placement.PlaceRequested(
            key, key, number, *POOL, 1000, 0, "", wait_s, **fields
        )
        self.fabric.post(host, requested)
        return key

    def end(self, host, key):
        self.running.pop((host, key), None)
        self.fabric.post(host, shared_placement.PlaceEnded(key, True))

    def _note(self, host, action):
        if not isinstance(action, actions.Reply) or not isinstance(
            action.value, shared_placement.Answer
        ):
            return
        answer = action.value
        self.answers[answer.key] = answer
        if answer.replicas:
            self.running[host, answer.key] = answer.replicas[0]

    def load(self, seconds, per_s=30):
        """Has random hosts ask, end and ask again."""
        for _ in range(int(seconds * per_s)):
            host = self.fabric.rng.choice(self.live)
            self.ask(host)
            if self.running and self.fabric.rng.random() < 0.6:
                self.end(*self.fabric.rng.choice(sorted(self.running)))
            self.fabric.run(1 / per_s)

    def in_use(self):
        """Returns the places that hosts hold, by key."""
        return {
            key: each.replica
            for name in self.live
            for key, each in self.fabric.boards[name]
            .state(shared_placement.State)
            .held.items()
            if each.replica
        }

    def known(self):
        """Returns the places that the giver knows, by key."""
        pool = self.pool()
        places = {} if pool is None else pool.load.places
        return {key: each.replica for key, each in places.items()}


def test_all_hosts_ask_the_same_one():
    hosts = Hosts()
    givers = {
        shared_placement.giver(board, POOL)
        for board in hosts.fabric.boards.values()
    }
    assert len(givers) == 1


def test_hosts_share_the_replicas_evenly():
    hosts = Hosts()
    keys = [hosts.ask(hosts.names[each % 6]) for each in range(40)]
    hosts.fabric.run(0.1)
    used = [hosts.answers[key].replicas[0] for key in keys]
    assert {used.count(each.id) for each in LISTED} == {10}


def test_a_request_waits_until_a_place_is_freed():
    hosts = Hosts()
    keys = [hosts.ask(hosts.names[0]) for _ in range(64)]
    hosts.fabric.run(0.05)
    waiting = hosts.ask(hosts.names[1])
    hosts.fabric.run(0.05)
    queued = hosts.answers[waiting]
    assert (queued.replicas, queued.after_s) == (None, None)
    freed = hosts.answers[keys[0]].replicas
    hosts.end(hosts.names[0], keys[0])
    hosts.fabric.run(0.05)
    assert hosts.answers[waiting].replicas == freed


def test_a_request_that_got_no_place_in_time_is_refused():
    hosts = Hosts()
    for _ in range(64):
        hosts.ask(hosts.names[0])
    hosts.fabric.run(0.05)
    late = hosts.ask(hosts.names[1], wait_s=0.3)
    hosts.fabric.run(0.5)
    assert hosts.answers[late].after_s is not None
    assert late not in hosts.known()


@pytest.mark.parametrize("seed", range(8))
def test_the_view_heals_after_losses_in_any_order(seed):
    hosts = Hosts(seed=seed)
    hosts.load(2.0)
    hosts.fabric.loss = 0.2
    hosts.load(2.0)
    hosts.kill(hosts.giver)
    hosts.load(2.0)
    hosts.fabric.loss = 0.0
    hosts.load(HEAL_S + 2.0)
    hosts.fabric.run(1.0)  # none waits any more
    assert hosts.known() == hosts.in_use()
    for host, key in list(hosts.running):
        hosts.end(host, key)
    hosts.fabric.run(HEAL_S + 1.0)
    assert not hosts.known()


def test_a_new_giver_learns_what_its_predecessor_knew():
    hosts = Hosts()
    before = hosts.giver
    others = [name for name in hosts.names if name != before]
    for each in range(40):
        hosts.ask(others[each % 5])
    hosts.fabric.run(0.1)
    hosts.kill(before)
    for _ in range(60):
        hosts.fabric.run(0.1)
        if hosts.giver != before:
            break
    hosts.fabric.run(shared_placement.REPORT_S + 0.2)
    assert len(hosts.known()) == 40


def test_places_of_a_lost_host_are_free_again():
    hosts = Hosts()
    giver = hosts.giver
    lost = next(name for name in hosts.names if name != giver)
    for _ in range(64):
        hosts.ask(lost)
    hosts.fabric.run(0.1)
    hosts.kill(lost)
    hosts.fabric.run(HEAL_S)
    assert hosts.giver == giver
    assert not hosts.known()


def test_a_silent_giver_is_not_asked_again_at_once():
    hosts = Hosts()
    host = next(name for name in hosts.names if name != hosts.giver)
    hosts.fabric.post(host, shared_placement.PlaceUnanswered(*POOL))
    hosts.fabric.run(0.01)
    key = hosts.ask(host)
    hosts.fabric.run(0.01)
    assert hosts.answers[key].replicas == ()
    hosts.fabric.run(shared_placement.SILENT_S)
    key = hosts.ask(host)
    hosts.fabric.run(0.01)
    assert hosts.answers[key].replicas


def test_a_giver_that_stays_silent_is_asked_less_and_less_often():
    hosts = Hosts()
    host = next(name for name in hosts.names if name != hosts.giver)
    silent = hosts.fabric.boards[host].state(shared_placement.State).silent

    def pause_s():
        for _ in range(3):  # all that were under way
            unanswered = shared_placement.PlaceUnanswered(*POOL)
            hosts.fabric.post(host, unanswered)
        hosts.fabric.run(0.01)
        paused = silent[hosts.giver].pause_s
        hosts.fabric.run(paused)
        return paused

    assert [pause_s() for _ in range(6)] == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0]
    key = hosts.ask(host)
    hosts.fabric.run(0.05)
    assert hosts.answers[key].replicas
    assert pause_s() == shared_placement.SILENT_S


def test_an_answer_that_came_too_late_changes_nothing():
    hosts = Hosts()
    host = next(name for name in hosts.names if name != hosts.giver)
    key = hosts.ask(host)
    used = shared_placement.PlaceUsed(key, "d3", *POOL, 1000, "")
    hosts.fabric.post(host, used)
    hosts.fabric.run(0.1)
    assert hosts.in_use() == hosts.known() == {key: "d3"}


def test_a_refusal_that_crosses_the_next_ask_changes_nothing():
    hosts = Hosts()
    host = next(name for name in hosts.names if name != hosts.giver)
    key = hosts.ask(host, number=2)
    refused = messages.PlaceRefused(
        sender=hosts.giver, epoch=1, key=key, number=1, after_s=1.0
    )
    hosts.fabric.post(host, refused)
    hosts.fabric.run(0.1)
    assert hosts.answers[key].replicas
    assert hosts.in_use() == hosts.known() != {}
    hosts.end(host, key)
    hosts.fabric.run(0.1)
    assert not hosts.known()


def test_a_refusal_that_came_too_late_keeps_the_place_in_use():
    hosts = Hosts()
    host = next(name for name in hosts.names if name != hosts.giver)
    used = shared_placement.PlaceUsed("k", "d3", *POOL, 1000, "")
    hosts.fabric.post(host, used)
    refused = messages.PlaceRefused(
        sender=hosts.giver, epoch=1, key="k", number=1, after_s=1.0
    )
    hosts.fabric.post(host, refused)
    hosts.fabric.run(0.1)
    assert hosts.in_use() == {"k": "d3"}


def test_a_stage_of_a_later_build_is_ignored():
    hosts = Hosts()
    asked = messages.PlaceAsked(
        sender=hosts.names[0],
        epoch=1,
        key="k",
        number=1,
        service="lesar",
        stage="verify",
    )
    hosts.fabric.post(hosts.giver, asked)
    hosts.fabric.run(0.1)
    assert "k" not in hosts.answers


def test_calm_hosts_send_nothing():
    hosts = Hosts()
    hosts.fabric.sent.clear()
    hosts.fabric.run(3.0)
    kinds = (messages.PlacesHeld, messages.PlaceAsked, messages.PlaceFreed)
    assert not any(
        isinstance(each.message, kinds)
        for sent in hosts.fabric.sent.values()
        for each in sent
    )


def test_hosts_that_left_are_forgotten():
    hosts = Hosts()
    giver = hosts.giver
    host = next(name for name in hosts.names if name != giver)
    state = hosts.fabric.boards[host].state(shared_placement.State)
    hosts.fabric.post(host, shared_placement.PlaceUnanswered(*POOL))
    hosts.fabric.run(2 * shared_placement.REPORT_S)
    assert list(state.silent) == [giver]
    hosts.kill(giver)
    for _ in range(60):
        hosts.fabric.run(0.1)
        if hosts.giver != giver:
            break
    hosts.fabric.run(10.0)
    assert not state.silent


def test_old_refusals_are_forgotten():
    hosts = Hosts()
    for _ in range(64):
        hosts.ask(hosts.names[0])
    hosts.fabric.run(0.05)
    hosts.ask(hosts.names[1], wait_s=0.1)
    hosts.fabric.run(0.5)
    state = hosts.fabric.boards[hosts.giver].state(shared_placement.State)
    assert list(state.logged_at) == [POOL]
    hosts.fabric.run(shared_placement.LOG_PERIOD_S + shared_placement.REPORT_S)
    assert not state.logged_at
