"""Messages on the usage caps of organisations.

See :mod:`hemlockreel.forwarding.usage_caps`. Amounts are in the unit of the
organisation's cap.
"""

import msgspec

from . import shared


class Want(msgspec.Struct, frozen=True, array_like=True):
    """What a host wants to use of an organisation's cap.

    ``need`` is for a request that waits, all of it or nothing. As much of
    ``extra`` as can be spared is for requests to come, but ``least`` or
    nothing. ``rate``, ``burst`` and ``unit`` are the cap in the deployment
    ``version`` of the sender.
    """

    organisation: str
    need: float
    extra: float
    least: float
    version: int
    rate: float
    burst: float
    unit: str


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a :class:`Want`.

    ``amount`` may be used, 0 if ``need`` is not there. ``left`` remains at
    the sender and grows by ``refill`` a second, which is 0 if the sender
    doesn't lend this cap.
    """

    organisation: str
    amount: float
    left: float
    refill: float


class UsageAsked(shared.Message):
    """A host asks one of the lenders; ``key`` identifies the answer."""

    key: int
    wants: list[Want]


class UsageLent(shared.Message):
    """The answer to :class:`UsageAsked`."""

    key: int
    loans: list[Loan]


class UsageReturned(shared.Message):
    """A host gives back what it doesn't use, by organisation."""

    amounts: dict[str, float]
