"""Results of calls to the object API.

Failures are values too, so that a caller can match all cases of a result.
"""

from typing import Any
from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object of the store; ``version`` increases with each write."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """Objects as of one revision of the store."""

    revision: int
    items: tuple[StoredObject, ...]


class ChangeEvent(NamedTuple):
    """A change of an object; ``type`` is ``put`` or ``delete``."""

    type: str
    object: StoredObject


class Changes(NamedTuple):
    """The changes that a watch reported up to ``revision``."""

    revision: int
    events: tuple[ChangeEvent, ...]


class Written(NamedTuple):
    """The write took effect; ``object`` is ``None`` after a deletion."""

    revision: int
    object: StoredObject | None


class Conflict(NamedTuple):
    """The object does not have the expected version; nothing was written.

    ``current`` is the stored object, ``None`` if there is none.
    """

    current: StoredObject | None


class NotFound(NamedTuple):
    """The object does not exist."""


class HistoryExpired(NamedTuple):
    """The revision of a watch is too old, so the objects must be listed."""


class Rejected(NamedTuple):
    """The store refused the call as invalid; nothing was written."""

    status: int
    reason: str


class Unavailable(NamedTuple):
    """The store did not execute the call; nothing was written.

    ``retry_after_s`` is the store's retry delay, ``None`` if it gave none.
    """

    reason: str
    retry_after_s: float | None = None


class NoResponse(NamedTuple):
    """The call was sent but got no response; a write may take effect."""

    reason: str


ReadResult = (
    Listing | StoredObject | NotFound | Rejected | Unavailable | NoResponse
)
WatchResult = Changes | HistoryExpired | Rejected | Unavailable | NoResponse
WriteResult = (
    Written | Conflict | NotFound | Rejected | Unavailable | NoResponse
)
