"""Claims: a call with an idempotency key runs at most once.

A claim is an object that is created in the platform's store before any byte
of the call is sent. Only the store decides who may send.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

import xxhash

from . import actions
from . import board as boards
from . import events
from . import outcomes

RETRY_AFTER_S = 2.0


class Claimed(NamedTuple):
    """The call may be sent now, once."""

    request_id: str


class State:
    """The claims that wait for the store, by request id."""

    def __init__(self):
        self.asked: dict[str, events.ClaimAsked] = {}


def path(organisation: str, key: str) -> str:
    """Returns the path of the claim's object in the store."""
    name = xxhash.xxh128_hexdigest(f"{organisation}\0{key}".encode())
    return f"/v1/objects/claims/{name}"


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of claims; all others yield nothing."""
    return ()


@handle.register
def _asked(
    event: events.ClaimAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    board.state(State).asked[event.request_id] = event
    value = {
        "request_id": event.request_id,
        "fingerprint": event.fingerprint,
        "state": "claimed",
    }
    yield actions.CallStore(
        f"claim/{event.request_id}",
        "PUT",
        path(event.organisation, event.key),
        value,
        expected=0,
    )


@handle.register
def _answered(
    event: events.StoreAnswered, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    kind, _, request_id = event.call_id.partition("/")
    if kind != "claim":
        return
    asked = board.state(State).asked.pop(request_id, None)
    if asked is None:
        return
    if event.status == 201:
        yield actions.Tell(request_id, Claimed(request_id))
        return
    if event.status == 412:
        yield actions.Tell(request_id, _repeat(asked, event.body["object"]))
        return
    refused = outcomes.not_run(
        outcomes.Reason.STORE_UNAVAILABLE, RETRY_AFTER_S
    )
    yield actions.Tell(request_id, refused)


def _repeat(
    asked: events.ClaimAsked, found: dict[str, Any]
) -> outcomes.Answered | outcomes.Refused:
    """Returns what a repeat of a claimed call is told."""
    value = found["value"]
    if value["fingerprint"] != asked.fingerprint:
        detail = "the key was used for another call"
        return outcomes.not_run(outcomes.Reason.KEY_REUSED, detail=detail)
    detail = "an earlier call with this key has no known outcome"
    return outcomes.unknown(outcomes.Reason.IN_PROGRESS, detail)
