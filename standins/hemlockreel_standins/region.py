"""The replicated documents of one region, with a simulated clock.

Only the controllers that read and replicate the configuration and the host
list run, on a membership table that the test fills. The platform consists of
the store's stand-in and a plain list of hosts.
"""

from collections import Counter
import heapq
import itertools
import random
from typing import Any
from urllib import parse

from hemlockreel import actions
from hemlockreel import board
from hemlockreel import configuration
from hemlockreel import configuration_reader
from hemlockreel import configuration_status
from hemlockreel import events
from hemlockreel import host_list
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import replicas
from hemlockreel import replication

from . import helper
from . import store
from . import store_calls

CONTROLLERS = (
    replication,
    host_list,
    configuration_reader,
    configuration,
    configuration_status,
)
TICK_S = 0.1
DELAY_S = 0.002  # one way to the platform
WATCH_STEP_S = 0.02


class Region:
    """Daemons by number; each may be isolated from the platform.

    ``silent`` holds the numbers of daemons whose calls to the platform all
    time out, ``lost`` the share of messages that are dropped.
    """

    def __init__(self, count: int, seed: int = 1):
        self.rng = random.Random(seed)
        self.store = store.Store()
        self.listed: tuple[replicas.Replica, ...] = ()
        self.now = 0.0
        self.lost = 0.0
        self.message_delay_s = 0.002
        self.silent: set[int] = set()
        self.frozen_watches = False
        self.bytes: Counter = Counter()
        self.calls: Counter = Counter()
        self.boards: dict[int, board.Board] = {}
        self._queue: list[tuple[float, int, Any]] = []
        self._serial = itertools.count()
        self._epoch = itertools.count(1)
        for number in range(count):
            self.start(number)
        self.refresh_members()

    def start(self, number: int) -> None:
        """Starts a daemon with empty state, replacing any earlier one."""
        made = helper.make_board(address(number), seed=self.rng.getrandbits(9))
        identity = made.identity._replace(epoch=next(self._epoch))
        self.boards[number] = board.Board(identity, (), made.rng)
        self._at(self.rng.random() * TICK_S, self._tick, identity.epoch)

    def kill(self, number: int) -> None:
        """Stops a daemon.

        It stays in the others' tables until :meth:`refresh_members`.
        """
        del self.boards[number]

    def refresh_members(self) -> None:
        """Fills all membership tables with the daemons that run now."""
        updates = {
            made.identity.host: membership.own_update(made)
            for made in self.boards.values()
        }
        for made in self.boards.values():
            own = made.identity.host
            membership.table(made).members = {
                host: update for host, update in updates.items() if host != own
            }

    def declare(self, kind: str, name: str, value: Any) -> None:
        """Writes an object into the store; ``None`` deletes it."""
        method = "DELETE" if value is None else "PUT"
        path = f"/v1/objects/{kind}/{name}"
        call = actions.CallStore("operator", method, path, value)
        response = store_calls.perform(self.store, call)
        assert response.status in (200, 201), response

    def run(self, seconds: float) -> None:
        """Advances the clock by ``seconds`` and handles all events due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def run_until(self, test: Any, most_s: float) -> float:
        """Returns the seconds until ``test()`` is true.

        Infinite when it is still false after ``most_s`` seconds.
        """
        began = self.now
        while self.now - began < most_s:
            if test():
                return self.now - began
            self.run(0.02)
        return float("inf")

    def generations(self) -> list[int]:
        """Returns the generation in force at each daemon, 0 for none."""
        found = [configuration.current(made) for made in self.boards.values()]
        return [0 if item is None else item.generation for item in found]

    def step(self, number: int, event: Any) -> None:
        """Lets a daemon handle an event and performs its actions."""
        made = self.boards[number]
        for controller in CONTROLLERS:
            for action in controller.handle(event, made, self.now):
                self._perform(number, made, action)

    def _at(self, delay: float, call: Any, *arguments: Any) -> None:
        entry = (self.now + delay, next(self._serial))
        heapq.heappush(self._queue, (*entry, lambda: call(*arguments)))

    def _tick(self, epoch: int) -> None:
        for number, made in self.boards.items():
            if made.identity.epoch == epoch:
                self.step(number, events.Tick(1e9 + self.now))
                self._at(TICK_S, self._tick, epoch)
                return

    def _deliver(self, epoch: int, number: int, event: Any) -> None:
        made = self.boards.get(number)
        if made is not None and epoch in (0, made.identity.epoch):
            self.step(number, event)

    def _perform(self, number: int, made: board.Board, action: Any) -> None:
        epoch = made.identity.epoch
        if isinstance(action, actions.Send):
            data = messages.encode(action.message)
            self.bytes[number] += len(data)
            if self.rng.random() >= self.lost:
                to = number_of(action.to)
                message = messages.decode(data)
                self._at(self.message_delay_s, self._deliver, 0, to, message)
        elif isinstance(action, actions.ReadHostList):
            self.calls["hosts"] += 1
            listed = None if number in self.silent else self.listed
            delay = action.timeout_s if listed is None else 2 * DELAY_S
            event = events.HostListRead(listed)
            self._at(delay, self._deliver, epoch, number, event)
        elif isinstance(action, actions.CallStore):
            self.calls[action.call_id] += 1
            if number in self.silent:
                event = events.StoreResponded(action.call_id, 0, {})
                wait = action.timeout_s
                self._at(wait, self._deliver, epoch, number, event)
            elif action.path.startswith("/v1/watch"):
                end = self.now + action.timeout_s
                self._at(DELAY_S, self._watch, epoch, number, action, end)
            else:
                self._at(DELAY_S, self._call, epoch, number, action)

    def _call(
        self, epoch: int, number: int, action: actions.CallStore
    ) -> None:
        response = store_calls.perform(self.store, action)
        self._at(DELAY_S, self._deliver, epoch, number, response)

    def _watch(
        self, epoch: int, number: int, action: actions.CallStore, end: float
    ) -> None:
        query = dict(parse.parse_qsl(parse.urlsplit(action.path).query))
        found = self.store._events(
            query["kinds"].split(","), int(query["after"])
        )
        body = {"revision": self.store.revision, "events": found}
        held_until = end - action.timeout_s + float(query["timeout"])
        response = None
        if self.frozen_watches or number in self.silent:
            if self.now >= end:
                response = events.StoreResponded(action.call_id, 0, {})
        elif self.store.faults["outage"]:
            response = events.StoreResponded(action.call_id, 503, {})
        elif found or self.now >= held_until:
            response = events.StoreResponded(action.call_id, 200, body)
        if response is None:
            again = (epoch, number, action, end)
            self._at(WATCH_STEP_S, self._watch, *again)
        else:
            self._at(DELAY_S, self._deliver, epoch, number, response)


def address(number: int) -> str:
    """Returns the peer address of a daemon."""
    return f"127.0.0.1:{20000 + number}"


def number_of(host: str) -> int:
    """Returns the number of the daemon at ``host``."""
    return int(host.rpartition(":")[2]) - 20000
