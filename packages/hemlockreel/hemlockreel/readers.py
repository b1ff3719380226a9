"""Selects the daemons of a region that read a source for all the others.

A source is the store's configuration or the platform's host list. Rendezvous
hashing ranks the daemons for each source; the first READERS_PER_SOURCE read
it. If the data becomes too old, daemons further down begin to read as well.
"""

from . import board as boards
from . import membership
from . import rendezvous

READERS_PER_SOURCE = 2  # the loss of one of them causes no delay
# If the data is older than EXTRA_READER_AGE_S, one more daemon begins to read
# for each further EXTRA_READER_STEP_S of age. MAX_EXTRA_READERS keeps a whole
# region from calling a source that is down.
EXTRA_READER_AGE_S = 2.5
EXTRA_READER_STEP_S = 1.0
MAX_EXTRA_READERS = 6
EXTRA_READER_HOLD_S = 10.0  # an extra reader reads for at least this long
MAX_SUCCESSORS = 3  # daemons that are notified of each reading directly


class State:
    """The time until which this daemon is an extra reader, by source."""

    def __init__(self):
        self.extra_until: dict[str, float] = {}


def reader_rank(
    board: boards.Board, source: str, age_s: float, now: float
) -> int | None:
    """Returns this daemon's rank among the readers, ``None`` if it is none.

    ``age_s`` is the time since any daemon is known to have reached the
    source. A daemon that can reach no other one has rank 0.
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
    """Returns whether this daemon ranks first among the readers."""
    return _preference_rank(board, source) == 0


def successors(board: boards.Board, source: str) -> list[str]:
    """Returns the daemons that would read next if the readers failed.

    A reader notifies them of each reading, so that they know the age of the
    data more exactly than the other daemons. They then begin to read as soon
    as the readers fail, but not while one of them still reads. The result is
    empty for a daemon that does not rank among the first readers.
    """
    if _preference_rank(board, source) >= READERS_PER_SOURCE:
        return []
    hosts = [member.host for member in membership.reachable_members(board)]
    ranked = rendezvous.rank(source, hosts)
    return ranked[READERS_PER_SOURCE : READERS_PER_SOURCE + MAX_SUCCESSORS]


def _preference_rank(board: boards.Board, source: str) -> int:
    """Returns how many daemons rank before this one for ``source``."""
    own = board.identity.host
    hosts = [
        member.host
        for member in membership.reachable_members(board)
        if not member.draining
    ]
    if own not in hosts:
        # A draining daemon reads only if there is no other daemon.
        return len(hosts) and READERS_PER_SOURCE + len(hosts)
    own_score = rendezvous.score(source, own)
    return sum(rendezvous.score(source, host) > own_score for host in hosts)
