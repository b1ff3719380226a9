"""The places that are held at the replicas of a pool.

A place is held by the host whose request it is for. It expires if that host
doesn't confirm it, so that the loss of a host or of a message heals.
"""

from typing import NamedTuple

EXPIRY_S = 3.0  # after the last confirmation; hosts confirm once a second


class Place(NamedTuple):
    """One place of ``tokens`` at a replica.

    ``since`` is the time at which it was given, ``seen_at`` that of the last
    confirmation, and ``ahead`` are the tokens that were there before it.
    """

    replica: str
    tokens: int
    organisation: str
    since: float
    seen_at: float
    ahead: int = 0


class PoolLoad:
    """The places by key, and their sums by replica and organisation."""

    def __init__(self):
        self.places: dict[str, Place] = {}
        self._requests: dict[str, int] = {}
        self._tokens: dict[str, int] = {}
        self._shares: dict[str, int] = {}

    def requests(self, replica: str) -> int:
        """Returns the number of places at a replica."""
        return self._requests.get(replica, 0)

    def tokens(self, replica: str) -> int:
        """Returns the tokens of all places at a replica."""
        return self._tokens.get(replica, 0)

    def held_by(self, organisation: str) -> int:
        """Returns the cost of the places of an organisation."""
        return self._shares.get(organisation, 0)

    @property
    def total_cost(self) -> int:
        """The cost of all places."""
        return sum(self._shares.values())

    def holders(self) -> list[str]:
        """Returns the organisations that hold places."""
        return list(self._shares)

    def put(self, key: str, place: Place) -> None:
        """Adds a place, or replaces the one with the same key."""
        self.take(key)
        self.places[key] = place
        self._add(key, 1)

    def take(self, key: str) -> Place | None:
        """Removes and returns a place, ``None`` if there is none."""
        if key not in self.places:
            return None
        self._add(key, -1)
        return self.places.pop(key)

    def confirm(self, key: str, place: Place) -> None:
        """Adds a place that its host reports, or notes that it is used."""
        known = self.places.get(key)
        if known is not None and known.replica == place.replica:
            self.places[key] = known._replace(seen_at=place.seen_at)
        else:
            self.put(key, place)

    def expire(self, now: float) -> int:
        """Removes what was not confirmed; returns how many places."""
        old = [
            key
            for key, each in self.places.items()
            if now - each.seen_at > EXPIRY_S
        ]
        for key in old:
            self.take(key)
        return len(old)

    def _add(self, key: str, sign: int) -> None:
        place = self.places[key]
        _adjust(self._requests, place.replica, sign)
        _adjust(self._tokens, place.replica, sign * place.tokens)
        _adjust(self._shares, place.organisation, sign * cost(place.tokens))


def cost(tokens: int) -> int:
    """Returns what a place counts when organisations are compared.

    >>> cost(5000), cost(0)
    (5000, 1)
    """
    return max(tokens, 1)


def _adjust(sums: dict[str, int], name: str, amount: int) -> None:
    value = sums.get(name, 0) + amount
    if value:
        sums[name] = value
    else:
        sums.pop(name, None)
