"""Selects the shard of a service that an entry sends a request to.

Of two random shards the entry takes the one where it has fewer requests per
replica. Shards of its own availability zone go before others, and shards that
recently refused a request go last. Those are not skipped: what did not fit
for one request, with its length and its deadline, may fit for the next.
"""

import collections

from . import board as boards
from . import outcomes
from . import shards

# Reasons for refusal that need not hold for another shard.
RETRIABLE_ELSEWHERE = (
    outcomes.Reason.FIRST_TOKEN_TOO_LATE,
    outcomes.Reason.NO_BACKEND,
    outcomes.Reason.OVERLOADED,
)


class State:
    """The requests and refusals of this entry by shard.

    ``requests`` counts those that wait or hold a grant. ``refused_until`` is
    the time up to which a shard goes last after a refusal.
    """

    def __init__(self):
        self.requests: collections.Counter[str] = collections.Counter()
        self.refused_until: dict[str, float] = {}


def select(
    board: boards.Board, service: str, now: float, tried: tuple[str, ...] = ()
) -> str | None:
    """Returns the shard to send a request to, ``None`` if all were tried."""
    state = board.state(State)
    known = shards.get(board, service)
    ranked: dict[tuple[bool, bool], list[str]] = {}
    for shard in sorted(known):
        if shard not in tried:
            refused = state.refused_until.get(shard, 0.0) > now
            rank = (refused, not _is_near(board, shard))
            ranked.setdefault(rank, []).append(shard)
    if not ranked:
        return None
    best = ranked[min(ranked)]
    pair = board.rng.sample(best, min(2, len(best)))
    return min(
        pair,
        key=lambda shard: state.requests[shard] / (len(known[shard]) or 1),
    )


def add_request(board: boards.Board, shard: str) -> None:
    """Counts a request that is sent to ``shard``."""
    board.state(State).requests[shard] += 1


def remove_request(board: boards.Board, shard: str) -> None:
    """Removes a request that no longer waits at ``shard`` or holds a grant."""
    held = board.state(State).requests
    held[shard] -= 1
    if held[shard] <= 0:
        del held[shard]


def record_refusal(
    board: boards.Board, shard: str, retry_after_s: float, now: float
) -> None:
    """Records an owner's refusal and drops the outdated ones."""
    until = board.state(State).refused_until
    for known, end in list(until.items()):
        if end <= now:
            del until[known]
    until[shard] = now + retry_after_s


def _is_near(board: boards.Board, shard: str) -> bool:
    zone = shards.zone_of(shard)
    return zone in (board.identity.zone, shards.SHARED_GROUP)
