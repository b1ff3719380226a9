"""Keeps one object of a region in the store, for when all hosts end at once.

The hosts tell each other what is in it, and a host that starts learns it from
them. A few hosts read the object when they start, or become one of these few,
and the first of them rewrites it when its content has changed. A restored
store may have lost it, so it is read again in each era.
"""

from collections.abc import Callable
from typing import Any

from .. import actions
from .. import board as boards
from .. import events
from .. import store_era

# A host that has just started takes itself for one of the few until it has
# heard of the others.
START_S = 0.6
PERIOD_S = 1.0  # between two calls
CALL_TIMEOUT_S = 1.5
OK = (200, 201)
NOT_FOUND = 404


class Record:
    """What is known of an object.

    ``version`` is 0 if there is none, and ``saved`` the content written last.
    It was read in ``era``, ``None`` if it must be read. ``writing`` is the
    content of a pending write. Calls are at least ``period_s`` apart.
    """

    def __init__(self, kind: str, period_s: float = PERIOD_S):
        self.kind = kind
        self.period_s = period_s
        self.version = 0
        self.saved: frozenset[Any] = frozenset()
        self.writing: frozenset[Any] = frozenset()
        self.era: int | None = None
        self.next_call_at: float | None = None
        self.pending = ""
        self.last_call_number = 0

    def is_read(self, board: boards.Board) -> bool:
        """Returns whether the object was read in the current era."""
        return self.era is not None and self.era == store_era.current(board)

    def is_due(self, now: float) -> bool:
        """Returns whether a call may be made at ``now``."""
        if self.next_call_at is None:
            self.next_call_at = now + START_S
        return now >= self.next_call_at

    def read(self, board: boards.Board, now: float) -> actions.CallStore:
        """Returns the call that reads the object."""
        return self._call(board, "GET", now)

    def write(
        self,
        board: boards.Board,
        now: float,
        content: frozenset[Any],
        encode: Callable[[], Any],
    ) -> actions.CallStore:
        """Returns the call that replaces the object."""
        self.writing = content
        return self._call(board, "PUT", now, encode(), self.version)

    def _call(
        self,
        board: boards.Board,
        method: str,
        now: float,
        value: Any = None,
        expected: int | None = None,
    ) -> actions.CallStore:
        self.last_call_number += 1
        self.pending = f"{self.kind}/{method} {self.last_call_number}"
        self.next_call_at = now + CALL_TIMEOUT_S + self.period_s
        path = f"/v1/objects/{self.kind}/{board.identity.region}"
        return actions.CallStore(
            self.pending, method, path, value, expected, CALL_TIMEOUT_S
        )

    def take_response(
        self, event: events.StoreResponded, board: boards.Board, now: float
    ) -> dict[str, Any] | None:
        """Returns the object if ``event`` responds to a read of it.

        It is empty if there is none.
        """
        if not self.pending or event.call_id != self.pending:
            return None
        is_write = self.pending.startswith(f"{self.kind}/PUT")
        self.pending = ""
        self.next_call_at = now + self.period_s
        if event.status == NOT_FOUND and not is_write:
            self.era = event.era or store_era.current(board)
            self.version, self.saved = 0, frozenset()
            return {}
        found = _decode(event)
        if found is None:
            # A write without a response may have been made, and one of an
            # object that a restored store has lost is made after a read.
            self.era = None if is_write else self.era
            return None
        self.era = event.era or store_era.current(board)
        self.version, value = found
        if is_write:
            self.saved = self.writing
            return None
        return value if isinstance(value, dict) else {}


def _decode(event: events.StoreResponded) -> tuple[int, Any] | None:
    """Returns version and value of the object, ``None`` if there is none."""
    if event.status not in OK:
        return None
    found = event.body.get("object")
    if not isinstance(found, dict) or not isinstance(
        found.get("version"), int
    ):
        return None
    return found["version"], found.get("value")
