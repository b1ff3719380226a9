"""When refused callers should come back.

All who are refused in one overload come back within a while. Each is given
its own slot, and slots are as far apart as the pool can serve them beside its
other traffic.
"""

RETRY_CAPACITY_SHARE = (
    0.1  # share of the capacity that is set aside for returns
)
MIN_RETRY_S = 0.5
MAX_RETRY_S = 120.0


class RetrySchedule:
    """Gives out times to come back."""

    def __init__(self):
        self._next_free_at = 0.0

    def retry_after(self, backlog_s: float, cost_s: float, now: float):
        """Returns after how many seconds a refused ask should come back.

        ``backlog_s`` is the time until the present queue has been served,
        ``cost_s`` the time that the pool needs for this ask alone.
        """
        earliest = now + MIN_RETRY_S + backlog_s
        slot = max(earliest, self._next_free_at)
        slot = min(slot, now + MAX_RETRY_S)
        self._next_free_at = slot + cost_s / RETRY_CAPACITY_SHARE
        return slot - now
