"""The retry budget of a service, divided between hosts without coordination.

In any time window a service may get only a limited number of retries: a ratio
of the callers' requests plus an allowance. Each host uses an equal part of
the allowance and the ratio of the requests that it forwarded itself, so the
sum over all hosts stays within the limits however requests are distributed.
"""

import collections
from typing import NamedTuple

USED_SHARE = 0.8  # of the allowance; the rest covers membership changes


class RetryLimits(NamedTuple):
    """The limits over all hosts, from the platform's settings."""

    ratio: float = 0.2
    allowance: float = 100.0
    window_s: float = 10.0


class State:
    """The times of recent requests and retries, by service."""

    def __init__(self):
        self.retry_limits = RetryLimits()
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}


def record_request(state: State, service: str, now: float) -> None:
    """Records a caller's request for ``service``."""
    _recent(state.requests, state, service, now).append(now)


def take_retry(state: State, service: str, hosts: int, now: float) -> bool:
    """Takes one retry from the budget; false if this host has none left.

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
