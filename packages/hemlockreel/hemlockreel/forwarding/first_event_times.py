"""Divides the time until a stream's first event among the steps before it.

A request to a model waits for memory at a decode replica, then for a prefill
replica, then for its first tokens. One that is late at any of these steps
misses its objective. It is then better refused: while it waits, it holds
memory and a place in the prefill queue that make the next ones late as well,
and a queue that only late requests pass through never gets shorter. A refused
caller returns when the burst is likely over.

>>> reserve_until(arrived=10.0, objective_s=1.0)
10.65
>>> prefill_until(now=10.2, arrived=10.0, objective_s=1.0)
10.9
"""

# Shares of the latency objective, from the arrival of the request. A prefill
# without a queue and the first tokens take less than the rest.
RESERVE_SHARE = 0.65
PREFILL_SHARE = 0.9
# A prefill gets at least this share, also after a long wait for memory.
MIN_PREFILL_SHARE = 0.25


def reserve_until(arrived: float, objective_s: float) -> float:
    """Returns when to give up the wait for memory."""
    return arrived + RESERVE_SHARE * objective_s


def prefill_until(now: float, arrived: float, objective_s: float) -> float:
    """Returns when to give up the wait for a prefill that starts now."""
    return max(
        arrived + PREFILL_SHARE * objective_s,
        now + MIN_PREFILL_SHARE * objective_s,
    )
