"""Hosts that begin streams at two software versions, and resume them.

The hosts run on a simulated network. Which version began which stream is
kept here.
"""

import itertools

from hemlockreel import actions
from hemlockreel import outcomes

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import store_fanout
from hemlockreel.forwarding import stream_versions

from . import forwarding_rig
from . import parts_rig

SERVICE = "lesar"
REPLY_S = 0.6  # until a host has replied, whatever its recorders do


class Site:
    """A fleet of hosts; ``began`` is the version of each stream by its id."""

    def __init__(self, hosts: int = 13, software: tuple[str, ...] = ("v1",)):
        self.fleet = parts_rig.Fleet(hosts)
        self.began: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self.list_versions(*software)

    @property
    def hosts(self) -> list[str]:
        """The hosts that run."""
        return list(self.fleet.fabric.boards)

    def list_versions(self, *software: str, hosts: tuple[str, ...] = ()):
        """Shows hosts, all if none are named, engines of these versions."""
        listed = tuple(
            forwarding_rig.engine(f"d-{each}-{number}", "decode")._replace(
                software=each, born=1
            )
            for each in software
            for number in (1, 2)
        )
        for host in hosts or self.hosts:
            event = instances.InstancesListed(listed)
            self.fleet.fabric.post(host, event)

    def confirm_lists(self, *hosts: str) -> None:
        """Lets the store confirm the lists of hosts, all if none are named."""
        kind = store_fanout.ObjectKind.INSTANCES
        for host in hosts or self.hosts:
            states = self.fleet.fabric.boards[host].state(store_fanout.State)
            states.read_states[kind] = states.read_states[kind]._replace(
                read_at=self.fleet.fabric.now
            )

    def begin(self, host: str, software: str) -> str:
        """Begins a stream at ``host``; returns its id."""
        id = f"s{next(self._numbers)}"
        self.began[id] = software
        begun = stream_versions.StreamBegun(id, SERVICE, software)
        self.fleet.fabric.post(host, begun)
        return id

    def ask(self, host: str, id: str) -> str | outcomes.Refused:
        """Returns the version at which ``host`` would resume a stream."""
        (found,) = self.ask_all([(host, id)])
        return found

    def ask_all(
        self, asked: list[tuple[str, str]]
    ) -> list[str | outcomes.Refused]:
        """Returns what hosts that are asked at once say of streams."""
        workers = []
        for host, id in asked:
            workers.append(f"w{next(self._numbers)}")
            event = stream_versions.SoftwareRequested(workers[-1], SERVICE, id)
            self.fleet.fabric.post(host, event)
        self.fleet.fabric.run(REPLY_S)
        replies = {
            each.request_id: each.value
            for host in {host for host, _ in asked}
            for each in self.fleet.fabric.performed(host, actions.Reply)
        }
        return [
            found.software
            if isinstance(found, stream_versions.Found)
            else found
            for found in (replies[worker] for worker in workers)
        ]

    def restart_all(self, off_s: float = 1.0) -> None:
        """Kills all hosts at once, and starts them again."""
        for host in self.hosts:
            self.fleet.fabric.kill(host)
        self.fleet.fabric.run(off_s)
        run = int(self.fleet.fabric.now)
        self.fleet.start(self.fleet.hosts, run)
