"""Hosts that read a store and replicate it, with a simulated clock.

The store counts the calls it receives, so that tests can bound its load.
"""

from typing import NamedTuple

from hemlockreel import core

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import store_fanout

from . import fabric

STEP_S = 0.1
ALONE_S = 3.2  # watch length of a host that reads only for itself
ZONES = ("a", "b", "c")


class Change(NamedTuple):
    """A replica that changed, or with ``gone`` disappeared, at a revision."""

    at: int
    replica: instances.Instance
    gone: bool = False


class Watch(NamedTuple):
    """An open call of a host; ``since`` is 0 for a full read."""

    since: int
    ends_at: float


def host(index: int) -> str:
    """Returns the peer address of a host."""
    return f"10.0.{index % 3}.{index}:9000"


class Fleet:
    """Hosts that read the store as :mod:`store_fanout` plans it.

    ``calls`` counts the calls to the store by kind. The store sends no
    responses to the hosts in ``unreachable``.
    """

    def __init__(self, count: int, seed: int = 1):
        self.fabric = fabric.Fabric(seed)
        self.fabric.step = self._step
        self.revision = 1
        self.version = 1
        self.version_at = 1
        self.changes: list[Change] = []
        self.calls = dict.fromkeys(store_fanout.ObjectKind, 0)
        self.unreachable: set[str] = set()
        self._open: dict[tuple[str, store_fanout.ObjectKind], Watch] = {}
        self._read: dict[tuple[str, store_fanout.ObjectKind], int] = {}
        for index in range(count):
            seeds = (host(0), host(1))
            self.fabric.add(host(index), ZONES[index % 3], seeds)

    @property
    def hosts(self) -> list[str]:
        """The hosts that run."""
        return list(self.fabric.boards)

    def run(self, seconds: float) -> None:
        """Advances the clock and makes the calls to the store."""
        for _ in range(round(seconds / STEP_S)):
            for at in self.hosts:
                if at in self.fabric.frozen:
                    continue
                for kind in store_fanout.ObjectKind:
                    self._call(at, kind)
            self.fabric.run(STEP_S)

    def change(self, replica: instances.Instance, gone: bool = False) -> None:
        """Writes a replica's record to the store; ``gone`` removes it."""
        self.revision += 1
        self.changes.append(Change(self.revision, replica, gone))

    def configure(self) -> None:
        """Writes a new version of the deployment."""
        self.revision += 1
        self.version += 1
        self.version_at = self.revision

    def expire_watches(self) -> None:
        """Ends all watches and forces full reads, as if history were lost."""
        self._open.clear()
        self._read.clear()

    def write_other(self) -> None:
        """Writes an object of a kind that no host reads."""
        self.revision += 1

    def readers(self) -> set[str]:
        """Returns the hosts that read for others."""
        boards = self.fabric.boards
        return {at for at in self.hosts if store_fanout.is_reader(boards[at])}

    def hosts_with_instance(self, replica: instances.Instance) -> set[str]:
        """Returns the hosts whose record of ``replica`` is up to date."""
        return {
            at
            for at, board in self.fabric.boards.items()
            if board.state(instances.State).instances.get(replica.id)
            == replica
        }

    def hosts_with_version(self, version: int) -> set[str]:
        """Returns the hosts where a version of the deployment is in force."""
        return {
            at
            for at, board in self.fabric.boards.items()
            if (found := active_deployment.current(board)) is not None
            and found.version == version
        }

    def _step(self, board, event, now):
        return core.step(board, event, now, core.FORWARDING_CONTROLLERS)

    def _call(self, at: str, kind: store_fanout.ObjectKind) -> None:
        """Opens a call of one host, or completes the open one."""
        now = self.fabric.now
        plan = store_fanout.read_plan(self.fabric.boards[at], kind, now)
        key = (at, kind)
        found = self._open.get(key)
        if found is None:
            if not plan.reads_store:
                return
            self.calls[kind] += 1
            since = self._read.get(key, 0)
            if since:
                since = max(since, plan.from_revision)
            found = Watch(since, now + (plan.watch_s or ALONE_S))
            self._open[key] = found
        if at in self.unreachable:
            if now >= found.ends_at:
                del self._open[key]
                self._read.pop(key, None)
            return
        changes = self._changes_since(kind, found)
        if changes or now >= found.ends_at or not found.since:
            del self._open[key]
            self._read[key] = self.revision
            for event in changes or [
                store_fanout.StoreRead(kind, self.revision, not found.since)
            ]:
                self.fabric.post(at, event)

    def _changes_since(
        self, kind: store_fanout.ObjectKind, found: Watch
    ) -> list:
        """Returns the events for changes since ``found.since``, if any."""
        if kind is store_fanout.ObjectKind.DEPLOYMENT:
            if self.version_at <= found.since:
                return []
            made = deployments.Deployment(self.version, (), {})
            return [
                active_deployment.DeploymentRead(made),
                store_fanout.StoreRead(kind, self.revision, True),
            ]
        news = [each for each in self.changes if each.at > found.since]
        kept = {each.replica.id: each for each in news}.values()
        listed = tuple(each.replica for each in kept if not each.gone)
        gone = tuple(each.replica.id for each in kept if each.gone)
        if not found.since:
            return [store_fanout.StoreRead(kind, self.revision, True, listed)]
        if not news:
            return []
        return [
            store_fanout.StoreRead(kind, self.revision, False, listed, gone)
        ]
