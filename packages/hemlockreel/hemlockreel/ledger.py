"""Places at the replicas of one model shard: who holds what.

The ledger grants a prefill place and the decode memory of a request
together, when the prefill starts. It knows nothing of messages or leases.
"""

from collections.abc import Iterable

from . import decisions
from . import messages
from . import objects
from . import outcomes
from . import replicas

DEFAULT_PIECES = 20  # pieces of an engine that has not reported yet
RETRY_AFTER_S = 1.0


class Place:
    """What one grant holds."""

    def __init__(self, ask: messages.Ask, prefill: str, decode: str, pieces):
        self.ask = ask
        self.prefill = prefill
        self.decode = decode
        self.pieces = pieces
        self.prefilling = True


class Ledger:
    """The places of one shard.

    All times are in seconds on the caller's monotonic clock.
    """

    def __init__(self, pool: objects.ModelPool):
        self.pool = pool
        self.replicas: dict[str, replicas.Replica] = {}
        self.pieces: dict[str, int] = {}
        self.places: dict[int, Place] = {}
        self.waiting: list[messages.Ask] = []

    def set_pool(self, pool: objects.ModelPool) -> None:
        """Takes over a changed configuration of the pool."""
        self.pool = pool

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Takes over the live and leaving replicas of the shard."""
        self.replicas = {replica.address: replica for replica in members}

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Takes over a load report, see docs/design/protocols.md."""
        self.pieces[address] = load["pieces_total"]

    def submit(
        self, ask: messages.Ask, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Grants, queues or denies ``ask``.

        ``grant_id`` is the id of the grant, if it comes to one.
        """
        prefill = self._least(replicas.Role.PREFILL, ask)
        decode = self._least(replicas.Role.DECODE, ask)
        if prefill is None or decode is None:
            reason = outcomes.Reason.NO_BACKEND
            return [decisions.Denied(ask, reason, RETRY_AFTER_S)]
        pieces = self.need(ask)
        if self.free(decode) < pieces:
            reason = outcomes.Reason.OVERLOADED
            return [decisions.Denied(ask, reason, RETRY_AFTER_S)]
        self.places[grant_id] = Place(ask, prefill, decode, pieces)
        return [decisions.Granted(ask, grant_id, decode, prefill)]

    def withdraw(self, request_id: str, attempt: int) -> None:
        """Forgets an ask that waits."""

    def prefilled(self, grant_id: int, now: float) -> None:
        """Frees the prefill place of a grant."""
        place = self.places.get(grant_id)
        if place is not None:
            place.prefilling = False

    def first_token(self, grant_id: int, now: float) -> None:
        """Notes that the first token of a grant has come."""

    def release(self, grant_id: int, now: float) -> None:
        """Frees all that a grant holds."""
        self.places.pop(grant_id, None)

    def decide(self, now: float) -> list[decisions.Decision]:
        """Grants or denies waiting asks after releases and time passed."""
        return []

    def need(self, ask: messages.Ask) -> int:
        """Returns the pieces of decode memory that ``ask`` may come to."""
        tokens = ask.prompt_tokens + ask.output_tokens
        return -(-tokens // self.pool.piece_tokens)

    def free(self, address: str) -> int:
        """Returns the pieces that are not granted at ``address``."""
        held = sum(
            place.pieces
            for place in self.places.values()
            if place.decode == address
        )
        return self.pieces.get(address, DEFAULT_PIECES) - held

    def _least(self, role: replicas.Role, ask: messages.Ask) -> str | None:
        """Returns the replica of ``role`` with the fewest places."""
        usable = [
            replica.address
            for replica in self.replicas.values()
            if replica.role is role
            and not replica.leaving
            and replica.address not in ask.exclude
        ]
        return min(usable, key=self._count, default=None)

    def _count(self, address: str) -> int:
        """Returns how many places stand at ``address``."""
        return sum(
            place.decode == address
            or (place.prefill == address and place.prefilling)
            for place in self.places.values()
        )
