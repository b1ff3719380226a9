"""The client of the platform's object API.

Nothing is retried here: whether a write may be repeated is a decision of the
core. A call whose effect is not known has the status 0. Each call opens a
connection of its own, so one that is silent for good harms one call only.
"""

import math

from hemlockreel import actions
from hemlockreel import events

from . import http_calls

NO_RESPONSE = 0  # the status of a call whose effect is not known


def call(address: str, action: actions.CallStore) -> events.StoreAnswered:
    """Calls the store at ``address`` once; blocks for ``timeout_s`` at most.

    A watch is a call whose path is ``/v1/watch``; it may take as long as the
    store was asked to hold it.
    """
    answer = http_calls.call_json(
        address,
        action.method,
        action.path,
        action.value,
        _precondition_headers(action),
        action.timeout_s,
    )
    if isinstance(answer, http_calls.CallFailed):
        return events.StoreAnswered(action.call_id, NO_RESPONSE, {})
    status, body, headers = answer
    if not isinstance(body, dict):
        # What answered was not the store, so nothing is known of a write.
        return events.StoreAnswered(action.call_id, NO_RESPONSE, {})
    retry_after_s = parse_retry_after(headers.get("Retry-After", ""))
    return events.StoreAnswered(action.call_id, status, body, retry_after_s)


def _precondition_headers(action: actions.CallStore) -> dict[str, str]:
    if action.expected == 0:
        return {"If-None-Match": "*"}
    if action.expected is not None:
        return {"If-Match": str(action.expected)}
    return {}


def parse_retry_after(text: str) -> float:
    """Returns the seconds of a ``Retry-After`` header, 0 without one.

    A date, which the header may hold too, counts as none.
    """
    try:
        found = float(text)
    except ValueError:
        return 0.0
    return found if 0.0 <= found < math.inf else 0.0
