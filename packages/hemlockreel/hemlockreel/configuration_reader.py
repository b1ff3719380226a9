"""Reads the accepted configuration from the store and keeps it up to date.

Two daemons of each region watch the store and merge what operators write;
the others get the outcome through :mod:`feeds` and look at the store only
now and then. The merge is written on condition that the accepted document
is still the one it started from, so operators and daemons may race.
"""

from collections.abc import Iterable
import functools
from typing import Any

import msgspec

from . import acceptance
from . import actions
from . import board as boards
from . import configuration
from . import declared_objects
from . import documents
from . import events
from . import readers
from . import replication

PATH = "/v1/objects/accepted/current"
LIST_ID = "configuration/list"
WATCH_ID = "configuration/watch"
WRITE_ID = "configuration/write"

WATCH_S = 1.0  # a watch is held for so long
WATCH_TIMEOUT_S = 1.5  # without an answer it is given up
RELIST_S = 10.0  # readers read everything at least this often
POLL_S = 90.0  # the others look at the store
JITTER = 0.3  # share of the periods above
STALE_AGAIN_S = 0.2  # after a read older than what is known
AGAIN_S = 0.5  # after an answer that failed, doubled each time
AGAIN_MOST_S = 2.0
MAX_DOUBLINGS = 8
# Each reader after the first writes this much later than the one before.
RANK_DELAY_S = 0.3
MAX_DELAYS = 2

DECLARED = ",".join(declared_objects.DECLARED_KINDS)


class State:
    """What this daemon knows of the store.

    ``seen`` is the highest revision that was heard of, ``version`` that of
    the accepted document. ``differs_since`` is when the operators' objects
    were first seen to differ from what is accepted.
    """

    def __init__(self):
        self.reader = False
        self.listing = False
        self.watching = False
        self.writing = False
        self.failures = 0
        self.next_list = 0.0
        self.next_watch = 0.0
        self.seen = 0
        self.listed = 0
        self.version = 0
        self.differs_since: float | None = None
        self.wanted: documents.Document | None = None


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the store; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    rank = _rank(board, now)
    if rank is None:
        state.reader = False
    elif not state.reader:
        state.reader = True
        state.next_list = now
    if now >= state.next_list and not state.listing:
        yield _list(board, rank, now)
    if rank is None or not state.listed:
        return
    if now >= state.next_watch and not state.watching:
        yield _watch(state)


def _rank(board: boards.Board, now: float) -> int | None:
    age_s = replication.document_age_s(board, configuration.FEED, now)
    return readers.reader_rank(board, configuration.FEED, age_s, now)


def _list(
    board: boards.Board, rank: int | None, now: float
) -> actions.CallStore:
    """Reads the accepted document, a reader also what operators wrote."""
    state = board.state(State)
    period = POLL_S if rank is None else RELIST_S
    jitter = JITTER * (2 * board.rng.random() - 1)
    state.next_list = now + period * (1 + jitter)
    state.listing = True
    kinds = "accepted" if rank is None else f"{DECLARED},accepted"
    return actions.CallStore(
        LIST_ID, "GET", f"/v1/objects?kinds={kinds}", timeout_s=1.0
    )


def _watch(state: State) -> actions.CallStore:
    state.watching = True
    after = max(state.seen, state.listed)
    path = (
        f"/v1/watch?kinds={DECLARED},accepted&after={after}"
        f"&timeout={WATCH_S:g}"
    )
    return actions.CallStore(WATCH_ID, "GET", path, timeout_s=WATCH_TIMEOUT_S)


