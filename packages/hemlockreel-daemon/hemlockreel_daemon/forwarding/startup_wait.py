"""How long a host that has just started lets requests wait.

All hosts may start again at once, and callers still have their addresses.
Until the store has told the routes and the replicas, a host can neither carry
a request nor know that it can't be served.
"""

from collections.abc import Callable
import time

from .. import clock

# Since the start. Twelve hosts that started at once had their first lists
# after 0.8 to 1.7 s (docs/incidents/inc-4825.md); a store that has not
# answered by then is most likely away.
MAX_STARTUP_WAIT_S = 2.5
# Of the caller's time; the rest is for serving the request. Worth with other
# shares stands in docs/incidents/inc-0640.md.
MAX_DEADLINE_SHARE = 0.5
POLL_PERIOD_S = 0.02


def wait_for_first_lists(
    is_over: Callable[[], bool],
    started: float,
    arrived: float,
    deadline_s: float | None,
) -> float:
    """Waits for the first lists; returns the seconds that it took.

    ``is_over`` tells that there is nothing to wait for any more, ``started``
    is the time of the start, ``arrived`` that of the request, whose caller
    waits for ``deadline_s``.
    """
    limit = started + MAX_STARTUP_WAIT_S
    if deadline_s is not None:
        limit = min(limit, arrived + MAX_DEADLINE_SHARE * deadline_s)
    begun = clock.now()
    while not is_over() and clock.now() < limit:
        time.sleep(POLL_PERIOD_S)
    return clock.now() - begun
