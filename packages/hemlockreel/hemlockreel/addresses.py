"""The daemon addresses that a caller should use."""

from . import board as boards
from . import drain
from . import membership
from . import messages
from . import precedence
from . import rendezvous

MAX_ADDRESSES = 3  # in one response
MIN_ZONE_ADDRESSES = 2  # leaves a caller an address when a host is lost
MAX_RESOLVED_ADDRESSES = 64  # callers read at most this many


def rank_for_caller(
    board: boards.Board, caller: str
) -> tuple[list[str], float]:
    """Returns addresses for ``caller`` and their time to live in seconds.

    Members of this daemon's availability zone come first, and the hash of the
    caller spreads the load within a zone. Draining members are left out.
    Members without a configuration come last, because they refuse every
    request, preceded by those that this daemon can't reach.
    """
    members = membership.live_members(board, board.identity.region)
    usable = {
        member.callers: member for member in members if not member.draining
    }
    ranked = rendezvous.rank(caller, usable)
    ranked.sort(key=lambda callers: _sort_key(board, usable[callers]))
    return ranked[:MAX_ADDRESSES], drain.ADDRESS_TTL_S


def sample_for_zone(board: boards.Board, zone: str) -> list[str]:
    """Returns a random sample of the best addresses for callers in ``zone``.

    A caller picks any of them, so worse members are left out entirely. Members
    that are suspected, unreachable or without a configuration are used only if
    there are no others, and so are, among the good ones, those that reach no
    replica of a service by themselves. Members of other availability zones are
    used only if the caller's own has fewer than MIN_ZONE_ADDRESSES.
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
    direct = [member for member in healthy if not member.unreached]
    chosen = direct or healthy or members
    in_zone = [member for member in chosen if member.zone == zone]
    if len(in_zone) >= MIN_ZONE_ADDRESSES:
        chosen = in_zone
    found = [member.callers for member in chosen]
    return board.rng.sample(found, min(len(found), MAX_RESOLVED_ADDRESSES))


def _sort_key(
    board: boards.Board, member: messages.MemberUpdate
) -> tuple[bool, bool, bool]:
    """Returns a sort key that puts the better members first."""
    return (
        member.configuration == 0,
        member.host in membership.table(board).unreachable,
        member.zone != board.identity.zone,
    )
