"""Executes the core's store calls on a stand-in in the same process.

Tests of the core use it to control the order of the calls of several daemons.
"""

import json
from urllib import parse

from hemlockreel import actions
from hemlockreel import events

from . import server
from . import store


def perform(
    stand_in: store.Store, action: actions.CallStore
) -> events.StoreResponded:
    """Returns the store's response, with status 0 if there is none."""
    split = parse.urlsplit(action.path)
    headers = {}
    if action.expected == 0:
        headers["If-None-Match"] = "*"
    elif action.expected is not None:
        headers["If-Match"] = str(action.expected)
    body = b"" if action.value is None else json.dumps(action.value).encode()
    request = server.Request(
        action.method,
        split.path,
        dict(parse.parse_qsl(split.query)),
        headers,
        body,
    )
    response = stand_in.handle(request)
    if response.drop:
        return events.StoreResponded(action.call_id, 0, {})
    retry_after_s = float(dict(response.headers).get("Retry-After", 0))
    # The round trip copies the body, as a real connection does.
    body_copy = json.loads(json.dumps(response.body))
    return events.StoreResponded(
        action.call_id, response.status, body_copy, retry_after_s
    )
