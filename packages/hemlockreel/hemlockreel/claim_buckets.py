"""Objects in the store that hold the claims of many keys each.

A key belongs to one bucket, by its hash. A bucket is read, changed and
written back on condition that nobody else wrote it in between. Operations on
a bucket that come while a call is in flight wait and go together in the next
write (group commit). Old claims are dropped whenever their bucket is
written, so no one has to look for them.
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
AGAIN_AFTER_S = 0.1  # until the next try of a call without an answer
KEPT_BUCKETS = 256  # whose content is remembered between operations
MAX_BUCKET_BYTES = 900_000  # the store takes 1 MiB with all escapes
UNAVAILABLE = (429, 503)  # the store says that it did nothing
# After so many calls in a row without an answer only one call at a time is
# made, and all else is refused at once.
SILENT_AFTER = 3
SILENT_RETRY_S = 2.0


class Settings(NamedTuple):
    """How claims are kept.

    There are ``1 << bits`` buckets. A key is remembered for ``retention_s``
    seconds. ``commit_every_s`` is the shortest time between two writes of a
    bucket; it makes batches larger and answers later.
    """

    bits: int = 16
    retention_s: float = 86400.0
    commit_every_s: float = 0.0


class Failed(NamedTuple):
    """The store did not confirm an operation.

    ``sent`` says that it may have taken effect, or may still do so.
    """

    sent: bool
    retry_after_s: float = 0.0


class Finished(NamedTuple):
    """An operation with its result and the entry that is now known."""

    operation: claim_entries.Operation
    result: claim_entries.Result | Failed
    entry: claim_entries.Entry | None = None


class _Pending:
    """An operation that waits for the store until ``deadline``."""

    def __init__(self, operation: claim_entries.Operation, deadline: float):
        self.operation = operation
        self.deadline = deadline
        self.sent = False


class _Flight(NamedTuple):
    """A call to the store; ``covered`` goes with a write of ``entries``."""

    call_id: str
    covered: tuple[_Pending, ...] = ()
    entries: dict[str, claim_entries.Entry] | None = None


class Bucket:
    """What is known of one bucket; ``version`` is ``None`` if nothing is."""

    def __init__(self, name: str):
        self.name = name
        self.version: int | None = None
        self.entries: dict[str, claim_entries.Entry] = {}
        self.queue: list[_Pending] = []
        self.flight: _Flight | None = None
        self.not_before = 0.0


class State:
    """The buckets in use, the one used last at the end."""

    def __init__(self):
        self.settings = Settings()
        self.buckets: dict[str, Bucket] = {}
        self.serial = itertools.count(1)
        self.unix_s = 0.0
        self.unanswered = 0


def _is_silent(state: State) -> bool:
    """Returns whether the store is silent and a call is probing it."""
    if state.unanswered < SILENT_AFTER:
        return False
    return any(bucket.flight for bucket in state.buckets.values())


def name_of(organisation: str, key: str) -> str:
    """Returns the name under which the key of an organisation is kept."""
    return xxhash.xxh128_hexdigest(f"{organisation}\0{key}".encode())


def submit(
    board: boards.Board,
    operation: claim_entries.Operation,
    deadline: float,
    now: float,
) -> Iterable[actions.Action | Finished]:
    """Starts ``operation``; it ends by a :class:`Finished` sooner or later.

    The deadline may pass with the operation under way.
    """
    state = board.state(State)
    if _is_silent(state):
        yield Finished(operation, Failed(False, SILENT_RETRY_S))
        return
    number = int(operation.name[:8], 16) >> (32 - state.settings.bits)
    name = f"b{number:08x}"
    bucket = state.buckets.pop(name, None) or Bucket(name)
    state.buckets[name] = bucket
    bucket.queue.append(_Pending(operation, deadline))
    yield from _start(state, bucket, False, now)
    _forget(state)


def withdraw(board: boards.Board, operation: claim_entries.Operation) -> bool:
    """Takes ``operation`` back; returns whether it may have been sent."""
    for bucket in board.state(State).buckets.values():
        for pending in bucket.queue:
            if pending.operation == operation:
                bucket.queue.remove(pending)
                return _may_be_sent(bucket, pending)
    return False


def tick(
    board: boards.Board, unix_s: float, now: float
) -> Iterable[actions.Action | Finished]:
    """Ends operations that are late and starts calls that were put off."""
    state = board.state(State)
    state.unix_s = unix_s
    for bucket in list(state.buckets.values()):
        for pending in list(bucket.queue):
            if pending.deadline <= now:
                bucket.queue.remove(pending)
                failed = Failed(_may_be_sent(bucket, pending))
                yield Finished(pending.operation, failed)
        yield from _start(state, bucket, False, now)


def answered(
    board: boards.Board, event: events.StoreResponded, now: float
) -> Iterable[actions.Action | Finished]:
    """Takes over the store's answer about a bucket."""
    state = board.state(State)
    bucket = state.buckets.get(event.call_id.split("/")[1])
    if bucket is None or bucket.flight is None:
        return
    flight = bucket.flight
    if flight.call_id != event.call_id:
        return
    bucket.flight = None
    unknown = _is_unknown(event)
    state.unanswered = state.unanswered + 1 if unknown else 0
    if unknown:
        for pending in flight.covered:
            pending.sent = True
        bucket.not_before = now + AGAIN_AFTER_S
    elif event.status in (200, 201) and flight.entries is not None:
        yield from _written(state, bucket, flight, event, now)
    elif event.status in (200, 404, 412):
        yield from _loaded(state, bucket, event, now)
    else:
        yield from _fail(bucket, event.retry_after_s)


