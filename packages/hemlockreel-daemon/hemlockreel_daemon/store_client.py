"""The client of the platform's object API, the store.

Calls are not retried here, because the core decides whether a write may be
repeated. A call without a response has the status 0; its effect is unknown.
Each call opens a new connection, so a hung connection affects one call only.
"""

import math

from hemlockreel import actions
from hemlockreel import events

from . import http_calls

NO_RESPONSE = 0  # the status of a call whose effect is unknown


def call(address: str, action: actions.CallStore) -> events.StoreResponded:
    """Calls the store at ``address`` once.

    Blocks until the response or the action's timeout. A watch is a call whose
    path is ``/v1/watch``; the store holds it for the time in its query.
    """
    result = http_calls.call_json(
        address,
        action.method,
        action.path,
        action.value,
        _precondition_headers(action),
        action.timeout_s,
    )
    if isinstance(result, http_calls.CallFailed):
        return events.StoreResponded(action.call_id, NO_RESPONSE, {})
    status, body, headers = result
    if not isinstance(body, dict):
        # The response is not from the store, so a write's effect is unknown.
        return events.StoreResponded(action.call_id, NO_RESPONSE, {})
    retry_after_s = parse_retry_after(headers.get("Retry-After", ""))
    return events.StoreResponded(action.call_id, status, body, retry_after_s)


def _precondition_headers(action: actions.CallStore) -> dict[str, str]:
    if action.expected == 0:
        return {"If-None-Match": "*"}
    if action.expected is not None:
        return {"If-Match": str(action.expected)}
    return {}


def parse_retry_after(text: str) -> float:
    """Returns the seconds of a ``Retry-After`` header, 0 if there are none.

    The header's date format is not supported and yields 0, too.
    """
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 <= seconds < math.inf else 0.0
