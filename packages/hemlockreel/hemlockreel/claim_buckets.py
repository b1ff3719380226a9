"""Buckets: objects in the store that each hold the claims of many keys.

The hash of a key decides on its bucket. A bucket is read, changed and written
back by compare-and-swap on its version. Operations that arrive while a call
for their bucket is in flight are batched in the next write (group commit).
Each write of a bucket drops its expired claims, so that no separate clean-up
is needed.
"""

from collections.abc import Iterable
import itertools
from typing import Any
from typing import NamedTuple

import msgspec
import xxhash

from . import actions
from . import board as boards
from . import claim_entries
from . import events

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1  # before the next call if one got no response
MAX_CACHED_BUCKETS = 256  # with their content, between operations
# The store accepts objects of 1 MiB, counted after JSON escaping.
MAX_BUCKET_BYTES = 900_000
UNAVAILABLE_STATUSES = (429, 503)  # the store has not executed the call
# After this many calls in a row without a response, one call at a time probes
# the store, and operations that arrive meanwhile fail at once.
MAX_UNANSWERED_CALLS = 3
UNRESPONSIVE_RETRY_S = 2.0


class Settings(NamedTuple):
    """How claims are stored.

    There are ``1 << bucket_bits`` buckets. A key is kept for ``retention_s``
    seconds. ``min_write_interval_s`` is the shortest time between two writes
    of a bucket; a longer one makes batches larger and claims slower.
    """

    bucket_bits: int = 16
    retention_s: float = 86400.0
    min_write_interval_s: float = 0.0


class Failed(NamedTuple):
    """The result of an operation that the store has not confirmed.

    If ``sent`` is true, it may have taken effect, or may still do so.
    """

    sent: bool
    retry_after_s: float = 0.0


class Finished(NamedTuple):
    """A finished operation with its result and the bucket's entry, if any."""

    operation: claim_entries.Operation
    result: claim_entries.Result | Failed
    entry: claim_entries.Entry | None = None


class _Pending:
    """An operation that waits for the store until ``deadline``.

    ``sent`` is true once a write with it has got no clear response.
    """

    def __init__(self, operation: claim_entries.Operation, deadline: float):
        self.operation = operation
        self.deadline = deadline
        self.sent = False


class _StoreCall(NamedTuple):
    """A call to the store.

    For a write, ``entries`` is the new content of the bucket and ``included``
    are the operations that it completes. ``entries`` is ``None`` for a read.
    """

    call_id: str
    included: tuple[_Pending, ...] = ()
    entries: dict[str, claim_entries.Entry] | None = None


class Bucket:
    """The cached content of a bucket and its queue of operations.

    ``version`` is ``None`` if the content is unknown and 0 if the bucket is
    not in the store yet. ``call`` is the call in flight.
    """

    def __init__(self, name: str):
        self.name = name
        self.version: int | None = None
        self.entries: dict[str, claim_entries.Entry] = {}
        self.queue: list[_Pending] = []
        self.call: _StoreCall | None = None
        self.next_call_at = 0.0
        self.next_write_at = 0.0


class State:
    """The cached buckets, with the most recently used one last."""

    def __init__(self):
        self.settings = Settings()
        self.buckets: dict[str, Bucket] = {}
        self.serial = itertools.count(1)
        self.unix_s = 0.0
        self.unanswered_calls = 0


def _is_store_unresponsive(state: State) -> bool:
    """Returns whether the store is unresponsive and being probed by a call."""
    if state.unanswered_calls < MAX_UNANSWERED_CALLS:
        return False
    return any(bucket.call for bucket in state.buckets.values())


def entry_name(organisation: str, key: str) -> str:
    """Returns the name of the entry for an organisation's key."""
    return xxhash.xxh128_hexdigest(f"{organisation}\0{key}".encode())


def submit(
    board: boards.Board,
    operation: claim_entries.Operation,
    deadline: float,
    now: float,
) -> Iterable[actions.Action | Finished]:
    """Queues ``operation`` and starts a call if none is in flight.

    A :class:`Finished` is yielded for it, here or by a later call of
    :func:`handle_response` or :func:`tick`. At the deadline it fails even if
    a write with it is in flight.
    """
    state = board.state(State)
    if _is_store_unresponsive(state):
        yield Finished(operation, Failed(False, UNRESPONSIVE_RETRY_S))
        return
    number = int(operation.name[:8], 16) >> (32 - state.settings.bucket_bits)
    name = f"b{number:08x}"
    bucket = state.buckets.pop(name, None) or Bucket(name)
    state.buckets[name] = bucket
    bucket.queue.append(_Pending(operation, deadline))
    yield from _start_call(state, bucket, False, now)
    _evict_idle_buckets(state)