def _is_unknown(event: events.StoreResponded) -> bool:
    """Returns whether a write may or may not have taken effect."""
    if event.status in (200, 201):
        return not isinstance(event.body.get("object"), dict)
    rejected = 400 <= event.status < 500 or event.status in UNAVAILABLE
    return not rejected


def _written(
    state: State,
    bucket: Bucket,
    flight: _Flight,
    event: events.StoreResponded,
    now: float,
) -> Iterable[actions.Action | Finished]:
    bucket.version = event.body["object"]["version"]
    bucket.entries = flight.entries or {}
    for pending in flight.covered:
        if pending in bucket.queue:
            bucket.queue.remove(pending)
            yield _finish(bucket, pending.operation)
    yield from _start(state, bucket, True, now)


def _loaded(
    state: State, bucket: Bucket, event: events.StoreResponded, now: float
) -> Iterable[actions.Action | Finished]:
    found = event.body.get("object")
    if found is None:
        bucket.version = 0
        bucket.entries = {}
    else:
        entries = _parse(found["value"])
        if entries is None:
            # Somebody else wrote it; what it held must not be overwritten.
            yield from _fail(bucket, 0.0)
            return
        bucket.version = found["version"]
        bucket.entries = entries
    yield from _start(state, bucket, True, now)


def _parse(value: Any) -> dict[str, claim_entries.Entry] | None:
    try:
        return msgspec.convert(value["claims"], dict[str, claim_entries.Entry])
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


def _fail(bucket: Bucket, retry_after_s: float) -> Iterable[Finished]:
    """Ends all operations that wait: the store takes nothing now."""
    failed = bucket.queue
    bucket.queue = []
    for pending in failed:
        result = Failed(pending.sent, retry_after_s)
        yield Finished(pending.operation, result)


def _finish(bucket: Bucket, operation: claim_entries.Operation) -> Finished:
    entry = bucket.entries.get(operation.name)
    return Finished(
        operation, claim_entries.apply(operation, entry).result, entry
    )


def _may_be_sent(bucket: Bucket, pending: _Pending) -> bool:
    flight = bucket.flight
    return pending.sent or (flight is not None and pending in flight.covered)


def _start(
    state: State, bucket: Bucket, fresh: bool, now: float
) -> Iterable[actions.Action | Finished]:
    """Reads or writes the bucket if anything waits and no call is under way.

    ``fresh`` says that the store has just told the content. Only then may an
    operation end that has nothing to write.
    """
    if bucket.flight is not None or not bucket.queue or _is_silent(state):
        return
    if bucket.version is None:
        yield _read(state, bucket)
        return
    entries = dict(bucket.entries)
    covered = []
    for pending in list(bucket.queue):
        operation = pending.operation
        found = entries.get(operation.name)
        step = claim_entries.apply(operation, found)
        if step.entry is not None:
            entries[operation.name] = step.entry
            covered.append(pending)
        elif fresh and found is bucket.entries.get(operation.name):
            bucket.queue.remove(pending)
            yield _finish(bucket, operation)
    if covered and now >= bucket.not_before:
        yield _write(state, bucket, covered, entries, now)
    elif bucket.queue and not covered:
        yield _read(state, bucket)


def _read(state: State, bucket: Bucket) -> actions.CallStore:
    call_id = f"claims/{bucket.name}/{next(state.serial)}"
    bucket.flight = _Flight(call_id)
    return actions.CallStore(
        call_id, "GET", _path(bucket), timeout_s=CALL_TIMEOUT_S
    )


def _write(
    state: State,
    bucket: Bucket,
    covered: list[_Pending],
    entries: dict[str, claim_entries.Entry],
    now: float,
) -> actions.CallStore:
    kept = _fit(_prune(state, entries, covered))
    call_id = f"claims/{bucket.name}/{next(state.serial)}"
    bucket.flight = _Flight(call_id, tuple(covered), kept)
    bucket.not_before = now + state.settings.commit_every_s
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


def _prune(
    state: State,
    entries: dict[str, claim_entries.Entry],
    covered: list[_Pending],
) -> dict[str, claim_entries.Entry]:
    """Returns ``entries`` without those past their retention.

    The time is the earlier one of the own clock and the newest claim by
    another attempt, so that one host whose clock is wrong drops nothing.
    An entry without a time stays.
    """
    new = {pending.operation.name for pending in covered}
    others = [entry.at for name, entry in entries.items() if name not in new]
    if not others:
        return entries
    oldest = min(state.unix_s, max(others)) - state.settings.retention_s
    return {
        name: entry
        for name, entry in entries.items()
        if name in new or not entry.at or entry.at >= oldest
    }


def _fit(
    entries: dict[str, claim_entries.Entry],
) -> dict[str, claim_entries.Entry]:
    """Returns ``entries`` without the oldest answers' bodies if too large."""
    size = len(msgspec.json.encode(entries))
    for name in sorted(entries, key=lambda name: entries[name].at):
        if size <= MAX_BUCKET_BYTES:
            break
        entry = entries[name]
        if entry.answer is None or entry.answer.body is None:
            continue
        shorter = claim_entries.Answer(entry.answer.status)
        kept = msgspec.structs.replace(entry, answer=shorter)
        entries = entries | {name: kept}
        size = len(msgspec.json.encode(entries))
    return entries


def _forget(state: State) -> None:
    """Forgets the buckets that were not used for longest."""
    idle = [
        name
        for name, bucket in state.buckets.items()
        if bucket.flight is None and not bucket.queue
    ]
    for name in idle[: max(0, len(state.buckets) - KEPT_BUCKETS)]:
        del state.buckets[name]
