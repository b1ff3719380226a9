"""Keeps the blocked parts of prompts in the store.

The hosts tell each other what is blocked, and a host that starts learns it
from them. The store is for the case that all of them end at once. The judges
of :mod:`blocked_parts` read one object when they start or become judges, and
the first judge rewrites it when other parts are blocked. A restored store may
have lost it, so it is read again in each era.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any

from .. import actions
from .. import board as boards
from .. import events
from .. import messages
from .. import store_era
from . import blocked_parts

KIND = "blocked-parts"
CALL_PREFIX = "blocked parts/"
# A host that has just started takes itself for a judge until it has heard of
# the others.
START_S = 0.6
RETRY_S = 1.0
CALL_TIMEOUT_S = 1.5
OK = (200, 201)
NOT_FOUND = 404


class State:
    """What is known of the object.

    ``version`` is 0 if there is none, and ``saved`` the parts in it. It was
    read in ``era``, ``None`` if it must be read. ``writing`` are the parts
    of a pending write.
    """

    def __init__(self):
        self.version = 0
        self.saved: frozenset[blocked_parts.Part] = frozenset()
        self.writing: frozenset[blocked_parts.Part] = frozenset()
        self.era: int | None = None
        self.next_call_at: float | None = None
        self.pending = ""
        self.last_call_number = 0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles responses of the store; all other events yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.next_call_at is None:
        state.next_call_at = now + START_S
    if now < state.next_call_at:
        return
    blocked = frozenset(board.state(blocked_parts.State).blocked)
    must_read = state.era is None or state.era != store_era.current(board)
    if not must_read and state.saved == blocked:
        return
    judges = blocked_parts.judges(board)
    if board.identity.host not in judges:
        return
    if must_read:
        yield _call(board, "GET", now)
    elif judges[0] == board.identity.host:
        state.writing = blocked
        yield _call(board, "PUT", now, _encode(board, now), state.version)


def _call(
    board: boards.Board,
    method: str,
    now: float,
    value: Any = None,
    expected: int | None = None,
) -> actions.CallStore:
    state = board.state(State)
    state.last_call_number += 1
    state.pending = f"{CALL_PREFIX}{method} {state.last_call_number}"
    state.next_call_at = now + CALL_TIMEOUT_S + RETRY_S
    path = f"/v1/objects/{KIND}/{board.identity.region}"
    return actions.CallStore(
        state.pending, method, path, value, expected, CALL_TIMEOUT_S
    )


def _encode(board: boards.Board, now: float) -> dict[str, Any]:
    blocked = board.state(blocked_parts.State).blocked
    return {
        "parts": [
            {
                "service": part.service,
                "part": part.id,
                "for_s": round(each.until - now, 1),
                "times": each.times,
                **_encode_trial(each, now),
            }
            for part, each in blocked.items()
        ]
    }


def _encode_trial(found: blocked_parts.Block, now: float) -> dict[str, float]:
    """Returns when a request is tried; JSON has no infinity."""
    if math.isinf(found.trial_at):
        return {}
    return {"trial_in_s": round(found.trial_at - now, 1)}


@handle.register
def _responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if not state.pending or event.call_id != state.pending:
        return
    is_write = state.pending.startswith(f"{CALL_PREFIX}PUT")
    state.pending = ""
    state.next_call_at = now + RETRY_S
    if event.status not in (*OK, NOT_FOUND):
        # A write without a response may have been made.
        state.era = None if is_write else state.era
        return
    state.era = event.era or store_era.current(board)
    if is_write:
        state.version = event.body["object"]["version"]
        state.saved = state.writing
        return
    if event.status == NOT_FOUND:
        state.version, state.saved = 0, frozenset()
        return
    state.version = event.body["object"]["version"]
    found = _decode(event.body["object"]["value"])
    state.saved = frozenset(each.part for each in found)
    for each in found:
        yield from blocked_parts.block(
            board, each.part, each.for_s, each.times, now, each.trial_in_s
        )


def _decode(value: Any) -> list[messages.BlockedPart]:
    """Returns the blocks in the object; what is no block is left out."""
    found = []
    listed = value.get("parts") if isinstance(value, dict) else None
    for each in listed if isinstance(listed, list) else ():
        try:
            part = blocked_parts.Part(str(each["service"]), str(each["part"]))
            block = messages.BlockedPart(
                part,
                float(each["for_s"]),
                int(each["times"]),
                float(each.get("trial_in_s", math.inf)),
            )
        except (KeyError, TypeError, ValueError):
            continue
        found.append(block)
    return found
