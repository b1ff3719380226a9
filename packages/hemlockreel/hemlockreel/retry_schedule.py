"""Spreads the retries of denied requests over time.

All requests that are denied in one overload are retried. Each one is given
its own time, and the times are as far apart as the pool can serve the retries
beside its other traffic.
"""

RETRY_CAPACITY_SHARE = 0.1  # share of the capacity for retries
MIN_RETRY_S = 0.5
MAX_RETRY_S = 120.0


class RetrySchedule:
    """Hands out retry times."""

    def __init__(self):
        self._next_free_at = 0.0

    def retry_after(self, backlog_s: float, cost_s: float, now: float):
        """Returns after how many seconds a denied request should be retried.

        ``backlog_s`` is the time until the present queue has been served,
        ``cost_s`` the time that the whole pool needs for this request.
        """
        earliest = now + MIN_RETRY_S + backlog_s
        slot = max(earliest, self._next_free_at)
        slot = min(slot, now + MAX_RETRY_S)
        self._next_free_at = slot + cost_s / RETRY_CAPACITY_SHARE
        return slot - now
