"""Explains where a request would go now, without sending it.

It is the code of :mod:`ranking` that decides, without its random numbers:
nothing is taken, counted or learned, and the next request is ranked as if
nobody had asked.
"""

from typing import NamedTuple

from .. import board as boards
from .. import outcomes
from . import blocked_parts
from . import instances
from . import ranking
from . import replica_health
from . import replica_pace
from . import replica_selection


class Candidate(NamedTuple):
    """A replica that the request may go to, with what decides its place.

    ``rating`` is that of the ranking. ``own_requests`` are those of this host
    that run there, ``failure_rate`` is seen here, and ``pace`` and ``places``
    are as in :mod:`replica_pace`.
    """

    rating: ranking.Rating
    own_requests: int
    failure_rate: float
    pace: float
    places: float


class LeftOut(NamedTuple):
    """A replica of the service that the request can't go to, and why."""

    id: str
    reason: str


class Explanation(NamedTuple):
    """Where a request would go: its ``candidates``, the likeliest first.

    Among equal ones, and those with a chance to be skipped, a random number
    decides. ``refused`` is the refusal without any candidate or of a blocked
    request.
    """

    candidates: tuple[Candidate, ...]
    left_out: tuple[LeftOut, ...]
    refused: outcomes.Refused | None = None


def explain(
    board: boards.Board, event: ranking.CandidatesRequested, now: float
) -> Explanation:
    """Returns where the request of ``event`` would go now, and why."""
    ratings = sorted(
        ranking.rate(board, event, now),
        key=lambda each: (
            each.is_in_backoff,
            each.is_full,
            each.is_limited,
            each.load + each.skip_chance * ranking.SKIPPED_PENALTY,
            each.instance.id,
        ),
    )
    # Without a worker, a blocked request isn't taken for a trial.
    refused = blocked_parts.find_refusal(
        board, event.service, event.parts, now
    )
    if refused is None and not ratings:
        # The time to return is spread at random.
        random_state = board.rng.getstate()
        refused = replica_selection.refusal_without_candidates(
            board, event, now
        )
        board.rng.setstate(random_state)
    rated = {each.instance.id for each in ratings}
    known = board.state(instances.State).instances
    return Explanation(
        tuple(_describe(board, each, now) for each in ratings),
        tuple(
            LeftOut(each.id, _why_left_out(board, each, event, now))
            for each in known.values()
            if each.service == event.service and each.id not in rated
        ),
        refused,
    )


def _describe(
    board: boards.Board, rating: ranking.Rating, now: float
) -> Candidate:
    each = rating.instance
    health = board.state(replica_health.State)
    return Candidate(
        rating,
        board.state(ranking.State).running.get(each.id, 0),
        replica_health.failure_rate(health, each.id, now),
        replica_pace.pace(board, each, now),
        replica_pace.places(board, each, now),
    )


def _why_left_out(
    board: boards.Board,
    each: instances.Instance,
    event: ranking.CandidatesRequested,
    now: float,
) -> str:
    state = board.state(instances.State)
    if each not in instances.remaining(state, event.service, now):
        return "it leaves" if each.draining else "its entry is gone"
    if each.stage is not event.stage:
        return f"its stage is {each.stage.value}"
    excluded = ranking.why_excluded(board, each, event, now)
    return excluded or "it is changing its stage"
