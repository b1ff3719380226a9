"""Which daemons of a region read a source on behalf of the others."""

from . import board as boards
from . import membership
from . import rendezvous

READERS = 2  # so that the death of one delays nothing
# While nobody seems to reach the source, one more daemon reads it for each
# STEP_S of the age of what is known beyond STALE_S, up to MAX_EXTRA. The
# bound keeps a whole region from calling a source that is down.
STALE_S = 2.5
STEP_S = 1.0
MAX_EXTRA = 6
HOLD_S = 10.0  # how long such a daemon goes on
SUCCESSORS = 3  # daemons that are told of each reading at once


class State:
    """Until when this daemon goes on reading a source in others' place."""

    def __init__(self):
        self.until: dict[str, float] = {}


def rank(
    board: boards.Board, source: str, age_s: float, now: float
) -> int | None:
    """Returns this daemon's place among the readers, ``None`` if it is none.

    ``age_s`` is the time since any daemon is known to have reached the
    source. A daemon that sees no other one reads for itself.
    """
    place = _place(board, source)
    if place < READERS:
        return place
    until = board.state(State).until
    extra = (age_s - STALE_S) / STEP_S
    if extra >= 0 and place <= READERS + min(extra, MAX_EXTRA):
        until[source] = now + HOLD_S
    return place if now < until.get(source, now) else None


def first(board: boards.Board, source: str) -> bool:
    """Returns whether this daemon is the first reader of a source."""
    return _place(board, source) == 0


def successors(board: boards.Board, source: str) -> list[str]:
    """Returns the daemons that would read next if the readers failed.

    Only a reader has successors to tell. They know the age of what is known
    much better than the rest, so they neither wait for nothing nor begin to
    read while somebody does.
    """
    if _place(board, source) >= READERS:
        return []
    hosts = [member.host for member in membership.reachable(board)]
    ranked = rendezvous.rank(source, hosts)
    return ranked[READERS : READERS + SUCCESSORS]


def _place(board: boards.Board, source: str) -> int:
    """Returns how many daemons would rather read the source."""
    own = board.identity.host
    hosts = [
        member.host
        for member in membership.reachable(board)
        if not member.draining
    ]
    if own not in hosts:
        # This daemon drains; it reads only if there is nobody else.
        return len(hosts) and READERS + len(hosts)
    mine = rendezvous.score(source, own)
    return sum(rendezvous.score(source, host) > mine for host in hosts)
