"""Ranks the replicas that a request may be sent to.

A host sees only its own requests, so it ranks by what it knows: its own load
at each replica, the recent outcomes there, the availability zone, and the pace
that the hosts have learned together.
"""

from typing import NamedTuple

from .. import board as boards
from . import instances
from . import prefill_times
from . import reachability
from . import replica_health
from . import replica_limits
from . import replica_pace
from . import replica_pauses

# A replica in another availability zone costs a round trip between zones, so
# it is used only if those in this host's zone are busier by this share of
# their slots.
ZONE_PENALTY = 0.25
# Of the slots, for a replica that only another host reaches.
HELPED_PENALTY = 0.5
# Of the slots, for a replica that a request skips because others are faster.
# More than for another zone, as a slow replica next to its callers would else
# get all of their requests while this host has none there.
SKIPPED_PENALTY = 0.5
# Of the requests, that skip not even the slowest one, to notice its recovery.
TRIAL_SHARE = 0.05
FAILURE_WEIGHT = 4.0  # of the failure rate, relative to the share of slots
# Of the requests, for which replicas that name a limit come before others.
# The rest is for the others, as most requests would find no permit.
LIMITED_FIRST_SHARE = 0.1
# How long a replica that had no memory for a reservation is ranked last.
RESERVATION_REFUSED_S = 0.25


class CandidatesRequested(NamedTuple):
    """A worker needs replicas for a request.

    For a request to a model, ``tokens`` is the size of its prompt and
    ``max_output`` and ``estimated_output`` are the limit and the estimate of
    its output in tokens. ``parts`` are the ids of the shared parts of its
    prompt and of the request itself. An ``is_retry`` request was sent to a
    replica before and uses the retry budget, and ``has_broken`` if a replica
    broke it off. ``exclude`` lists ids of replicas. Only replicas of the
    version ``software`` are wanted, of any if it is ``None``.
    """

    request_id: str
    service: str
    stage: instances.Stage
    tokens: int = 0
    exclude: tuple[str, ...] = ()
    is_retry: bool = False
    max_output: int = 0
    estimated_output: int = 0
    parts: tuple[str, ...] = ()
    has_broken: bool = False
    software: str | None = None


class State:
    """The active requests of this host and their tokens, by replica id.

    ``reservation_refused_at`` holds the time at which a replica last refused
    a reservation.
    """

    def __init__(self):
        self.running: dict[str, int] = {}
        self.running_tokens: dict[str, int] = {}
        self.reservation_refused_at: dict[str, float] = {}


class Rating(NamedTuple):
    """What the place of a replica in the order follows from.

    ``load`` is comparable among the replicas for one request; it includes what
    its failures add. ``skip_chance`` is the chance that a request skips the
    replica, see :data:`SKIPPED_PENALTY`.
    """

    instance: instances.Instance
    is_in_backoff: bool
    is_full: bool
    is_limited: bool
    load: float
    skip_chance: float


def rank(
    board: boards.Board, event: CandidatesRequested, now: float
) -> list[instances.Instance]:
    """Returns the replicas for the request of ``event``, best first.

    A random number breaks ties.
    """
    is_first = board.rng.random() < LIMITED_FIRST_SHARE
    ratings = rate(board, event, now)
    skipped = {
        each.instance.id
        for each in ratings
        if each.skip_chance and board.rng.random() < each.skip_chance
    }

    def key(each: Rating) -> tuple[bool, bool, bool, float, float]:
        is_skipped = each.instance.id in skipped
        return (
            each.is_in_backoff,
            each.is_full,
            each.is_limited != is_first,
            each.load + SKIPPED_PENALTY * is_skipped,
            board.rng.random(),
        )

    return [each.instance for each in sorted(ratings, key=key)]