@handle.register
def _answered(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.call_id == LIST_ID:
        state.listing = False
        board.state(configuration.State).store_tried = True
        yield from _listed(event, board, now)
    elif event.call_id == WATCH_ID:
        state.watching = False
        yield from _watched(event, board, now)
    elif event.call_id == WRITE_ID:
        state.writing = False
        yield from _written(event, board, now)


def _listed(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.status != 200:
        yield actions.Count("configuration_read_failures")
        wait_s = max(_back_off(board), event.retry_after_s)
        _list_after(state, now, wait_s)
        return
    state.failures = 0
    revision = event.body["revision"]
    if revision < state.seen:
        _list_after(state, now, STALE_AGAIN_S)
        return
    state.seen = state.listed = revision
    items = event.body["items"]
    stored = documents.EMPTY
    state.version = 0
    for item in items:
        if (item["kind"], item["name"]) == ("accepted", "current"):
            state.version = item["version"]
            stored = _parse(item["value"])
    yield from _take(board, stored, now)
    if _rank(board, now) is not None:
        yield from _merge(board, stored, items, now)


def _back_off(board: boards.Board) -> float:
    """Returns the time until the next read after one that failed.

    It doubles and is spread, so that a store that comes back is not met by
    all hosts at once.
    """
    state = board.state(State)
    wait_s = min(AGAIN_MOST_S, AGAIN_S * 2**state.failures)
    state.failures = min(state.failures + 1, MAX_DOUBLINGS)
    return wait_s * (1 + JITTER * (2 * board.rng.random() - 1))


def _list_after(state: State, now: float, seconds: float) -> None:
    state.next_list = min(state.next_list, now + seconds)


def _parse(value: Any) -> documents.Document:
    """Returns the accepted document, empty if it is none."""
    try:
        return msgspec.convert(value, documents.Document)
    except msgspec.ValidationError:
        return documents.EMPTY


def _take(
    board: boards.Board, document: documents.Document, now: float
) -> Iterable[actions.Action]:
    yield from replication.publish(
        board, configuration.FEED, document, now, confirmed_at=now
    )


def _merge(
    board: boards.Board,
    stored: documents.Document,
    items: list[dict[str, Any]],
    now: float,
) -> Iterable[actions.Action]:
    """Writes the merge of what operators declared, if it changes anything."""
    state = board.state(State)
    known = replication.get_document(board, configuration.FEED)
    declared = {
        acceptance.key_of(item["kind"], item["name"]): acceptance.Declared(
            item["version"], item["value"]
        )
        for item in items
        if item["kind"] in declared_objects.DECLARED_KINDS
    }
    merged = acceptance.merge(known, declared, state.listed)
    # A store that has lost the accepted document gets it back.
    if merged.version <= stored.version:
        state.differs_since = None
        return
    if state.differs_since is None:
        state.differs_since = now
    rank = _rank(board, now) or 0
    due = state.differs_since + min(rank, MAX_DELAYS) * RANK_DELAY_S
    if now < due:
        _list_after(state, now, due - now)
        return
    if state.writing:
        return
    state.writing = True
    state.wanted = merged
    yield actions.CallStore(
        WRITE_ID,
        "PUT",
        PATH,
        msgspec.to_builtins(merged),
        expected=state.version,
    )


def _watched(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.status == 200 and not event.body["events"]:
        replication.confirm(board, configuration.FEED, now)
        next_readers = readers.successors(board, configuration.FEED)
        yield from replication.send_version(
            board, configuration.FEED, next_readers, now
        )
        return
    if event.status == 200:
        revisions = [
            item["object"]["version"] for item in event.body["events"]
        ]
        state.seen = max(state.seen, *revisions)
    else:
        # The connection may be silent for good, the store down, or the
        # revision too old to be watched from. All are settled by a read.
        yield actions.Count("configuration_watch_failures")
        state.next_watch = now + AGAIN_S
    if not state.listing:
        yield _list(board, _rank(board, now), now)


def _written(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    wanted = state.wanted
    if event.status in (200, 201) and wanted is not None:
        state.version = event.body["object"]["version"]
        state.seen = max(state.seen, state.version)
        state.differs_since = None
        yield from _take(board, wanted, now)
        return
    if event.status == 412:
        # Another daemon was first; what it wrote is in the answer.
        found = event.body.get("object")
        if found is not None:
            state.seen = max(state.seen, found["version"])
            yield from _take(board, _parse(found["value"]), now)
        _list_after(state, now, 0.0)
        return
    yield actions.Count("configuration_write_failures")
    _list_after(state, now, max(AGAIN_S, event.retry_after_s))
