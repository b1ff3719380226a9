"""Messages on the software versions that began streams.

See :mod:`hemlockreel.forwarding.stream_versions`.
"""

import msgspec

from . import shared


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """The request ``id`` brought the first event of a stream.

    It was written by ``software`` of ``service``, ``age_s`` seconds ago.
    """

    id: str
    service: str
    software: str
    age_s: float = 0.0


class StreamsBegun(shared.Message):
    """Streams that a host has begun to pass on."""

    streams: list[BegunStream]


class StreamAsked(shared.Message):
    """A host needs to know who began the stream of the request ``id``.

    ``number`` identifies the question of the sender.
    """

    number: int
    id: str
    service: str


class StreamKnown(shared.Message):
    """What a recorder knows of the stream of the question ``number``.

    ``software`` began it, ``None`` if that isn't known. ``recent`` are all
    versions that the recorder knows to have begun streams lately. ``is_read``
    is set if it has read those of the time before it started, and
    ``is_fresh`` if the store has just confirmed its list of replicas.
    """

    number: int
    software: str | None
    recent: list[str]
    is_read: bool
    is_fresh: bool
