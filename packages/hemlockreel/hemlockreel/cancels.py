"""Cancels requests at engines and retries until the engine confirms.

A cancel that is not confirmed within :data:`RETRY_FOR_S` is stale: this
daemon may have been paused or isolated, and another owner may have adopted
the request. A stale cancel is not retried; :mod:`takeover` first queries the
entries again.
"""

from collections.abc import Iterable

from . import actions
from . import board as boards
from . import events
from . import host_list

MIN_RETRY_S = 0.25
MAX_RETRY_S = 1.0
TIMEOUT_S = 0.5
RETRY_FOR_S = 1.5  # another owner takes longer than this to take over

CancelKey = tuple[str, str]  # the engine's address and the request id


class Cancel:
    """A cancel that is not confirmed yet, and the grants that wait for it."""

    def __init__(self):
        self.started_at = 0.0
        self.retry_at = 0.0
        self.wait_s = MIN_RETRY_S
        self.grants: set[int] = set()


class State:
    """The open cancels, and the keys of those that each grant waits for.

    ``unresponsive`` are the engines that did not respond to the last call.
    They get one call at a time, so that calls to them don't use up the
    threads that calls to the other engines need.
    """

    def __init__(self):
        self.pending: dict[CancelKey, Cancel] = {}
        self.keys_by_grant: dict[int, set[CancelKey]] = {}
        self.unresponsive: set[str] = set()


def start(
    board: boards.Board,
    address: str,
    request_id: str,
    grant_id: int | None,
    now: float,
) -> Iterable[actions.Action]:
    """Cancels a request at the engine ``address``.

    A grant is freed once all cancels that were started for it are confirmed.
    ``grant_id`` is ``None`` for a request without a grant.
    """
    state = board.state(State)
    key = (address, request_id)
    cancel = state.pending.setdefault(key, Cancel())
    if grant_id is not None:
        cancel.grants.add(grant_id)
        state.keys_by_grant.setdefault(grant_id, set()).add(key)
    if cancel.started_at + RETRY_FOR_S > now and cancel.retry_at:
        return
    cancel.started_at = now
    cancel.wait_s = MIN_RETRY_S
    cancel.retry_at = now + MIN_RETRY_S
    if address not in state.unresponsive:
        yield _call_engine(key)


def is_active(board: boards.Board, key: CancelKey, now: float) -> bool:
    """Returns whether there is a cancel that is not stale."""
    cancel = board.state(State).pending.get(key)
    return cancel is not None and cancel.started_at + RETRY_FOR_S > now


def stale_keys(board: boards.Board, now: float) -> list[CancelKey]:
    """Returns the keys of the stale cancels."""
    return [
        key
        for key, cancel in board.state(State).pending.items()
        if cancel.started_at + RETRY_FOR_S <= now
    ]


def has_only_stale_cancels(
    board: boards.Board, grant_id: int, now: float
) -> bool:
    """Returns whether a grant waits for cancels and all of them are stale."""
    keys = board.state(State).keys_by_grant.get(grant_id)
    return bool(keys) and not any(is_active(board, key, now) for key in keys)


def retry_due(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Sends the cancels again that are due, except stale ones."""
    state = board.state(State)
    called: set[str] = set()
    for key, cancel in state.pending.items():
        address = key[0]
        if cancel.retry_at > now or cancel.started_at + RETRY_FOR_S <= now:
            continue
        if address in state.unresponsive and address in called:
            continue
        called.add(address)
        cancel.wait_s = min(2 * cancel.wait_s, MAX_RETRY_S)
        cancel.retry_at = now + cancel.wait_s
        yield _call_engine(key)


def handle_response(
    board: boards.Board, event: events.EngineResponded
) -> list[int]:
    """Handles an engine's response to a cancel.

    Returns the grants whose last cancel it confirms. If an unresponsive
    engine responds, all cancels to it become due at once.
    """
    state = board.state(State)
    if event.status == 0:
        state.unresponsive.add(event.address)
        return []
    if event.address in state.unresponsive:
        state.unresponsive.discard(event.address)
        for key, cancel in state.pending.items():
            if key[0] == event.address:
                cancel.retry_at = 0.0
    if event.status != 200 or event.body.get("held", True):
        return []
    return close(board, (event.address, event.body["request_id"]))


def close_unlisted(board: boards.Board) -> list[int]:
    """Closes the cancels at replicas that the platform no longer lists.

    Their memory is gone with them. Returns the grants that wait for no other
    cancel.
    """
    listed = board.state(host_list.State)
    if listed.confirmed_at is None:
        return []
    free = []
    for key in list(board.state(State).pending):
        if key[0] not in listed.replicas:
            free += close(board, key)
    return free


def close(board: boards.Board, key: CancelKey) -> list[int]:
    """Removes a cancel; returns the grants that wait for no other one."""
    state = board.state(State)
    cancel = state.pending.pop(key, None)
    free = []
    for grant_id in () if cancel is None else cancel.grants:
        keys = state.keys_by_grant[grant_id]
        keys.discard(key)
        if not keys:
            del state.keys_by_grant[grant_id]
            free.append(grant_id)
    return free


def _call_engine(key: CancelKey) -> actions.CallEngine:
    address, request_id = key
    body = {"request_id": request_id}
    return actions.CallEngine(
        "cancel", address, "cancel", body, timeout_s=TIMEOUT_S
    )
