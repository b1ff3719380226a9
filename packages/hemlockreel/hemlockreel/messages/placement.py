"""Messages on the places that one host gives at the replicas of a pool.

See :mod:`hemlockreel.forwarding.shared_placement`.
"""

import msgspec

from . import shared


class PlaceAsked(shared.Message):
    """A host needs a place at a replica of ``service`` in ``stage``.

    ``key`` identifies the place and ``number`` the ask, as a host may ask
    again for the same place. ``tokens`` is the memory or the prompt that it
    is for. The request can wait for ``wait_s``. Replicas in ``exclude`` are
    not wanted. ``refused`` is the one that was given before and could not be
    used; it is ``full`` if it said so itself.
    """

    key: str
    number: int
    service: str
    stage: str
    tokens: int = 0
    priority: int = 5
    organisation: str = ""
    wait_s: float = 0.0
    exclude: tuple[str, ...] = ()
    refused: str = ""
    full: bool = False


class PlaceGiven(shared.Message):
    """The place ``key`` is at the first of ``replicas``."""

    key: str
    number: int
    replicas: tuple[str, ...]


class PlaceQueued(shared.Message):
    """The place ``key`` is given once there is room, if that is in time."""

    key: str
    number: int


class PlaceRefused(shared.Message):
    """There is no place in time; there is room in about ``after_s``."""

    key: str
    number: int
    after_s: float


class PlaceFreed(shared.Message):
    """The place ``key`` is not needed any more.

    ``succeeded`` is set if its replica did what the place was for.
    """

    key: str
    service: str
    stage: str
    succeeded: bool = False


class HeldPlace(msgspec.Struct, frozen=True, array_like=True):
    """A place that a host holds; the fields are as in :class:`PlaceAsked`."""

    key: str
    replica: str
    tokens: int
    organisation: str = ""
    age_s: float = 0.0


class PlacesHeld(shared.Message):
    """The places that the sender holds in one stage of a service."""

    service: str
    stage: str
    places: list[HeldPlace] = []
