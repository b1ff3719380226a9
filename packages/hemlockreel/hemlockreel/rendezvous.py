"""Rendezvous hashing: which member looks after a key."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Returns the weight of ``member`` for ``key``; the highest one wins."""
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Returns ``members`` from the best to the worst for ``key``.

    A member that goes moves only the keys that it was the best for.

    >>> sorted(rank("a", ["x", "y"]))
    ['x', 'y']
    """
    return sorted(
        members, key=lambda member: (score(key, member), member), reverse=True
    )
