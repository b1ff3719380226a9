"""Organisations and the keys by which their requests are recognised.

A key itself is known only while it is decoded. Everything else holds its
digest, so that no log, trace, metric or message can contain a key.
"""

from collections.abc import Iterable
import enum
import hashlib
import hmac
from typing import NamedTuple


class Unit(enum.Enum):
    """What a usage cap counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class UsageCap(NamedTuple):
    """The most that an organisation may use over all hosts together.

    ``rate`` is in units a second and ``burst`` in units; a ``rate`` of 0 is
    no limit. With the unit ``TOKENS``, a request without token counts counts
    as ``plain_tokens``.
    """

    rate: float = 0.0
    burst: float = 0.0
    unit: Unit = Unit.REQUESTS
    plain_tokens: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit at all."""
        return self.rate > 0

    def cost(self, tokens: int | None) -> float:
        """Returns what a request counts; ``tokens`` is ``None`` if not stated.

        >>> cap = UsageCap(10.0, 10.0, Unit.TOKENS, 200)
        >>> cap.cost(5070), cap.cost(None), UsageCap(1.0).cost(5070)
        (5070.0, 200.0, 1.0)
        """
        if self.unit is Unit.REQUESTS:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


class Organisation(NamedTuple):
    """One organisation of the configuration.

    ``key_digests`` are those of its keys, see :func:`digest`. ``priority`` is
    its rank, 0 for the first; ``None`` leaves that to the route.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    cap: UsageCap = UsageCap()


def digest(key: str) -> bytes:
    """Returns the digest by which a key is recognised."""
    return hashlib.sha256(key.encode()).digest()


def find(
    known: Iterable[Organisation], key_digest: bytes
) -> Organisation | None:
    """Returns the organisation that holds a key, ``None`` if none does.

    All digests are compared, so that the time tells nothing of the keys.

    >>> held = Organisation("fjellpulver", (digest("secret"),))
    >>> find([held], digest("secret")).name, find([held], digest("other"))
    ('fjellpulver', None)
    """
    found = None
    for each in known:
        for held in each.key_digests:
            if hmac.compare_digest(held, key_digest):
                found = each
    return found
