"""Lets requests wait at a host that has just started.

All hosts may restart at once, while callers still use their addresses. Until
the routes and replicas are read from the store, a host can neither forward a
request nor decide that it can't be served.
"""

from collections.abc import Callable
import time

from .. import clock

# After the start. Twelve hosts that started at once had their first lists
# after 0.8 to 1.7 s (docs/incidents/inc-4825.md); a store that has not
# responded by then is most likely unavailable.
MAX_STARTUP_WAIT_S = 2.5
# Of the caller's deadline; the rest is for serving the request. Results with
# other shares are in docs/incidents/inc-0640.md.
MAX_DEADLINE_SHARE = 0.5
POLL_PERIOD_S = 0.02


def wait_for_first_lists(
    is_over: Callable[[], bool],
    started: float,
    arrived: float,
    deadline_s: float | None,
) -> float:
    """Waits until ``is_over`` returns true; returns the seconds waited.

    The wait is limited by the time since ``started``, when the host started,
    and by a share of the caller's ``deadline_s`` from ``arrived``, when the
    request was received.
    """
    limit = started + MAX_STARTUP_WAIT_S
    if deadline_s is not None:
        limit = min(limit, arrived + MAX_DEADLINE_SHARE * deadline_s)
    wait_started = clock.now()
    while not is_over() and clock.now() < limit:
        time.sleep(POLL_PERIOD_S)
    return clock.now() - wait_started
