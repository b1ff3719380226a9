"""Which shard of a service an entry asks for a place.

Of two shards taken at random the entry asks the one where it holds less for
each replica. Shards of the own availability zone go before others, and those
that refused a short while ago come last. They are not left out: what did not
fit for one request, with its length and its deadline, may fit for the next.
"""

import collections

from . import board as boards
from . import outcomes
from . import shards

# Refusals for which the owner of another shard may still have a place.
RETRIABLE_ELSEWHERE = (
    outcomes.Reason.LATE,
    outcomes.Reason.NO_BACKEND,
    outcomes.Reason.OVERLOADED,
)


class State:
    """What this entry knows of shards.

    ``held`` counts its asks and grants, ``refused_until`` says until when an
    owner's refusal stands.
    """

    def __init__(self):
        self.requests: collections.Counter[str] = collections.Counter()
        self.refused_until: dict[str, float] = {}


def select(
    board: boards.Board, service: str, now: float, tried: tuple[str, ...] = ()
) -> str | None:
    """Returns the shard to ask, ``None`` if all were tried."""
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
    """Notes that a place at ``shard`` is asked for."""
    board.state(State).requests[shard] += 1


def remove_request(board: boards.Board, shard: str) -> None:
    """Notes that a place at ``shard`` is not asked for or held any more."""
    held = board.state(State).requests
    held[shard] -= 1
    if held[shard] <= 0:
        del held[shard]


def record_refusal(
    board: boards.Board, shard: str, retry_after_s: float, now: float
) -> None:
    """Notes the refusal of an owner, with its time to come back."""
    until = board.state(State).refused_until
    for known, end in list(until.items()):
        if end <= now:
            del until[known]
    until[shard] = now + retry_after_s


def _is_near(board: boards.Board, shard: str) -> bool:
    zone = shards.zone_of(shard)
    return zone in (board.identity.zone, shards.SHARED)
