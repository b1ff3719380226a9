"""Which member the failure detector pings next."""

from collections.abc import Container

from . import board as boards
from . import membership
from . import rendezvous


def reachable_peers(board: boards.Board) -> list[str]:
    """Returns the other live members that are not marked unreachable."""
    own = board.identity.host
    unreachable_hosts = membership.table(board).unreachable
    return [
        member.host
        for member in membership.live_members(board)
        if member.host != own and member.host not in unreachable_hosts
    ]


def successor(board: boards.Board, suspected: Container[str]) -> str | None:
    """Returns the next member on the ring that is not ``suspected``."""
    # The ring is sorted by hash, since hosts with adjacent addresses may share
    # a rack and fail together.
    own = rendezvous.score("ring", board.identity.host)
    ring = [
        (rendezvous.score("ring", host), host)
        for host in reachable_peers(board)
        if host not in suspected
    ]
    following = [place for place in ring if place[0] > own]
    return min(following or ring, default=(0, None))[1]


def next_shuffled(board: boards.Board, order: list[str]) -> str | None:
    """Returns the next member of a random order of all reachable ones.

    Every member is returned once before any is returned again. ``order`` holds
    the rest of the present round and is changed in place.
    """
    usable = set(reachable_peers(board))
    while order:
        host = order.pop()
        if host in usable:
            return host
    order[:] = sorted(usable)
    board.rng.shuffle(order)
    return order.pop() if order else None