def withdraw(board: boards.Board, operation: claim_entries.Operation) -> bool:
    """Removes ``operation`` from its queue.

    Returns whether it may have been sent to the store.
    """
    for bucket in board.state(State).buckets.values():
        for pending in bucket.queue:
            if pending.operation == operation:
                bucket.queue.remove(pending)
                return _may_have_been_sent(bucket, pending)
    return False


def tick(
    board: boards.Board, unix_s: float, now: float
) -> Iterable[actions.Action | Finished]:
    """Fails operations past their deadline and starts postponed calls."""
    state = board.state(State)
    state.unix_s = unix_s
    for bucket in list(state.buckets.values()):
        for pending in list(bucket.queue):
            if pending.deadline <= now:
                bucket.queue.remove(pending)
                failed = Failed(_may_have_been_sent(bucket, pending))
                yield Finished(pending.operation, failed)
        yield from _start_call(state, bucket, False, now)


def handle_response(
    board: boards.Board, event: events.StoreResponded, now: float
) -> Iterable[actions.Action | Finished]:
    """Handles the store's response to a call for a bucket.

    Responses to any other call than the one in flight are ignored.
    """
    state = board.state(State)
    bucket = state.buckets.get(event.call_id.split("/")[1])
    if bucket is None or bucket.call is None:
        return
    call = bucket.call
    if call.call_id != event.call_id:
        return
    bucket.call = None
    unknown = _is_effect_unknown(event)
    state.unanswered_calls = state.unanswered_calls + 1 if unknown else 0
    if unknown:
        for pending in call.included:
            pending.sent = True
        bucket.next_call_at = now + RETRY_DELAY_S
    elif event.status in (200, 201) and call.entries is not None:
        yield from _write_succeeded(state, bucket, call, event, now)
    elif event.status in (200, 404, 412):
        yield from _content_loaded(state, bucket, event, now)
    else:
        yield from _fail_all(bucket, event.retry_after_s)


def _is_effect_unknown(event: events.StoreResponded) -> bool:
    """Returns whether a response leaves open if a write has taken effect."""
    if event.status in (200, 201):
        return not isinstance(event.body.get("object"), dict)
    rejected = (
        400 <= event.status < 500 or event.status in UNAVAILABLE_STATUSES
    )
    return not rejected


def _write_succeeded(
    state: State,
    bucket: Bucket,
    call: _StoreCall,
    event: events.StoreResponded,
    now: float,
) -> Iterable[actions.Action | Finished]:
    bucket.version = event.body["object"]["version"]
    bucket.entries = call.entries or {}
    for pending in call.included:
        if pending in bucket.queue:
            bucket.queue.remove(pending)
            yield _finished(bucket, pending.operation)
    yield from _start_call(state, bucket, True, now)


def _content_loaded(
    state: State, bucket: Bucket, event: events.StoreResponded, now: float
) -> Iterable[actions.Action | Finished]:
    found = event.body.get("object")
    if found is None:
        bucket.version = 0
        bucket.entries = {}
    else:
        entries = _parse(found["value"])
        if entries is None:
            # The content is no valid bucket, so another program has written
            # it. It must not be overwritten.
            yield from _fail_all(bucket, 0.0)
            return
        bucket.version = found["version"]
        bucket.entries = entries
    yield from _start_call(state, bucket, True, now)


def _parse(value: Any) -> dict[str, claim_entries.Entry] | None:
    try:
        return msgspec.convert(value["claims"], dict[str, claim_entries.Entry])
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


def _fail_all(bucket: Bucket, retry_after_s: float) -> Iterable[Finished]:
    """Fails all queued operations, since the store has rejected a call."""
    failed = bucket.queue
    bucket.queue = []
    for pending in failed:
        result = Failed(pending.sent, retry_after_s)
        yield Finished(pending.operation, result)


def _finished(bucket: Bucket, operation: claim_entries.Operation) -> Finished:
    entry = bucket.entries.get(operation.name)
    return Finished(
        operation, claim_entries.apply(operation, entry).result, entry
    )


