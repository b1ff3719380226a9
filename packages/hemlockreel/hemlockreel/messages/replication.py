"""Versions of declared objects and of the host list."""

import msgspec

from .. import documents
from . import shared


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The version of a feed that a daemon holds.

    ``age_s`` is the time since the source agreed with it, ``None`` where
    that does not matter.
    """

    feed: str
    version: int
    age_s: float | None = None


class FeedOffer(shared.Message):
    """Tells a peer which versions the sender holds.

    Who is behind is sent the difference. ``answer`` marks an offer that was
    caused by one, so that no third follows, and ``partial`` one that does
    not name all feeds of the sender.
    """

    heads: list[Head] = []
    answer: bool = False
    partial: bool = False


class FeedUpdate(shared.Message):
    """What is new in a feed; see :class:`hemlockreel.documents.Difference`."""

    feed: str
    difference: documents.Difference
    age_s: float | None = None
