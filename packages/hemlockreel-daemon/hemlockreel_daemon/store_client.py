"""The client of the platform's object API."""

from hemlockreel import actions
from hemlockreel import events

from . import http_calls


def call(address: str, action: actions.CallStore) -> events.StoreAnswered:
    """Calls the store once; status 0 when the effect is unknown."""
    headers = {}
    if action.expected == 0:
        headers["If-None-Match"] = "*"
    elif action.expected is not None:
        headers["If-Match"] = str(action.expected)
    answer = http_calls.call_json(
        address,
        action.method,
        action.path,
        action.value,
        headers,
        action.timeout_s,
    )
    if isinstance(answer, http_calls.Failed):
        return events.StoreAnswered(action.call_id, 0, {})
    status, body, received = answer
    retry_after = float(received.get("Retry-After") or 0)
    return events.StoreAnswered(action.call_id, status, body, retry_after)
