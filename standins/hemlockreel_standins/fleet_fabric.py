"""A fabric with engines, the store's configuration and a host list.

Engines are modelled as sets of request ids. The worker is reduced to starting
a granted request at its engine and finishing it when the grant is revoked.
"""

from collections.abc import Iterable
from typing import Any

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import grants
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import replicas
from hemlockreel import shards

from . import fabric
from . import store
from . import store_calls

ZONES = ("trondheim-a", "trondheim-b", "orkanger")
POOL = {"service": "lesar", "model": "lesar-7b"}


def host(index: int) -> str:
    """Returns the peer address of a daemon."""
    return f"10.0.{index % 3}.{index}:9000"


class Fleet:
    """Daemons and engines of one region.

    ``held`` maps an engine's address to the requests that it holds,
    ``drop_cancels`` names engines that receive no cancels, ``silent`` engines
    that never respond, ``severed`` pairs of a daemon and an engine that it
    cannot reach. ``replies`` holds the last reply of the core to the worker of
    each request.
    """

    def __init__(
        self,
        daemons: int = 4,
        seed: int = 1,
        pool: dict[str, Any] | None = None,
    ):
        self.fabric = fabric.Fabric(seed)
        self.fabric.call = self._call
        self.store = store.Store()
        self.declare("modelpools", "lesar", {**POOL, **(pool or {})})
        self.held: dict[str, set[str]] = {}
        self.drop_cancels: set[str] = set()
        self.silent: set[str] = set()
        self.severed: set[tuple[str, str]] = set()
        self.replies: dict[str, Any] = {}
        self.working: dict[str, messages.Grant] = {}
        self.cancelled: list[tuple[float, str]] = []
        self.replicas: tuple[replicas.Replica, ...] = ()
        self.entries: tuple[str, ...] = ()
        for index in range(5):
            role = "prefill" if index < 2 else "decode"
            self._add_replica(f"10.1.0.{index}:80", role, ZONES[index % 3])
        for index in range(daemons):
            self.start(index)
        self.fabric.run(4.0)

    def declare(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Writes a declared object into the store."""
        path = f"/v1/objects/{kind}/{name}"
        call = actions.CallStore("operator", "PUT", path, value)
        store_calls.perform(self.store, call)

    def start(self, index: int, run: int = 1) -> None:
        """Starts or restarts a daemon; ``run`` becomes its epoch.

        Daemons that start at the same moment have the same epoch.
        """
        self.entries = tuple(sorted({*self.entries, host(index)}))
        seeds = (host(0), host(1))
        zone = ZONES[index % 3]
        self.fabric.add(host(index), zone, seeds, epoch=run)

    def request_completion(
        self, at: str, request_id: str, seconds: float = 0.1
    ) -> Any:
        """Requests a completion at ``at``; returns the reply to its worker."""
        asked = events.CompletionRequested(
            request_id, 1, "lesar-7b", "acme", "", 100, 50, (), 0.0
        )
        self.fabric.post(at, asked)
        self.fabric.run(seconds)
        return self.replies.get(request_id)

    def end(self, at: str, request_id: str, clean: bool) -> None:
        """Finishes a request; with ``clean`` the engine has completed it."""
        grant = self.working.pop(request_id, None)
        if clean and grant is not None:
            self.held[grant.replica].discard(request_id)
        ended = events.RequestFinished(request_id, 1, clean)
        self.fabric.post(at, ended)

    def holders(self, request_id: str) -> list[str]:
        """Returns the addresses of the engines that hold a request."""
        return [at for at, held in self.held.items() if request_id in held]

    def roles(self, shard: str) -> tuple[str, str]:
        """Returns the owner of a shard and an entry that is not its owner."""
        board = next(iter(self.fabric.boards.values()))
        ranked = shards.rank_owners(board, shard)
        return ranked[0], ranked[-1]

    def granted_by(self, at: str) -> int:
        """Returns the number of active grants that a daemon has issued."""
        return len(self.fabric.boards[at].state(grants.State).leases)

    def seconds_held(self, request_id: str, limit: float = 10.0) -> float:
        """Returns the seconds until no engine holds a request.

        Infinite when an engine still holds it after ``limit`` seconds.
        """
        started = self.fabric.now
        while self.holders(request_id):
            if self.fabric.now - started > limit:
                return float("inf")
            self.fabric.run(0.05)
        return self.fabric.now - started

    def cut_zone(self, zone: str) -> tuple[set[str], set[str]]:
        """Isolates an availability zone from the others.

        Returns the daemons inside and outside of it.
        """
        boards = self.fabric.boards
        inside = {at for at in boards if boards[at].identity.zone == zone}
        outside = set(boards) - inside
        self.fabric.cut(inside, outside)
        self.fabric.cut(outside, inside)
        for replica in self.replicas:
            far = outside if replica.zone == zone else inside
            self.severed |= {(at, replica.address) for at in far}
        return inside, outside

    def restore_network(self) -> None:
        """Restores all connections that were cut."""
        self.fabric.cuts.clear()
        self.severed.clear()

    def _add_replica(self, address: str, role: str, zone: str) -> None:
        found = replicas.Replica(
            address, "lesar", zone, fabric.REGION, replicas.Role(role)
        )
        self.replicas += (found,)
        self.held[address] = set()

    def _call(self, at: str, action: Any) -> Any:
        if isinstance(action, actions.Reply):
            return self._work(at, action)
        if isinstance(action, actions.ReadHostList):
            return events.HostListRead(self.replicas, self.entries)
        if isinstance(action, actions.CallStore):
            return self._store(action)
        if isinstance(action, actions.CallEngine):
            return self._engine(at, action)
        return None

    def _work(self, at: str, action: actions.Reply) -> Any:
        request_id, value = action
        self.replies[request_id] = value
        if isinstance(value, messages.Grant):
            self.working[request_id] = value
            self.held[value.replica].add(request_id)
            self.fabric.post(at, events.PrefillFinished(request_id, 0))
            return events.FirstTokenReceived(request_id)
        if isinstance(value, outcomes.Refused) and request_id in self.working:
            del self.working[request_id]
            return events.RequestFinished(request_id, 1, False)
        return None

    def _store(self, action: actions.CallStore) -> Any:
        if action.path.startswith("/v1/watch"):
            return None  # The watch stays open and reports no change.
        return store_calls.perform(self.store, action)

    def _engine(self, at: str, action: actions.CallEngine) -> Any:
        address = action.address
        if address in self.silent or (at, address) in self.severed:
            return self._respond(action, 0, {})
        if action.operation == "cancel":
            request_id = action.body["request_id"]
            self.cancelled.append((self.fabric.now, request_id))
            if address in self.drop_cancels:
                return self._respond(action, 0, {})
            self.held[address].discard(request_id)
            body = {"request_id": request_id, "held": False}
            return self._respond(action, 200, body)
        if action.operation == "requests":
            return self._respond(action, 200, self._requests(address))
        if action.operation == "load":
            used = len(self.held[address])
            body = {"pieces_total": 20, "pieces_free": 20 - used}
            return self._respond(action, 200, body)
        return self._respond(action, 404, {})

    def _requests(self, address: str) -> dict[str, Iterable[Any]]:
        held = sorted(self.held[address])
        return {
            "requests": [
                {
                    "request_id": request_id,
                    "attempt": 1,
                    "state": "running",
                    "pieces": 1,
                }
                for request_id in held
            ]
        }

    def _respond(
        self, action: actions.CallEngine, status: int, body: dict[str, Any]
    ) -> events.EngineResponded:
        return events.EngineResponded(
            action.call_id, action.address, action.operation, status, body
        )
