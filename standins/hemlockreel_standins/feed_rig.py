"""Hosts that read a store and replicate it, with a simulated clock.

The store counts the calls it receives, so that tests can bound its load.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import events
from hemlockreel import store_era

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import organisations
from hemlockreel.forwarding import store_fanout

from . import fabric

STEP_S = 0.1
ALONE_S = 3.2  # watch length of a host that reads only for itself
# After a restore: until the operator and the replicas have written again what
# was lost, and until the entries of replicas that left are removed.
REWRITE_S = 1.5
REMOVAL_S = 4.0
LEASE_PATH = "/leases/"  # all other objects are away
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
    era: int = 0


def host(index: int) -> str:
    """Returns the peer address of a host."""
    return f"10.0.{index % 3}.{index}:9000"


class Fleet:
    """Hosts that read the store as :mod:`store_fanout` plans it.

    The store also keeps the lease of the controller. ``present`` are the
    replicas that run, whatever the store shows, ``services`` those of the
    deployment. ``calls`` counts the calls to the store by kind. The store
    sends no responses to the hosts in ``unreachable``.
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
        self.services: dict[str, deployments.Service] = {}
        self.organisations: tuple[organisations.Organisation, ...] = ()
        self.era = 1
        self.lease: dict[str, Any] | None = None
        self.present: dict[str, instances.Instance] = {}
        self._copy = (self.revision, self.version, self.version_at, 0, None)
        self._newest_version = self.version
        self._repairs: list[tuple[float, Callable[[], None]]] = []
        self.fabric.call = self._call_lease
        self._open: dict[tuple[str, store_fanout.ObjectKind], Watch] = {}
        self._read: dict[
            tuple[str, store_fanout.ObjectKind], tuple[int, int]
        ] = {}
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
            self._repair()
            for at in self.hosts:
                if at in self.fabric.frozen:
                    continue
                for kind in store_fanout.ObjectKind:
                    self._call(at, kind)
            self.fabric.run(STEP_S)

    def change(self, replica: instances.Instance, gone: bool = False) -> None:
        """Writes a replica's record to the store; ``gone`` removes it."""
        if gone:
            self.present.pop(replica.id, None)
        else:
            self.present[replica.id] = replica
        self._write(replica, gone)

    def _write(self, replica: instances.Instance, gone: bool) -> None:
        self.revision += 1
        self.changes.append(Change(self.revision, replica, gone))

    def configure(self) -> None:
        """Writes a new version of the deployment."""
        self.revision += 1
        self._newest_version += 1
        self.version = self._newest_version
        self.version_at = self.revision

    def expire_watches(self) -> None:
        """Ends all watches and forces full reads, as if history were lost."""
        self._open.clear()
        self._read.clear()

    def forget(self, at: str) -> None:
        """Ends the calls of a host that was started anew."""
        for kind in store_fanout.ObjectKind:
            self._open.pop((at, kind), None)
            self._read.pop((at, kind), None)

    def save(self) -> None:
        """Takes the copy from which the next restore starts."""
        self._copy = (
            self.revision, self.version, self.version_at, len(self.changes),
            self.lease,
        )  # fmt: skip

    def restore(self) -> None:
        """Puts the copy back: later writes are lost, and a new era begins."""
        self.era += 1
        (
            self.revision, self.version, self.version_at, kept, self.lease
        ) = self._copy  # fmt: skip
        del self.changes[kept:]
        now = self.fabric.now
        self._repairs = [
            (now + REWRITE_S, self._rewrite),
            (now + REMOVAL_S, self._remove_departed),
        ]

    def listed(self) -> dict[str, instances.Instance]:
        """Returns the replicas that the store shows, by id."""
        latest = {each.replica.id: each for each in self.changes}
        return {
            id: each.replica for id, each in latest.items() if not each.gone
        }

    def _repair(self) -> None:
        due = [each for each in self._repairs if each[0] <= self.fabric.now]
        self._repairs = [each for each in self._repairs if each not in due]
        for _, write in due:
            write()

    def _rewrite(self) -> None:
        """Writes what the operator and the replicas have written before."""
        listed = self.listed()
        for id, replica in self.present.items():
            if listed.get(id) != replica:
                self._write(replica, False)
        if self.version != self._newest_version:
            self.revision += 1
            self.version = self._newest_version
            self.version_at = self.revision

    def _remove_departed(self) -> None:
        """Removes the entries of replicas that have sent no heartbeat."""
        for id, replica in self.listed().items():
            if id not in self.present:
                self._write(replica, True)

    def _call_lease(self, at: str, action: Any) -> Any:
        """Responds to a call of the core; the lease is the only object."""
        if not isinstance(action, actions.CallStore) or at in self.unreachable:
            return None
        status, body = 503, {}
        if LEASE_PATH in action.path:
            status, body = self._lease_response(action)
        return events.StoreResponded(
            action.call_id, status, body, era=self.era
        )

    def _lease_response(
        self, action: actions.CallStore
    ) -> tuple[int, dict[str, Any]]:
        if action.method == "GET" and self.lease is None:
            return 404, {}
        if action.method != "GET":
            found = self.lease["version"] if self.lease else 0
            if found != action.expected:
                return 412, {}
            self.revision += 1
            self.lease = {"version": self.revision, "value": action.value}
            if action.method == "DELETE":
                self.lease = None
                return 200, {}
        return 200, {"object": dict(self.lease)}

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
        """Opens a call of one host, or completes the open one.

        A watch that the restored store accepts returns changes of the new era
        since a revision of the earlier one.
        """
        now = self.fabric.now
        plan = store_fanout.read_plan(self.fabric.boards[at], kind, now)
        key = (at, kind)
        found = self._open.get(key)
        if found is None:
            if not plan.reads_store:
                return
            self.calls[kind] += 1
            era, since = self._read.get(key, (0, 0))
            if plan.era > era:
                era, since = plan.era, plan.from_revision
            elif plan.era == era and since:
                since = max(since, plan.from_revision)
            found = Watch(since, now + (plan.watch_s or ALONE_S), era)
            self._open[key] = found
        if at in self.unreachable:
            if now >= found.ends_at:
                del self._open[key]
                self._read.pop(key, None)
            return
        changes = self._changes_since(kind, found)
        if changes or now >= found.ends_at or not found.since:
            del self._open[key]
            self.fabric.post(at, store_era.EraSeen(self.era))
            if found.since and found.era != self.era:
                self._read.pop(key, None)
                return
            self._read[key] = (self.era, self.revision)
            for event in changes or [
                store_fanout.StoreRead(
                    kind, self.revision, not found.since, era=self.era
                )
            ]:
                self.fabric.post(at, event)

    def _changes_since(
        self, kind: store_fanout.ObjectKind, found: Watch
    ) -> list:
        """Returns the events for changes since ``found.since``, if any."""
        if kind is store_fanout.ObjectKind.DEPLOYMENT:
            if self.version_at <= found.since:
                return []
            made = deployments.Deployment(
                self.version,
                (),
                self.services,
                organisations=self.organisations,
            )
            return [
                active_deployment.DeploymentRead(made),
                store_fanout.StoreRead(
                    kind, self.revision, True, era=self.era
                ),
            ]
        news = [each for each in self.changes if each.at > found.since]
        kept = {each.replica.id: each for each in news}.values()
        listed = tuple(each.replica for each in kept if not each.gone)
        gone = tuple(each.replica.id for each in kept if each.gone)
        if not found.since:
            return [
                store_fanout.StoreRead(
                    kind, self.revision, True, listed, era=self.era
                )
            ]
        if not news:
            return []
        return [
            store_fanout.StoreRead(
                kind, self.revision, False, listed, gone, self.era
            )
        ]
