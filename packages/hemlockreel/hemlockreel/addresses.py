"""The addresses that a caller should use."""

from . import board as boards
from . import drain
from . import membership
from . import messages
from . import rendezvous

ADDRESSES = 3  # addresses in one answer


def get(board: boards.Board, caller: str) -> tuple[list[str], float]:
    """Returns addresses for ``caller`` and their time to live in seconds.

    Members of this daemon's availability zone come first; within a zone the
    hash of the caller spreads the load. Leaving hosts are left out. Those
    without a configuration come last, since they refuse everything, and
    before them those that this daemon can't reach itself.
    """
    members = membership.live(board, board.identity.region)
    usable = {
        member.callers: member for member in members if not member.draining
    }
    ranked = rendezvous.rank(caller, usable)
    ranked.sort(key=lambda callers: _order(board, usable[callers]))
    return ranked[:ADDRESSES], drain.ADDRESS_TTL_S


def _order(
    board: boards.Board, member: messages.MemberUpdate
) -> tuple[bool, bool, bool]:
    """Returns a key that sorts the better members first."""
    return (
        member.configuration == 0,
        member.host in membership.table(board).unreachable,
        member.zone != board.identity.zone,
    )
