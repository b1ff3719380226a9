"""Messages on the organisations of a deployment.

See :mod:`hemlockreel.forwarding.organisation_news`. They contain digests of
keys, never a key.
"""

import msgspec

from . import shared


class KnownOrganisation(msgspec.Struct, frozen=True, array_like=True):
    """An organisation, see ``Organisation`` and ``UsageCap``.

    ``unit`` is the value of the cap's unit.
    """

    name: str
    key_digests: list[bytes]
    priority: int | None
    rate: float
    burst: float
    unit: str
    plain_tokens: int


class OrganisationsAsked(shared.Message):
    """A host with the organisations of ``version`` asks for newer ones."""

    version: int


class OrganisationsKnown(shared.Message):
    """The answer to :class:`OrganisationsAsked`.

    ``version`` is that which the sender knows, and ``age_s`` the time since
    the store has last confirmed it, negative if unknown. ``organisations`` is
    ``None`` unless they are newer than asked for.
    """

    version: int
    age_s: float
    organisations: list[KnownOrganisation] | None
