"""What a call to the object API comes to; values, not exceptions."""

from typing import Any
from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object as the store holds it; ``version`` rises with each write."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """Objects that were read at one revision of the store."""

    revision: int
    items: tuple[StoredObject, ...]


class ChangeEvent(NamedTuple):
    """A change that a watch saw; ``type`` is ``put`` or ``delete``."""

    type: str
    object: StoredObject


class Changes(NamedTuple):
    """What a watch saw up to ``revision``."""

    revision: int
    events: tuple[ChangeEvent, ...]


class Written(NamedTuple):
    """The write took effect."""

    revision: int
    object: StoredObject | None


class Conflict(NamedTuple):
    """The condition of the write did not hold; nothing was written."""

    current: StoredObject | None


class NotFound(NamedTuple):
    """There is no such object."""


class HistoryExpired(NamedTuple):
    """The revision of a watch is too old; the objects must be listed."""


class Rejected(NamedTuple):
    """The store refused the call for what it asked; nothing was written."""

    status: int
    reason: str


class Unavailable(NamedTuple):
    """The store took no note of the call; nothing was written.

    ``retry_after_s`` is the store's wish in seconds, ``None`` without one.
    """

    reason: str
    retry_after_s: float | None = None


class NoResponse(NamedTuple):
    """The call was sent and no answer came; a write may take effect."""

    reason: str


ReadResult = (
    Listing | StoredObject | NotFound | Rejected | Unavailable | NoResponse
)
WatchResult = Changes | HistoryExpired | Rejected | Unavailable | NoResponse
WriteResult = (
    Written | Conflict | NotFound | Rejected | Unavailable | NoResponse
)