def rate(
    board: boards.Board, event: CandidatesRequested, now: float
) -> list[Rating]:
    """Returns the replicas that the request may go to, in no order."""
    found = [
        each
        for each in instances.usable(
            board.state(instances.State), event.service, now, event.stage
        )
        if why_excluded(board, each, event, now) is None
    ]
    health = board.state(replica_health.State)
    rates = {
        each.id: replica_health.failure_rate(health, each.id, now)
        for each in found
    }
    limited = replica_limits.limited(board)
    best = min(rates.values(), default=0.0)
    chances = _skip_chances(board, found, event.stage, now)
    ratings = []
    for each in found:
        excess_failures = max(
            0.0, rates[each.id] - best - replica_health.FAILURE_RATE_TOLERANCE
        )
        load = _load(board, each, event, now)
        ratings.append(
            Rating(
                each,
                replica_health.is_in_connect_backoff(health, each.id, now),
                _is_full(board, each, event, now),
                each.id in limited,
                load + FAILURE_WEIGHT * excess_failures,
                chances.get(each.id, 0.0),
            )
        )
    return ratings


def why_excluded(
    board: boards.Board,
    each: instances.Instance,
    event: CandidatesRequested,
    now: float,
) -> str | None:
    """Returns why a usable replica may not get this request, if so."""
    if each.id in event.exclude:
        return "it was tried before"
    if event.software not in (None, each.software):
        return f"its software is {each.software!r}"
    if replica_pauses.is_paused(board, each, now):
        return "it has asked this host for a pause"
    if (
        event.stage is instances.Stage.PREFILL
        and replica_health.loses_prefill_results(
            board.state(replica_health.State), each.id, now
        )
    ):
        return "its results expire before they are used"
    return None


def _skip_chances(
    board: boards.Board,
    found: list[instances.Instance],
    stage: instances.Stage,
    now: float,
) -> dict[str, float]:
    """Returns the chance that a request skips a replica, if there is one.

    In a large fleet a host rarely has a request at any replica, so that its
    own load says nothing. So a replica of a quarter of the pace is skipped by
    three of four requests.
    """
    if stage is instances.Stage.PREFILL or len(found) < 2:
        return {}
    weights = {
        each.id: replica_pace.places(board, each, now)
        / max(each.slots, 1)
        * replica_pace.pace(board, each, now)
        for each in found
    }
    highest = max(weights.values())
    return {
        id: 1 - max(weight / highest, TRIAL_SHARE)
        for id, weight in weights.items()
        if weight < highest
    }


def _prefill_s(
    board: boards.Board,
    each: instances.Instance,
    event: CandidatesRequested,
    now: float,
) -> float:
    ahead = board.state(State).running_tokens.get(each.id, 0)
    state = board.state(prefill_times.State)
    return prefill_times.predict_prefill_s(
        state, each.id, event.tokens, ahead, now
    )


def _is_full(
    board: boards.Board,
    each: instances.Instance,
    event: CandidatesRequested,
    now: float,
) -> bool:
    if event.stage is not instances.Stage.DECODE:
        return False
    refused_at = board.state(State).reservation_refused_at.get(each.id)
    return refused_at is not None and now - refused_at < RESERVATION_REFUSED_S


def _load(
    board: boards.Board,
    each: instances.Instance,
    event: CandidatesRequested,
    now: float,
) -> float:
    """Returns the load of a replica, comparable within one stage.

    It is the share of its room that requests of this host use, less for a
    fast replica, or for prefill the predicted seconds until the prompt is
    processed.
    """
    if event.stage is instances.Stage.PREFILL:
        return _prefill_s(board, each, event, now)
    state = board.state(State)
    share = state.running.get(each.id, 0) / (
        replica_pace.places(board, each, now)
        * replica_pace.pace(board, each, now)
    )
    if event.stage is not instances.Stage.PLAIN:
        return share
    if each.zone != board.identity.zone:
        share += ZONE_PENALTY
    if each.id in board.state(reachability.State).helped:
        share += HELPED_PENALTY
    return share
