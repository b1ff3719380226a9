"""Versions of declared objects and of the host list."""

import msgspec

from .. import documents
from . import shared


class DocumentVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version of a feed that a daemon holds.

    ``age_s`` is the time since the source agreed with it, ``None`` where
    that does not matter.
    """

    document_name: str = msgspec.field(name="feed")
    version: int
    age_s: float | None = None


class DocumentOffer(shared.Message, tag="FeedOffer"):
    """Tells a peer which versions the sender holds.

    Who is behind is sent the difference. ``answer`` marks an offer that was
    caused by one, so that no third follows, and ``partial`` one that does
    not name all feeds of the sender.
    """

    heads: list[DocumentVersion] = []
    answer: bool = False
    partial: bool = False


class DocumentUpdate(shared.Message, tag="FeedUpdate"):
    """What is new in a feed; see :class:`hemlockreel.documents.Difference`."""

    document_name: str = msgspec.field(name="feed")
    difference: documents.Difference
    age_s: float | None = None
