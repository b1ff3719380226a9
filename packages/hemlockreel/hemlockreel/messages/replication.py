"""Messages of :mod:`hemlockreel.replication`."""

import msgspec

from .. import documents
from . import shared


class DocumentVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version of a document that a daemon has.

    ``age_s`` is the time since the source agreed with it, ``None`` if that is
    unknown.
    """

    document_name: str = msgspec.field(name="feed")
    version: int
    age_s: float | None = None


class DocumentOffer(shared.Message, tag="FeedOffer"):
    """Reports the versions that the sender has to a peer.

    The one of the two that is behind gets the difference from the other.
    ``answer`` marks an offer that responds to an offer or an update and gets
    no offer in response. ``partial`` marks one that does not list all the
    sender's documents.
    """

    heads: list[DocumentVersion] = []
    answer: bool = False
    partial: bool = False


class DocumentUpdate(shared.Message, tag="FeedUpdate"):
    """The changes of a document since a version that the receiver has."""

    document_name: str = msgspec.field(name="feed")
    difference: documents.Difference
    age_s: float | None = None
