"""The addresses that a caller should use."""

from . import board as boards
from . import drain
from . import membership
from . import messages
from . import precedence
from . import rendezvous

MAX_ADDRESSES = 3  # addresses in one answer
MIN_ZONE_ADDRESSES = 2  # so that a caller has another one when a host is lost
MAX_RESOLVED_ADDRESSES = 64  # callers read no more


def rank_for_caller(
    board: boards.Board, caller: str
) -> tuple[list[str], float]:
    """Returns addresses for ``caller`` and their time to live in seconds.

    Members of this daemon's availability zone come first; within a zone the
    hash of the caller spreads the load. Leaving hosts are left out. Those
    without a configuration come last, since they refuse everything, and
    before them those that this daemon can't reach itself.
    """
    members = membership.live_members(board, board.identity.region)
    usable = {
        member.callers: member for member in members if not member.draining
    }
    ranked = rendezvous.rank(caller, usable)
    ranked.sort(key=lambda callers: _sort_key(board, usable[callers]))
    return ranked[:MAX_ADDRESSES], drain.ADDRESS_TTL_S


def sample_for_zone(board: boards.Board, zone: str) -> list[str]:
    """Returns the addresses for a caller in ``zone``, the best ones only.

    A caller takes any of them. So those of its own zone are named alone where
    there are enough of them, and members that are suspected, out of reach or
    without a configuration only where there is no other.
    """
    members = [
        member
        for member in membership.live_members(board, board.identity.region)
        if not member.draining
    ]
    healthy = [
        member
        for member in members
        if member.configuration
        and member.state != precedence.SUSPECT
        and member.host not in membership.table(board).unreachable
    ]
    chosen = healthy or members
    in_zone = [member for member in chosen if member.zone == zone]
    if len(in_zone) >= MIN_ZONE_ADDRESSES:
        chosen = in_zone
    found = [member.callers for member in chosen]
    return board.rng.sample(found, min(len(found), MAX_RESOLVED_ADDRESSES))


def _sort_key(
    board: boards.Board, member: messages.MemberUpdate
) -> tuple[bool, bool, bool]:
    """Returns a key that sorts the better members first."""
    return (
        member.configuration == 0,
        member.host in membership.table(board).unreachable,
        member.zone != board.identity.zone,
    )
