"""The clock that a daemon uses for leases and deadlines."""

import time


def now() -> float:
    """Returns seconds on a clock that also runs while the host is suspended.

    The monotonic clock stops then, so a lease would seem valid for longer than
    it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
