"""Places at the replicas of one plain shard."""

from collections.abc import Iterable

from . import decisions
from . import messages
from . import outcomes
from . import replicas

RETRY_AFTER_S = 1.0


class CallLedger:
    """Counts the calls at each replica and picks the least loaded one.

    It has the same methods as :class:`hemlockreel.ledger.Ledger`, as far as
    plain calls need them.
    """

    def __init__(self, max_in_flight: int):
        self.max_in_flight = max_in_flight
        self.replicas: dict[str, replicas.Replica] = {}
        self.reservations: dict[int, str] = {}

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Takes over the live and leaving replicas of the shard."""
        self.replicas = {replica.address: replica for replica in members}

    def submit(
        self, request: messages.Ask, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants or denies ``ask`` at once."""
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
        """Frees the place of a grant."""
        self.reservations.pop(grant_id, None)

    def decide(self, now: float) -> list[decisions.Decision]:
        """Returns nothing: plain calls do not wait."""
        return []

    def _calls_in_flight(self, address: str) -> int:
        """Returns the calls in flight at ``address``."""
        return sum(held == address for held in self.reservations.values())
