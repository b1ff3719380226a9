"""Cancels at engines, repeated until the engine confirms."""

from collections.abc import Iterable

from . import actions
from . import board as boards
from . import events

RETRY_S = 0.25


class State:
    """The cancels that no engine has confirmed yet.

    ``pending`` maps the engine's address and the request to the time of the
    next try; ``grants`` maps each grant to what must be confirmed for it.
    """

    def __init__(self):
        self.pending: dict[tuple[str, str], float] = {}
        self.grants: dict[int, set[tuple[str, str]]] = {}


def start(
    board: boards.Board,
    address: str,
    request_id: str,
    grant_id: int,
    now: float,
) -> Iterable[actions.Action]:
    """Cancels ``request_id`` at ``address`` on behalf of ``grant_id``."""
    state = board.state(State)
    key = (address, request_id)
    state.grants.setdefault(grant_id, set()).add(key)
    if key not in state.pending:
        state.pending[key] = now + RETRY_S
        yield _call(key)


def retry(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Repeats the cancels that are due."""
    state = board.state(State)
    for key, due in state.pending.items():
        if due <= now:
            state.pending[key] = now + RETRY_S
            yield _call(key)


def confirm(board: boards.Board, event: events.EngineAnswered) -> list[int]:
    """Takes over an answer; returns the grants that hold nothing any more."""
    state = board.state(State)
    if event.status != 200 or event.body.get("held", True):
        return []
    key = (event.address, event.body["request_id"])
    state.pending.pop(key, None)
    free = []
    for grant_id, keys in list(state.grants.items()):
        keys.discard(key)
        if not keys:
            del state.grants[grant_id]
            free.append(grant_id)
    return free


def _call(key: tuple[str, str]) -> actions.CallEngine:
    address, request_id = key
    body = {"request_id": request_id}
    return actions.CallEngine("cancel", address, "cancel", body)
