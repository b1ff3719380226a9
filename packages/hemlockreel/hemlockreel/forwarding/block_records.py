"""Keeps the blocked parts of prompts, and blocked requests, in the store.

The judges of :mod:`blocked_parts` keep them, see :mod:`region_records`.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any

from .. import actions
from .. import board as boards
from .. import events
from .. import messages
from . import blocked_parts
from . import region_records

MAX_TIMES = 1000  # that a part was blocked again; more is nonsense
KIND = "blocked-parts"


class State:
    """The record; its content are the blocked parts."""

    def __init__(self):
        self.record = region_records.Record(KIND)


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
    record = board.state(State).record
    if not record.is_due(now):
        return
    blocked = frozenset(board.state(blocked_parts.State).blocked)
    is_read = record.is_read(board)
    if is_read and record.saved == blocked:
        return
    judges = blocked_parts.judges(board)
    if board.identity.host not in judges:
        return
    if not is_read:
        yield record.read(board, now)
    elif judges[0] == board.identity.host:
        yield record.write(board, now, blocked, lambda: _encode(board, now))


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
    record = board.state(State).record
    value = record.take_response(event, board, now)
    if value is None:
        return
    found = _decode(value)
    record.saved = frozenset(each.part for each in found)
    for each in found:
        yield from blocked_parts.block(
            board, each.part, each.for_s, each.times, now, each.trial_in_s
        )


def _decode(value: dict[str, Any]) -> list[messages.BlockedPart]:
    """Returns the blocks in the object; what is no block is left out."""
    found = []
    listed = value.get("parts")
    for each in listed if isinstance(listed, list) else ():
        try:
            part = blocked_parts.Part(str(each["service"]), str(each["part"]))
            block = messages.BlockedPart(
                part,
                float(each["for_s"]),
                int(each["times"]),
                float(each.get("trial_in_s", math.inf)),
            )
        except (
            AttributeError,
            KeyError,
            OverflowError,
            TypeError,
            ValueError,
        ):
            continue
        if 0 <= block.for_s < math.inf and 0 <= block.times <= MAX_TIMES:
            found.append(block)
    return found
