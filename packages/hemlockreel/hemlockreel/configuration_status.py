"""Reports to the store which configuration is in force in this region.

The first reader of a region writes the object ``configuration-REGION`` of the
kind ``status`` whenever its content changes.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import acceptance
from . import actions
from . import board as boards
from . import configuration
from . import events
from . import membership
from . import readers
from . import replication

CALL_ID = "configuration/status"
MIN_WRITE_INTERVAL_S = 1.0
MAX_NAMED_BEHIND = 10  # members that a status lists in ``behind``


class State:
    """The status last written and the one being written, if any."""

    def __init__(self):
        self.written: dict[str, Any] | None = None
        self.writing: dict[str, Any] | None = None
        self.next_write = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles ticks and responses of the store; ignores all others."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if now < state.next_write or state.writing is not None:
        return
    if not readers.is_first_reader(board, configuration.DOCUMENT_NAME):
        state.written = None
        return
    found = configuration.current(board)
    if found is None:
        return
    status = describe(board, found)
    if status == state.written:
        return
    state.writing = status
    state.next_write = now + MIN_WRITE_INTERVAL_S
    path = f"/v1/objects/status/configuration-{board.identity.region}"
    yield actions.CallStore(CALL_ID, "PUT", path, status)


@handle.register
def _store_responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.call_id != CALL_ID:
        return
    state = board.state(State)
    if event.status in (200, 201):
        state.written = state.writing
    else:
        # The write may have taken effect; to repeat it is harmless.
        state.next_write = now + max(MIN_WRITE_INTERVAL_S, event.retry_after_s)
    state.writing = None
    yield from ()


def describe(
    board: boards.Board, found: configuration.Configuration
) -> dict[str, Any]:
    """Returns the status object: how far the configuration has spread.

    ``in_force`` counts the members that have at least the generation of this
    daemon; ``behind`` lists up to MAX_NAMED_BEHIND of the others, each with
    its generation.
    """
    members = membership.live_members(board)
    behind = {
        member.host: member.configuration
        for member in members
        if member.configuration < found.generation
    }
    named = sorted(behind)[:MAX_NAMED_BEHIND]
    return {
        "region": board.identity.region,
        "generation": found.generation,
        "revision": acceptance.merged_revision(
            replication.get_document(board, configuration.DOCUMENT_NAME)
        ),
        "members": len(members),
        "in_force": len(members) - len(behind),
        "behind": {host: behind[host] for host in named},
        "rejected": [invalid._asdict() for invalid in found.rejected],
    }
