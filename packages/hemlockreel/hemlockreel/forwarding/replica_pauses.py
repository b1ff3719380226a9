"""Pauses that replicas ask of this host.

A replica that turns a request away may state for how long it wants nothing
from the host that sent it. The pause holds for this host only, and for all
kinds of calls. It ends early only with another run of the replica.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import messages
from . import instances

# A longer time is more likely an error than a wish.
MAX_PAUSE_S = 300.0
# Requests that waited for the end of a pause are spread over this time, so
# that they don't all arrive at its first moment.
SPREAD_S = 0.25


class PauseAsked(NamedTuple):
    """The replica ``id``, in its run ``born``, asked for a pause.

    ``via`` is the host that carried its response, empty if there was none. To
    the replica, that host is the one that called.
    """

    id: str
    born: int
    seconds: float
    via: str = ""


class Pause(NamedTuple):
    """Until when the run ``born`` of a replica wants no calls."""

    born: int
    until: float


class State:
    """The pauses by replica id."""

    def __init__(self):
        self.pauses: dict[str, Pause] = {}


def is_paused(
    board: boards.Board, instance: instances.Instance, now: float
) -> bool:
    """Returns whether ``instance`` wants no calls of this host at ``now``."""
    found = board.state(State).pauses.get(instance.id)
    return (
        found is not None and found.born == instance.born and found.until > now
    )


def wait_s(
    board: boards.Board, paused: Iterable[instances.Instance], now: float
) -> float | None:
    """Returns in how many seconds to try again, ``None`` if none is paused.

    That is the earliest end of a pause and a random share of ``SPREAD_S``.
    """
    known = board.state(State).pauses
    ends = [
        known[each.id].until for each in paused if is_paused(board, each, now)
    ]
    if not ends:
        return None
    return min(ends) - now + board.rng.uniform(0.0, SPREAD_S)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles requests for a pause; all other events yield nothing."""
    return ()


@handle.register
def _pause_asked(
    event: PauseAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    seconds = min(event.seconds, MAX_PAUSE_S)
    if seconds <= 0:
        return
    pauses = board.state(State).pauses
    known = pauses.get(event.id)
    until = now + seconds
    if known is not None and known.born == event.born:
        # Responses may arrive in another order than they were sent.
        until = max(until, known.until)
    pauses[event.id] = Pause(event.born, until)
    yield actions.Count("replica_pauses")
    fields = {"replica": event.id, "for_s": round(seconds, 3)}
    yield actions.Log("replica_paused", fields)
    if event.via:
        told = messages.PauseTold(
            **board.sender_fields,
            replica=event.id,
            born=event.born,
            for_s=seconds,
        )
        yield actions.Send(event.via, told)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    pauses = board.state(State).pauses
    for id in [id for id, each in pauses.items() if each.until <= now]:
        del pauses[id]
    return ()