def _may_have_been_sent(bucket: Bucket, pending: _Pending) -> bool:
    call = bucket.call
    return pending.sent or (call is not None and pending in call.included)


def _start_call(
    state: State, bucket: Bucket, is_current: bool, now: float
) -> Iterable[actions.Action | Finished]:
    """Reads or writes the bucket if operations wait and no call is in flight.

    ``is_current`` is true if the store has just confirmed the content. Only
    then can an operation finish without a write; else the bucket is read
    first, as the cached content may be out of date.
    """
    if (
        bucket.call is not None
        or not bucket.queue
        or now < bucket.next_call_at
        or _is_store_unresponsive(state)
    ):
        return
    if bucket.version is None:
        yield _read(state, bucket)
        return
    entries = dict(bucket.entries)
    included = []
    for pending in list(bucket.queue):
        operation = pending.operation
        found = entries.get(operation.name)
        transition = claim_entries.apply(operation, found)
        if transition.entry is not None:
            entries[operation.name] = transition.entry
            included.append(pending)
        elif is_current and found is bucket.entries.get(operation.name):
            bucket.queue.remove(pending)
            yield _finished(bucket, operation)
    if included and now >= bucket.next_write_at:
        yield _write(state, bucket, included, entries, now)
    elif bucket.queue and not included:
        yield _read(state, bucket)


def _read(state: State, bucket: Bucket) -> actions.CallStore:
    call_id = f"claims/{bucket.name}/{next(state.serial)}"
    bucket.call = _StoreCall(call_id)
    return actions.CallStore(
        call_id, "GET", _path(bucket), timeout_s=CALL_TIMEOUT_S
    )


def _write(
    state: State,
    bucket: Bucket,
    included: list[_Pending],
    entries: dict[str, claim_entries.Entry],
    now: float,
) -> actions.CallStore:
    kept = _drop_bodies_to_fit(_drop_expired(state, entries, included))
    call_id = f"claims/{bucket.name}/{next(state.serial)}"
    bucket.call = _StoreCall(call_id, tuple(included), kept)
    bucket.next_write_at = now + state.settings.min_write_interval_s
    return actions.CallStore(
        call_id,
        "PUT",
        _path(bucket),
        {"claims": msgspec.to_builtins(kept)},
        expected=bucket.version,
        timeout_s=CALL_TIMEOUT_S,
    )


def _path(bucket: Bucket) -> str:
    return f"/v1/objects/claims/{bucket.name}"


def _drop_expired(
    state: State,
    entries: dict[str, claim_entries.Entry],
    included: list[_Pending],
) -> dict[str, claim_entries.Entry]:
    """Returns ``entries`` without those past their retention.

    The age is measured from this host's clock or from the newest claim of
    another attempt, whichever is earlier, so that a host with a wrong clock
    drops nothing. An entry without a time is kept.
    """
    new = {pending.operation.name for pending in included}
    others = [entry.at for name, entry in entries.items() if name not in new]
    if not others:
        return entries
    oldest = min(state.unix_s, max(others)) - state.settings.retention_s
    return {
        name: entry
        for name, entry in entries.items()
        if name in new or not entry.at or entry.at >= oldest
    }


def _drop_bodies_to_fit(
    entries: dict[str, claim_entries.Entry],
) -> dict[str, claim_entries.Entry]:
    """Returns ``entries`` with the oldest response bodies dropped to fit."""
    size = len(msgspec.json.encode(entries))
    for name in sorted(entries, key=lambda name: entries[name].at):
        if size <= MAX_BUCKET_BYTES:
            break
        entry = entries[name]
        if entry.response is None or entry.response.body is None:
            continue
        shorter = claim_entries.StoredResponse(entry.response.status)
        kept = msgspec.structs.replace(entry, response=shorter)
        entries = entries | {name: kept}
        size = len(msgspec.json.encode(entries))
    return entries


def _evict_idle_buckets(state: State) -> None:
    """Evicts the least recently used idle buckets from the cache."""
    idle = [
        name
        for name, bucket in state.buckets.items()
        if bucket.call is None and not bucket.queue
    ]
    for name in idle[: max(0, len(state.buckets) - MAX_CACHED_BUCKETS)]:
        del state.buckets[name]
