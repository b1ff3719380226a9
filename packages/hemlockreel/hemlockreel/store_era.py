"""The era of the store, which rises when it is restored from an older copy.

A restored store has lost its latest writes, leases included, and gives out
revisions again that it gave out before. So a revision identifies a state only
together with its era, and what was read in an earlier era is compared with
nothing read in this one. A store that states no era has the era 0.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards

# A fencing number is the era followed by a revision of this size. Numbers up
# to 53 bits are exact in JSON.
REVISION_BITS = 32
MAX_ERA = 2**20


class EraSeen(NamedTuple):
    """The store stated its era in a response, which may be an error."""

    era: int


class State:
    """The highest era that this daemon knows of.

    ``first_seen_at`` is the time at which it learned of it. The era of a
    deployment that starts for the first time counts as known forever, which
    ``is_first_start`` tells.
    """

    def __init__(self):
        self.era = 0
        self.first_seen_at = -math.inf
        self.is_first_start = False


def current(board: boards.Board) -> int:
    """Returns the highest era that this daemon knows of."""
    return board.state(State).era


def first_seen_at(board: boards.Board) -> float:
    """Returns when this daemon learned of the era, ``-inf`` for "always"."""
    return board.state(State).first_seen_at


def fencing_number(era: int, revision: int) -> int:
    """Returns a fencing number that rises with the revision and the era.

    >>> fencing_number(0, 41), fencing_number(1, 7) > fencing_number(0, 41)
    (41, True)
    """
    return era << REVISION_BITS | revision


def observe(
    board: boards.Board, era: int, now: float
) -> Iterable[actions.Action]:
    """Records the era that a response of the store or a peer states."""
    state = board.state(State)
    if not state.era < era <= MAX_ERA:
        return
    before, state.era = state.era, era
    is_known = not before and state.is_first_start
    state.first_seen_at = -math.inf if is_known else now
    if before:
        yield actions.Count("store_restores")
    yield actions.Log("store_era", {"before": before, "era": era})


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles responses that state an era; all others yield nothing."""
    return ()


@handle.register
def _era_seen(
    event: EraSeen, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from observe(board, event.era, now)
