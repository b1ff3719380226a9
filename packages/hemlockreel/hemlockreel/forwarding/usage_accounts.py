"""What one host holds of an organisation's usage cap.

Amounts are in the unit of the cap, times in seconds on this host's clock.
"""

import math
from typing import NamedTuple

from . import usage_buckets

USE_PERIOD_S = 1.0  # over which recent use is averaged


class Lease(NamedTuple):
    """What ``lender`` has lent for requests until ``until``."""

    lender: str
    amount: float = 0.0
    until: float = -math.inf


class Seen(NamedTuple):
    """What a lender had left at ``at``; it grows by ``refill`` a second."""

    left: float
    refill: float
    at: float


class Account:
    """What this host holds of one organisation's cap.

    ``spare`` is kept without a lease. ``used_per_s`` is recent use, as it was
    at ``used_at``. ``alone`` is used while no lender answers.
    """

    def __init__(self):
        self.spare = 0.0
        self.lease = Lease("")
        self.seen: dict[str, Seen] = {}
        self.used_per_s = 0.0
        self.used_at = -math.inf
        self.alone: usage_buckets.Bucket | None = None
        self.logged_at = -math.inf


def lent(account: Account, now: float) -> float:
    """Returns what is left of the lease."""
    return account.lease.amount if now < account.lease.until else 0.0


def note_use(account: Account, cost: float, now: float) -> None:
    """Counts ``cost`` into recent use."""
    passed_s = now - account.used_at
    kept = math.exp(-passed_s / USE_PERIOD_S) if passed_s > 0 else 1.0
    account.used_per_s = account.used_per_s * kept + cost / USE_PERIOD_S
    account.used_at = now


def spend(account: Account, cost: float, now: float) -> bool:
    """Takes ``cost`` from what is in hand, first from what expires."""
    leased = lent(account, now)
    if leased + account.spare < cost:
        return False
    part = min(leased, cost)
    if part:
        account.lease = account.lease._replace(amount=leased - part)
    account.spare -= cost - part
    return True
