"""Baseline policies that the ledger is compared with.

The naive ones grant each request at once and reserve nothing. Each policy has
the methods of the ledger that the simulation calls.
"""

from collections.abc import Iterable
import itertools
import random

from hemlockreel import decisions
from hemlockreel import ledger
from hemlockreel import messages
from hemlockreel import replicas


class RoundRobin:
    """Grants the replicas of each role in turn."""

    def __init__(self):
        self._prefills: list[str] = []
        self._decodes: list[str] = []
        self._turns = itertools.count()

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Sets the live replicas."""
        members = list(members)
        self._prefills = _addresses(members, replicas.Role.PREFILL)
        self._decodes = _addresses(members, replicas.Role.DECODE)

    def submit(
        self, request: messages.AdmissionRequest, grant_id: int, now: float
    ) -> list[decisions.Decision]:
        """Returns a grant of the next replicas."""
        turn = next(self._turns)
        prefill = self._prefills[turn % len(self._prefills)]
        decode = self._pick(self._decodes, turn)
        return [decisions.Granted(request, grant_id, decode, prefill)]

    def decide(self, now: float) -> list[decisions.Decision]:
        """Returns no decision, since no request is ever queued."""
        return []

    def withdraw(self, request_id: str, attempt: int) -> None:
        """Does nothing."""

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Does nothing."""

    def set_cache_events(self, address: str, events: Iterable[dict]) -> None:
        """Does nothing."""

    def prefill_finished(self, grant_id: int, now: float, cached=None) -> None:
        """Does nothing."""

    def first_token(self, grant_id: int, now: float) -> None:
        """Does nothing."""

    def request_finished(
        self, grant_id: int, output_tokens: int, failed: bool, now: float
    ) -> None:
        """Does nothing."""

    def release(self, grant_id: int, now: float) -> None:
        """Does nothing."""

    def _pick(self, decodes: list[str], turn: int) -> str:
        """Returns the decode replica for the next request."""
        return decodes[turn % len(decodes)]


class LeastLoaded(RoundRobin):
    """Picks the decode replica that reported the most free KV blocks."""

    def __init__(self):
        super().__init__()
        self._free: dict[str, int] = {}

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Stores the free KV blocks of a load report."""
        self._free[address] = load["pieces_free"]

    def _pick(self, decodes: list[str], turn: int) -> str:
        return max(decodes, key=lambda x: self._free.get(x, 0))


class PowerOfTwo(LeastLoaded):
    """Picks the less loaded of two random decode replicas."""

    def __init__(self):
        super().__init__()
        self._rng = random.Random(1)

    def _pick(self, decodes: list[str], turn: int) -> str:
        two = self._rng.sample(decodes, min(2, len(decodes)))
        return super()._pick(two, turn)


class NoAffinity(ledger.Ledger):
    """The ledger without hints about cached prefixes.

    Requests are not routed to the prefill engine that has their prefix.
    """

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Sets the replicas of the shard and disables their prefix hints."""
        super().set_replicas(members)
        for engine in self.fleet.prefills.values():
            engine.prefix_hints.capacity = 0


def _addresses(
    members: list[replicas.Replica], role: replicas.Role
) -> list[str]:
    return [member.address for member in members if member.role is role]
