"""Which daemons of a region read a source on behalf of the others."""

from . import board as boards
from . import membership
from . import rendezvous

READERS = 2  # so that the death of one delays nothing


def rank(board: boards.Board, source: str) -> int | None:
    """Returns this daemon's place among the readers, ``None`` if it is none.

    A daemon that sees no other one reads for itself.
    """
    hosts = [
        member.host
        for member in membership.reachable(board)
        if not member.draining
    ]
    found = rendezvous.rank(source, hosts)[:READERS]
    own = board.identity.host
    if not found:
        return 0
    return found.index(own) if own in found else None
