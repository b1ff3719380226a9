"""Hosts that block parts of prompts, on a simulated network."""

from collections.abc import Sequence
from typing import Any

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import events
from hemlockreel import store_era

from hemlockreel.forwarding import block_records
from hemlockreel.forwarding import blocked_parts
from hemlockreel.forwarding import stream_records

from . import fabric

SETTLED_S = 3.0  # the platform's stability_ms
KINDS = (block_records.KIND, stream_records.KIND)


class Fleet:
    """Hosts on a simulated network, with a store and numbered crashes.

    ``objects`` are the store's objects by path, ``calls`` counts the calls
    on those with blocks. With ``store_is_down`` all calls fail.
    """

    def __init__(self, hosts: int = 13):
        self.fabric = fabric.Fabric()
        self.fabric.step = lambda board, event, now: core.step(
            board, event, now, core.FORWARDING_CONTROLLERS
        )
        self.fabric.call = self._call
        self.objects: dict[str, Any] = {}
        self.revision = 5
        self.era = 1
        self.calls = 0
        self.writes = 0
        self.store_is_down = False
        self.crashes = 0
        self.hosts = [f"10.0.0.{number}:9" for number in range(hosts)]
        self.start(self.hosts)

    def start(self, hosts: Sequence[str], run: int = 1) -> None:
        """Starts hosts anew, all at once, and lets them find each other."""
        for host in hosts:
            self.fabric.add(host, seeds=tuple(self.hosts[:3]), epoch=run)
        self.fabric.run(SETTLED_S)

    def _call(self, host: str, action: Any) -> Any:
        if not isinstance(action, actions.CallStore):
            return None
        is_known = any(kind in action.path for kind in KINDS)
        if self.store_is_down or not is_known:
            return events.StoreResponded(action.call_id, 503, {}, era=self.era)
        self.calls += block_records.KIND in action.path
        self.writes += action.method == "PUT"
        status, body = self._respond(action)
        return events.StoreResponded(
            action.call_id, status, body, era=self.era
        )

    def _respond(self, action: actions.CallStore) -> tuple[int, Any]:
        found = self.objects.get(action.path)
        if action.method == "PUT":
            if action.expected != (found["version"] if found else 0):
                return 412, {}
            self.revision += 1
            found = {"version": self.revision, "value": action.value}
            self.objects[action.path] = found
        return (200, {"object": found}) if found else (404, {})

    def lose_store(self) -> None:
        """Restores the store from a copy without any blocks."""
        self.objects.clear()
        self.era += 1
        for host in self.hosts:
            self.fabric.post(host, store_era.EraSeen(self.era))

    def crash(self, *broken: Sequence[str], at: int = 0) -> None:
        """Crashes a replica under requests, given as lists of parts.

        Their hosts differ, beginning with number ``at``.
        """
        self.crashes += 1
        for number, parts in enumerate(broken):
            host = self.hosts[(at + number) % len(self.hosts)]
            self.fabric.post(host, self.broken_run(parts, number))
        self.fabric.run(1.2)

    def broken_run(
        self, parts: Sequence[str], number: int = 0
    ) -> blocked_parts.RunBroken:
        """Returns the report of a young answer that the last crash cut."""
        return blocked_parts.RunBroken(
            "lesar", f"r{self.crashes}-{number}", f"d{self.crashes}", 7,
            tuple(parts), 0.1,
        )  # fmt: skip

    def complete(
        self, *parts: str, at: int = -1, seconds: float = 1.0
    ) -> None:
        """Lets a host report a complete answer on ``parts``."""
        done = blocked_parts.RunCompleted("lesar", parts, seconds)
        self.fabric.post(self.hosts[at], done)
        self.fabric.run(0.1)

    def blocking(self, *parts: str) -> set[str]:
        """Returns the hosts that refuse a prompt with ``parts``."""
        now = self.fabric.now
        return {
            host
            for host, board in self.fabric.boards.items()
            if blocked_parts.find_refusal(board, "lesar", parts, now)
        }

    def blocked_count(self) -> int:
        """Returns how often hosts have begun to block a part."""
        logged = [
            action
            for host in self.hosts
            for action in self.fabric.performed(host, actions.Log)
        ]
        return sum(each.event == "part_blocked" for each in logged)

    def sent(self) -> int:
        """Returns the number of messages that hosts have sent."""
        return sum(len(each) for each in self.fabric.sent.values())
