"""Cancels at engines, repeated until the engine confirms.

A cancel that was not confirmed for a while is stale: this daemon may have
been paused or cut off, and another owner may have adopted the request. It is
not repeated then; :mod:`takeover` asks the entries again first.
"""

from collections.abc import Iterable

from . import actions
from . import board as boards
from . import events
from . import host_list

RETRY_S = 0.25
MAX_RETRY_S = 1.0
TIMEOUT_S = 0.5
FRESH_S = 1.5  # no other owner takes over in a shorter time

Key = tuple[str, str]  # the address of the engine and the request


class Cancel:
    """A cancel that no engine has confirmed, and the grants behind it."""

    def __init__(self):
        self.started_at = 0.0
        self.due = 0.0
        self.wait_s = RETRY_S
        self.grants: set[int] = set()


class State:
    """The open cancels, and which of them each grant waits for.

    ``silent`` engines did not answer the last call. They get one call at a
    time, so that they do not use up the threads that the others need.
    """

    def __init__(self):
        self.pending: dict[Key, Cancel] = {}
        self.by_grant: dict[int, set[Key]] = {}
        self.silent: set[str] = set()


def start(
    board: boards.Board,
    address: str,
    request_id: str,
    grant_id: int | None,
    now: float,
) -> Iterable[actions.Action]:
    """Cancels ``request_id`` at ``address``, on behalf of a grant if any."""
    state = board.state(State)
    key = (address, request_id)
    found = state.pending.setdefault(key, Cancel())
    if grant_id is not None:
        found.grants.add(grant_id)
        state.by_grant.setdefault(grant_id, set()).add(key)
    if found.started_at + FRESH_S > now and found.due:
        return
    found.started_at = now
    found.wait_s = RETRY_S
    found.due = now + RETRY_S
    if address not in state.silent:
        yield _call(key)


def is_fresh(board: boards.Board, key: Key, now: float) -> bool:
    """Returns whether a cancel is on its way and will be repeated."""
    cancel = board.state(State).pending.get(key)
    return cancel is not None and cancel.started_at + FRESH_S > now


def stale(board: boards.Board, now: float) -> list[Key]:
    """Returns the cancels that are not repeated any more."""
    return [
        key
        for key, cancel in board.state(State).pending.items()
        if cancel.started_at + FRESH_S <= now
    ]


def is_stale(board: boards.Board, grant_id: int, now: float) -> bool:
    """Returns whether a grant waits for stale cancels only."""
    keys = board.state(State).by_grant.get(grant_id)
    return bool(keys) and not any(is_fresh(board, key, now) for key in keys)


def retry(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Repeats the cancels that are due."""
    state = board.state(State)
    called: set[str] = set()
    for key, cancel in state.pending.items():
        address = key[0]
        if cancel.due > now or cancel.started_at + FRESH_S <= now:
            continue
        if address in state.silent and address in called:
            continue
        called.add(address)
        cancel.wait_s = min(2 * cancel.wait_s, MAX_RETRY_S)
        cancel.due = now + cancel.wait_s
        yield _call(key)


def confirm(board: boards.Board, event: events.EngineResponded) -> list[int]:
    """Takes over an answer; returns the grants that hold nothing any more."""
    state = board.state(State)
    if event.status == 0:
        state.silent.add(event.address)
        return []
    if event.address in state.silent:
        state.silent.discard(event.address)
        for key, cancel in state.pending.items():
            if key[0] == event.address:
                cancel.due = 0.0
    if event.status != 200 or event.body.get("held", True):
        return []
    return close(board, (event.address, event.body["request_id"]))


def give_up(board: boards.Board) -> list[int]:
    """Closes the cancels at replicas that the platform no longer lists.

    Their memory is gone with them. Returns the grants that hold nothing.
    """
    listed = board.state(host_list.State)
    if listed.confirmed_at is None:
        return []
    free = []
    for key in list(board.state(State).pending):
        if key[0] not in listed.replicas:
            free += close(board, key)
    return free


def close(board: boards.Board, key: Key) -> list[int]:
    """Ends a cancel; returns the grants that wait for no other one."""
    state = board.state(State)
    cancel = state.pending.pop(key, None)
    free = []
    for grant_id in () if cancel is None else cancel.grants:
        keys = state.by_grant[grant_id]
        keys.discard(key)
        if not keys:
            del state.by_grant[grant_id]
            free.append(grant_id)
    return free


def _call(key: Key) -> actions.CallEngine:
    address, request_id = key
    body = {"request_id": request_id}
    return actions.CallEngine(
        "cancel", address, "cancel", body, timeout_s=TIMEOUT_S
    )
