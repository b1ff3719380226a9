"""Reads the accepted configuration from the store and keeps it up to date.

The readers, two daemons of each region (:mod:`readers`), watch the store and
merge the operators' objects into the accepted document. The other daemons
receive it through :mod:`replication` and rarely read the store themselves.
A merge is written on condition that the stored document has not changed since
it was read, so daemons and operators may write concurrently.
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

ACCEPTED_PATH = "/v1/objects/accepted/current"
LIST_ID = "configuration/list"
WATCH_ID = "configuration/watch"
WRITE_ID = "configuration/write"

WATCH_DURATION_S = 1.0  # the store ends a watch after this without a change
WATCH_TIMEOUT_S = 1.5
READER_LIST_PERIOD_S = 10.0  # readers list all objects at least this often
OTHERS_LIST_PERIOD_S = 90.0  # the other daemons list the accepted document
JITTER = 0.3  # share of these periods and of the retry delay
STALE_RETRY_S = 0.2  # after a list older than a revision already seen
MIN_RETRY_S = 0.5  # after a failed call; doubled with each further failed list
MAX_RETRY_S = 2.0
MAX_DOUBLINGS = 8  # bounds the exponent; MAX_RETRY_S caps the delay earlier
# Each reader writes a merge this much later than the reader ranked before it,
# so that normally only the first one writes.
WRITE_DELAY_PER_RANK_S = 0.3
MAX_WRITE_DELAYS = 2

DECLARED_KINDS_QUERY = ",".join(declared_objects.DECLARED_KINDS)


class State:
    """The state of the calls to the store, and the revisions read from it.

    ``seen_revision`` is the highest revision that any response contained,
    ``listed_revision`` that of the last list. ``accepted_version`` is the
    version of the accepted document in the store, 0 if there is none.
    ``differs_since`` is when the operators' objects were first found to differ
    from the accepted document. ``written_document`` is the last merge written.
    """

    def __init__(self):
        self.is_reader = False
        self.list_pending = False
        self.watch_pending = False
        self.write_pending = False
        self.failures = 0
        self.next_list = 0.0
        self.next_watch = 0.0
        self.seen_revision = 0
        self.listed_revision = 0
        self.accepted_version = 0
        self.differs_since: float | None = None
        self.written_document: documents.Document | None = None


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
    rank = _reader_rank(board, now)
    if rank is None:
        state.is_reader = False
    elif not state.is_reader:
        state.is_reader = True
        state.next_list = now
    if now >= state.next_list and not state.list_pending:
        yield _list_objects(board, rank, now)
    if rank is None or not state.listed_revision:
        return
    if now >= state.next_watch and not state.watch_pending:
        yield _watch_objects(state)


def _reader_rank(board: boards.Board, now: float) -> int | None:
    age_s = replication.document_age_s(board, configuration.DOCUMENT_NAME, now)
    return readers.reader_rank(board, configuration.DOCUMENT_NAME, age_s, now)


def _list_objects(
    board: boards.Board, rank: int | None, now: float
) -> actions.CallStore:
    """Lists the accepted document, for a reader also all declared objects."""
    state = board.state(State)
    period = OTHERS_LIST_PERIOD_S if rank is None else READER_LIST_PERIOD_S
    jitter = JITTER * (2 * board.rng.random() - 1)
    state.next_list = now + period * (1 + jitter)
    state.list_pending = True
    kinds = "accepted" if rank is None else f"{DECLARED_KINDS_QUERY},accepted"
    return actions.CallStore(
        LIST_ID, "GET", f"/v1/objects?kinds={kinds}", timeout_s=1.0
    )


def _watch_objects(state: State) -> actions.CallStore:
    state.watch_pending = True
    after = max(state.seen_revision, state.listed_revision)
    path = (
        f"/v1/watch?kinds={DECLARED_KINDS_QUERY},accepted&after={after}"
        f"&timeout={WATCH_DURATION_S:g}"
    )
    return actions.CallStore(WATCH_ID, "GET", path, timeout_s=WATCH_TIMEOUT_S)


@handle.register
def _store_responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.call_id == LIST_ID:
        state.list_pending = False
        board.state(configuration.State).store_tried = True
        yield from _list_responded(event, board, now)
    elif event.call_id == WATCH_ID:
        state.watch_pending = False
        yield from _watch_responded(event, board, now)
    elif event.call_id == WRITE_ID:
        state.write_pending = False
        yield from _write_responded(event, board, now)


def _list_responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.status != 200:
        yield actions.Count("configuration_read_failures")
        wait_s = max(_retry_delay_s(board), event.retry_after_s)
        _list_no_later_than(state, now, wait_s)
        return
    state.failures = 0
    revision = event.body["revision"]
    if revision < state.seen_revision:
        _list_no_later_than(state, now, STALE_RETRY_S)
        return
    state.seen_revision = state.listed_revision = revision
    items = event.body["items"]
    stored = documents.EMPTY
    state.accepted_version = 0
    for item in items:
        if (item["kind"], item["name"]) == ("accepted", "current"):
            state.accepted_version = item["version"]
            stored = _parse(item["value"])
    yield from _publish(board, stored, now)
    if _reader_rank(board, now) is not None:
        yield from _write_merge(board, stored, items, now)


def _retry_delay_s(board: boards.Board) -> float:
    """Returns the delay in seconds after a failed list.

    It grows exponentially and has jitter, so that not all hosts call a store
    at once when it recovers.
    """
    state = board.state(State)
    wait_s = min(MAX_RETRY_S, MIN_RETRY_S * 2**state.failures)
    state.failures = min(state.failures + 1, MAX_DOUBLINGS)
    return wait_s * (1 + JITTER * (2 * board.rng.random() - 1))


def _list_no_later_than(state: State, now: float, seconds: float) -> None:
    state.next_list = min(state.next_list, now + seconds)


def _parse(value: Any) -> documents.Document:
    """Returns the accepted document, an empty one if ``value`` is invalid."""
    try:
        return msgspec.convert(value, documents.Document)
    except msgspec.ValidationError:
        return documents.EMPTY


def _publish(
    board: boards.Board, document: documents.Document, now: float
) -> Iterable[actions.Action]:
    yield from replication.publish(
        board, configuration.DOCUMENT_NAME, document, now, confirmed_at=now
    )


def _write_merge(
    board: boards.Board,
    stored: documents.Document,
    items: list[dict[str, Any]],
    now: float,
) -> Iterable[actions.Action]:
    """Writes the merge of the operators' objects if it changes the document.

    Readers after the first wait first, and list again when the wait is over.
    """
    state = board.state(State)
    known = replication.get_document(board, configuration.DOCUMENT_NAME)
    declared = {
        acceptance.object_key(item["kind"], item["name"]): acceptance.Declared(
            item["version"], item["value"]
        )
        for item in items
        if item["kind"] in declared_objects.DECLARED_KINDS
    }
    merged = acceptance.merge(known, declared, state.listed_revision)
    # This also restores the accepted document if the store has lost it.
    if merged.version <= stored.version:
        state.differs_since = None
        return
    if state.differs_since is None:
        state.differs_since = now
    rank = _reader_rank(board, now) or 0
    due = (
        state.differs_since
        + min(rank, MAX_WRITE_DELAYS) * WRITE_DELAY_PER_RANK_S
    )
    if now < due:
        _list_no_later_than(state, now, due - now)
        return
    if state.write_pending:
        return
    state.write_pending = True
    state.written_document = merged
    yield actions.CallStore(
        WRITE_ID,
        "PUT",
        ACCEPTED_PATH,
        msgspec.to_builtins(merged),
        expected=state.accepted_version,
    )


def _watch_responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.status == 200 and not event.body["events"]:
        replication.confirm(board, configuration.DOCUMENT_NAME, now)
        next_readers = readers.successors(board, configuration.DOCUMENT_NAME)
        yield from replication.send_version(
            board, configuration.DOCUMENT_NAME, next_readers, now
        )
        return
    if event.status == 200:
        revisions = [
            item["object"]["version"] for item in event.body["events"]
        ]
        state.seen_revision = max(state.seen_revision, *revisions)
    else:
        # The connection may have died, the store may be down, or the revision
        # may be too old to watch from. A list resolves each of these.
        yield actions.Count("configuration_watch_failures")
        state.next_watch = now + MIN_RETRY_S
    if not state.list_pending:
        yield _list_objects(board, _reader_rank(board, now), now)


def _write_responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    written = state.written_document
    if event.status in (200, 201) and written is not None:
        state.accepted_version = event.body["object"]["version"]
        state.seen_revision = max(state.seen_revision, state.accepted_version)
        state.differs_since = None
        yield from _publish(board, written, now)
        return
    if event.status == 412:
        # Another daemon wrote first; the response contains its document.
        found = event.body.get("object")
        if found is not None:
            state.seen_revision = max(state.seen_revision, found["version"])
            yield from _publish(board, _parse(found["value"]), now)
        _list_no_later_than(state, now, 0.0)
        return
    yield actions.Count("configuration_write_failures")
    _list_no_later_than(state, now, max(MIN_RETRY_S, event.retry_after_s))
