"""Failure rates and connect backoff of replicas, as this host observes them.

A replica that passes its health check may still fail some of its requests.
Its failure rate is compared with that of the best replica of the service, so
that failures common to all, such as those of invalid requests, have no effect.
"""

import math
from typing import NamedTuple

HALF_LIFE_S = 3.0  # after which an outcome counts half
PRIOR_SUCCESSES = 4.0  # assumed for every replica
# A failure rate this much above the best one is normal variation.
FAILURE_RATE_TOLERANCE = 0.15
CONNECT_BACKOFF_S = 0.7  # after the first failed connect; doubles
MAX_CONNECT_BACKOFF_S = 3.0
# An expired prefill result is wasted work, so a single one (a rate of 0.5) is
# enough to exclude its replica, until the rate has decayed to the limit.
PRIOR_PREFILL_RESULTS = 1.0
MAX_LOST_RESULT_RATE = 0.4


class OutcomeCounts(NamedTuple):
    """Counts of outcomes, decayed up to the time ``at``."""

    successes: float = 0.0
    failures: float = 0.0
    at: float = 0.0


class State:
    """Outcomes by replica id.

    ``records`` counts requests, ``prefill_results`` whether results of a
    prefill replica were fetched. ``connect_backoff`` holds the time until
    which a replica is ranked last, and the length of that backoff in seconds.
    """

    def __init__(self):
        self.records: dict[str, OutcomeCounts] = {}
        self.prefill_results: dict[str, OutcomeCounts] = {}
        self.connect_backoff: dict[str, tuple[float, float]] = {}


def record_outcome(state: State, id: str, succeeded: bool, now: float) -> None:
    """Records an outcome of the replica ``id``; a success ends its backoff."""
    _add(state.records, id, succeeded, now)
    if succeeded:
        state.connect_backoff.pop(id, None)


def record_prefill_result(
    state: State, id: str, succeeded: bool, now: float
) -> None:
    """Records whether a result of the prefill replica ``id`` was fetched."""
    _add(state.prefill_results, id, succeeded, now)


def loses_prefill_results(state: State, id: str, now: float) -> bool:
    """Returns whether results of the replica ``id`` expire before use."""
    successes, failures = _decayed(state.prefill_results, id, now)
    return (
        failures / (successes + failures + PRIOR_PREFILL_RESULTS)
        > MAX_LOST_RESULT_RATE
    )


def record_connect_failure(state: State, id: str, now: float) -> None:
    """Records a failed connect to the replica ``id``; doubles its backoff."""
    _, pause = state.connect_backoff.get(id, (0.0, CONNECT_BACKOFF_S / 2))
    pause = min(2 * pause, MAX_CONNECT_BACKOFF_S)
    state.connect_backoff[id] = (now + pause, pause)


def is_in_connect_backoff(state: State, id: str, now: float) -> bool:
    """Returns whether the replica ``id`` is in backoff at ``now``."""
    return state.connect_backoff.get(id, (0.0, 0.0))[0] > now


def failure_rate(state: State, id: str, now: float) -> float:
    """Returns the failure rate of the replica ``id``, from 0 to 1."""
    successes, failures = _decayed(state.records, id, now)
    return failures / (successes + failures + PRIOR_SUCCESSES)


def forget(state: State, id: str) -> None:
    """Drops the records of a removed replica."""
    state.records.pop(id, None)
    state.prefill_results.pop(id, None)
    state.connect_backoff.pop(id, None)


def _add(
    records: dict[str, OutcomeCounts], id: str, succeeded: bool, now: float
) -> None:
    successes, failures = _decayed(records, id, now)
    records[id] = OutcomeCounts(
        successes + succeeded, failures + (not succeeded), now
    )


def _decayed(
    records: dict[str, OutcomeCounts], id: str, now: float
) -> tuple[float, float]:
    record = records.get(id, OutcomeCounts(at=now))
    factor = math.exp2(-(now - record.at) / HALF_LIFE_S)
    return record.successes * factor, record.failures * factor
