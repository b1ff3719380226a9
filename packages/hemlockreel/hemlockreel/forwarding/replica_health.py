"""How well each replica has answered lately, as one host has seen it.

A replica whose health check passes may still fail part of its requests. Its
rate of failures is compared with that of the best replica of the service, so
that failures which all of them share, such as wrong requests, count for
nobody.
"""

import math
from typing import NamedTuple

HALF_LIFE_S = 3.0  # after this time an outcome counts half
PRIOR_SUCCESSES = 4.0  # good outcomes that every replica starts with
FAILURE_RATE_TOLERANCE = (
    0.15  # a rate of failures so much above the best is normal
)
CONNECT_BACKOFF_S = (
    0.7  # how long a replica is passed over after a failed connect
)
MAX_CONNECT_BACKOFF_S = 3.0
# A prompt whose result lapsed was read in vain, so a single one is enough to
# pass over its replica, for the time in which it decays to this share.
PRIOR_PREFILL_RESULTS = 1.0
MAX_LOST_RESULT_RATE = 0.4


class OutcomeCounts(NamedTuple):
    """Weighted counts of outcomes at ``at``; see :func:`note`."""

    successes: float = 0.0
    failures: float = 0.0
    at: float = 0.0


class State:
    """The records by replica id.

    ``unreached`` maps a replica to the time up to which it is passed over,
    and the length of that pause. ``handles`` are records of prefill results.
    """

    def __init__(self):
        self.records: dict[str, OutcomeCounts] = {}
        self.prefill_results: dict[str, OutcomeCounts] = {}
        self.connect_backoff: dict[str, tuple[float, float]] = {}


def record_outcome(state: State, id: str, good: bool, now: float) -> None:
    """Notes one outcome of the replica ``id``."""
    _add(state.records, id, good, now)
    if good:
        state.connect_backoff.pop(id, None)


def record_prefill_result(
    state: State, id: str, good: bool, now: float
) -> None:
    """Notes whether a result of the prefill replica ``id`` could be used."""
    _add(state.prefill_results, id, good, now)


def loses_prefill_results(state: State, id: str, now: float) -> bool:
    """Returns whether results of the replica ``id`` lapse before their use."""
    good, bad = _decayed(state.prefill_results, id, now)
    return bad / (good + bad + PRIOR_PREFILL_RESULTS) > MAX_LOST_RESULT_RATE


def record_connect_failure(state: State, id: str, now: float) -> None:
    """Notes that no connection to the replica ``id`` came about."""
    _, pause = state.connect_backoff.get(id, (0.0, CONNECT_BACKOFF_S / 2))
    pause = min(2 * pause, MAX_CONNECT_BACKOFF_S)
    state.connect_backoff[id] = (now + pause, pause)


def is_in_connect_backoff(state: State, id: str, now: float) -> bool:
    """Returns whether the replica ``id`` is passed over for now."""
    return state.connect_backoff.get(id, (0.0, 0.0))[0] > now


def failure_rate(state: State, id: str, now: float) -> float:
    """Returns the share of failures of the replica ``id``, 0 to 1."""
    good, bad = _decayed(state.records, id, now)
    return bad / (good + bad + PRIOR_SUCCESSES)


def forget(state: State, id: str) -> None:
    """Forgets a replica that has gone."""
    state.records.pop(id, None)
    state.prefill_results.pop(id, None)
    state.connect_backoff.pop(id, None)


def _add(
    records: dict[str, OutcomeCounts], id: str, good: bool, now: float
) -> None:
    good_sum, bad_sum = _decayed(records, id, now)
    records[id] = OutcomeCounts(good_sum + good, bad_sum + (not good), now)


def _decayed(
    records: dict[str, OutcomeCounts], id: str, now: float
) -> tuple[float, float]:
    record = records.get(id, OutcomeCounts(at=now))
    factor = math.exp2(-(now - record.at) / HALF_LIFE_S)
    return record.successes * factor, record.failures * factor
