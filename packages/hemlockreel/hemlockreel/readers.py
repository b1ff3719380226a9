"""Which daemons of a region read a source on behalf of the others."""

from . import board as boards
from . import membership
from . import rendezvous

READERS_PER_SOURCE = 2  # so that the death of one delays nothing
# While nobody seems to reach the source, one more daemon reads it for each
# STEP_S of the age of what is known beyond STALE_S, up to MAX_EXTRA. The
# bound keeps a whole region from calling a source that is down.
EXTRA_READER_AGE_S = 2.5
EXTRA_READER_STEP_S = 1.0
MAX_EXTRA_READERS = 6
EXTRA_READER_HOLD_S = 10.0  # how long such a daemon goes on
MAX_SUCCESSORS = 3  # daemons that are told of each reading at once


class State:
    """Until when this daemon goes on reading a source in others' place."""

    def __init__(self):
        self.extra_until: dict[str, float] = {}


def reader_rank(
    board: boards.Board, source: str, age_s: float, now: float
) -> int | None:
    """Returns this daemon's place among the readers, ``None`` if it is none.

    ``age_s`` is the time since any daemon is known to have reached the
    source. A daemon that sees no other one reads for itself.
    """
    position = _preference_rank(board, source)
    if position < READERS_PER_SOURCE:
        return position
    until = board.state(State).extra_until
    extra_readers = (age_s - EXTRA_READER_AGE_S) / EXTRA_READER_STEP_S
    if extra_readers >= 0 and position <= READERS_PER_SOURCE + min(
        extra_readers, MAX_EXTRA_READERS
    ):
        until[source] = now + EXTRA_READER_HOLD_S
    return position if now < until.get(source, now) else None


def is_first_reader(board: boards.Board, source: str) -> bool:
    """Returns whether this daemon is the first reader of a source."""
    return _preference_rank(board, source) == 0


def successors(board: boards.Board, source: str) -> list[str]:
    """Returns the daemons that would read next if the readers failed.

    Only a reader has successors to tell. They know the age of what is known
    much better than the rest, so they neither wait for nothing nor begin to
    read while somebody does.
    """
    if _preference_rank(board, source) >= READERS_PER_SOURCE:
        return []
    hosts = [member.host for member in membership.reachable_members(board)]
    ranked = rendezvous.rank(source, hosts)
    return ranked[READERS_PER_SOURCE : READERS_PER_SOURCE + MAX_SUCCESSORS]


def _preference_rank(board: boards.Board, source: str) -> int:
    """Returns how many daemons would rather read the source."""
    own = board.identity.host
    hosts = [
        member.host
        for member in membership.reachable_members(board)
        if not member.draining
    ]
    if own not in hosts:
        # This daemon drains; it reads only if there is nobody else.
        return len(hosts) and READERS_PER_SOURCE + len(hosts)
    own_score = rendezvous.score(source, own)
    return sum(rendezvous.score(source, host) > own_score for host in hosts)
