"""The budget of retries that all hosts share, by share and without asking.

In any window a service may get only so many requests beyond the first of
each: a ratio of the callers' requests plus an allowance. Each host spends its
part of the allowance and the ratio of what itself has carried, so the sum
keeps the limits however the callers spread.
"""

import collections
from typing import NamedTuple

USED_SHARE = 0.8  # of the allowance; the rest covers a change of membership


class RetryLimits(NamedTuple):
    """The limits over all hosts, as the platform's settings give it."""

    ratio: float = 0.2
    allowance: float = 100.0
    window_s: float = 10.0


class State:
    """Times of requests and of retries, by service."""

    def __init__(self):
        self.retry_limits = RetryLimits()
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}


def record_request(state: State, service: str, now: float) -> None:
    """Notes a caller's request for ``service``."""
    _recent(state.requests, state, service, now).append(now)


def take_retry(state: State, service: str, hosts: int, now: float) -> bool:
    """Uses up one repeat; false when this host has none left.

    ``hosts`` is the number of hosts that share the allowance.
    """
    requests = _recent(state.requests, state, service, now)
    retries = _recent(state.retries, state, service, now)
    limits = state.retry_limits
    allowance = limits.allowance * USED_SHARE / max(hosts, 1)
    if len(retries) + 1 > limits.ratio * len(requests) + allowance:
        return False
    retries.append(now)
    return True


def _recent(
    times: dict[str, collections.deque[float]],
    state: State,
    service: str,
    now: float,
) -> collections.deque[float]:
    found = times.setdefault(service, collections.deque())
    while found and found[0] <= now - state.retry_limits.window_s:
        found.popleft()
    return found
