"""Buckets that fill at a rate up to a depth; amounts are in a cap's unit."""

from typing import NamedTuple


class Bucket(NamedTuple):
    """``level`` is what was in hand at the time ``at``; negative is owed."""

    level: float
    at: float
    rate: float
    depth: float


def refill(bucket: Bucket, now: float) -> Bucket:
    """Returns the bucket at ``now``.

    >>> refill(Bucket(1.0, 0.0, 2.0, 4.0), 1.0).level
    3.0
    """
    # A clock that seems to go back adds nothing.
    passed_s = max(0.0, now - bucket.at)
    level = min(bucket.depth, bucket.level + passed_s * bucket.rate)
    return bucket._replace(level=level, at=max(bucket.at, now))


def resize(bucket: Bucket, rate: float, depth: float) -> Bucket:
    """Returns the bucket with another rate and depth."""
    level = min(bucket.level, depth)
    return bucket._replace(level=level, rate=rate, depth=depth)


def take(bucket: Bucket, need: float, owed: float) -> Bucket | None:
    """Returns the bucket without ``need``, ``None`` if that isn't there.

    A full one also gives up to ``owed`` more than its depth.

    >>> take(Bucket(4.0, 0.0, 2.0, 4.0), 5.0, 1.0).level
    -1.0
    """
    least = min(need, bucket.depth)
    if bucket.level < least or need > bucket.depth + owed:
        return None
    return bucket._replace(level=bucket.level - need)
