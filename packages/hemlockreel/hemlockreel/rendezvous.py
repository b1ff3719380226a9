"""Rendezvous hashing: assigns keys to members."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Returns the weight of ``member`` for ``key``; the highest is chosen."""
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Returns ``members`` by descending weight for ``key``.

    When a member leaves, only the keys that had it first move elsewhere.

    >>> sorted(rank("a", ["x", "y"]))
    ['x', 'y']
    """
    return sorted(
        members, key=lambda member: (score(key, member), member), reverse=True
    )
