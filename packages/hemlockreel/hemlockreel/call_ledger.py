"""The slots held at the replicas of one plain shard."""

from collections.abc import Iterable

from . import decisions
from . import messages
from . import outcomes
from . import replicas

RETRY_AFTER_S = 1.0


class CallLedger:
    """Counts the calls in flight and picks the least loaded replica.

    It has the methods of :class:`hemlockreel.ledger.Ledger` that apply to
    plain calls. Each grant holds one slot at its replica; ``reservations``
    maps grant ids to addresses. No call waits in a queue here.
    """

    def __init__(self, max_in_flight: int):
        self.max_in_flight = max_in_flight
        self.replicas: dict[str, replicas.Replica] = {}
        self.reservations: dict[int, str] = {}

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Replaces the list of live and leaving replicas of the shard."""
        self.replicas = {replica.address: replica for replica in members}

    def submit(
        self, request: messages.AdmissionRequest, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants or denies ``request`` at once."""
        usable = [
            replica.address
            for replica in self.replicas.values()
            if not replica.leaving and replica.address not in request.exclude
        ]
        best = min(usable, key=self._calls_in_flight, default=None)
        if best is None:
            reason = outcomes.Reason.NO_BACKEND
            return [decisions.Denied(request, reason, RETRY_AFTER_S)]
        if self._calls_in_flight(best) >= self.max_in_flight:
            reason = outcomes.Reason.OVERLOADED
            return [decisions.Denied(request, reason, RETRY_AFTER_S)]
        self.reservations[grant_id] = best
        return [decisions.Granted(request, grant_id, best)]

    def withdraw(self, request_id: str, attempt: int) -> None:
        """Does nothing: plain calls do not wait."""

    def release(self, grant_id: int, now: float) -> None:
        """Frees the slot of a grant."""
        self.reservations.pop(grant_id, None)

    def decide(self, now: float) -> list[decisions.Decision]:
        """Returns nothing: plain calls do not wait."""
        return []

    def _calls_in_flight(self, address: str) -> int:
        """Returns the calls in flight at ``address``."""
        return sum(held == address for held in self.reservations.values())
