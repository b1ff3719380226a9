"""A fleet with leases in the store and engines that accept orders.

An order is a command of the lease holder that changes an engine's role or
model version.
"""

from typing import Any

from hemlockreel import actions
from hemlockreel import events

from . import fleet_fabric

ROLLOUT = {"pool": "lesar", "version": "2"}


class Region(fleet_fabric.Fleet):
    """Daemons, a store with conditional writes, and engines with a state.

    With ``fencing``, engines refuse an order whose fencing token is older than
    the last one. ``lose_orders`` is the number of orders still to be dropped,
    ``lose_answers`` of orders to be executed without a response, and
    ``lose_writes`` of lease writes to be executed without a response.
    ``unknown_version`` is a version that no engine can load.
    """

    def __init__(
        self,
        rollout: dict[str, Any] | None = None,
        seed: int = 1,
        pool: dict[str, Any] | None = None,
    ):
        self.rollout = {**ROLLOUT, **(rollout or {})}
        self.store_down = False
        self.lose_writes = 0
        self.fencing = True
        self.lose_orders = 0
        self.lose_answers = 0
        self.unknown_version = ""
        self.states: dict[str, dict[str, Any]] = {}
        self.orders: list[tuple[float, str, str, dict[str, Any], int]] = []
        super().__init__(seed=seed, pool=pool)
        self.declare("rollouts", "new", self.rollout)

    def versions(self) -> list[str]:
        """Returns the versions that the engines run."""
        return [self.states[at]["version"] for at in self.held]

    def holder(self) -> str:
        """Returns the holder of the region's lease, as stored, or ``""``."""
        return self._read("leases", "midt-norge").get("holder", "")

    def status(self) -> dict[str, Any]:
        """Returns the status of the rollout."""
        return self._read("status", "rollouts-new-midt-norge")

    def do_order(self, at: str, action: actions.CallEngine) -> Any:
        """Executes an order of the daemon ``at`` and returns the response."""
        body = action.body
        state = self._state(action.address)
        if self.fencing and body["fence"] < state["fence"]:
            return self._respond(action, 409, {"error": "stale_fence"})
        if any(state[key] != value for key, value in body["expected"].items()):
            return self._respond(action, 412, {"error": "unexpected_state"})
        if body["value"] == self.unknown_version:
            return self._respond(action, 409, {"error": "unknown_version"})
        state["fence"] = max(state["fence"], body["fence"])
        field = {"set_role": "role", "load_version": "version"}
        state[field[body["order"]]] = body["value"]
        held = len(self.held[action.address])
        now = self.fabric.now
        self.orders.append((now, at, action.address, body, held))
        return self._respond(action, 200, {"done": True})

    def _state(self, address: str) -> dict[str, Any]:
        roles = {replica.address: replica.role for replica in self.replicas}
        state = {"role": roles[address].value, "version": "1", "fence": 0}
        return self.states.setdefault(address, {**state, "adapters": []})

    def _engine(self, at: str, action: actions.CallEngine) -> Any:
        if action.operation == "orders":
            if self.lose_orders:
                self.lose_orders -= 1
                return self._respond(action, 0, {})
            response = self.do_order(at, action)
            if self.lose_answers:
                self.lose_answers -= 1
                return self._respond(action, 0, {})
            return response
        response = super()._engine(at, action)
        if action.operation == "load" and response.status == 200:
            response.body.update(self._state(action.address))
        return response

    def _store(self, action: actions.CallStore) -> Any:
        if self.store_down:
            return events.StoreResponded(action.call_id, 503, {})
        response = super()._store(action)
        writes = action.method != "GET" and "/leases/" in action.path
        if writes and self.lose_writes:
            self.lose_writes -= 1
            return events.StoreResponded(action.call_id, 0, {})
        return response

    def _read(self, kind: str, name: str) -> dict[str, Any]:
        found = self.store.objects.get((kind, name))
        return {} if found is None else found["value"]
