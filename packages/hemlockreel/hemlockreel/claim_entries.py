"""The store's entry of an idempotency key, and how operations change it.

All functions here are pure functions of the entry that the store has now. An
entry changes only along these paths::

    none -> claimed -> answered or unknown
    none or claimed -> free -> claimed

``free`` means that the claiming attempt was abandoned before any byte of the
call was sent. Only that attempt itself sets it, so that a key ``claimed`` by
one attempt is never run by another.
"""

import enum
import functools
from typing import Any
from typing import NamedTuple

import msgspec

from . import outcomes

MAX_RESPONSE_BYTES = 16384  # the body of a larger response is not stored


class State(enum.Enum):
    """The progress of a key's call."""

    CLAIMED = "claimed"
    FREE = "free"
    RESPONDED = "answered"
    UNKNOWN = "unknown"


class StoredResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A stored response; ``body`` is ``None`` if it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """The store's entry of one key.

    ``attempt`` identifies the only attempt, among those of all hosts, that
    may send the call. ``fingerprint`` identifies the call, so that reuse of
    the key for another one is detected. ``at`` is the time of the claim in
    Unix seconds.
    """

    attempt: str
    fingerprint: str
    state: State
    at: float
    response: StoredResponse | None = msgspec.field(
        default=None, name="answer"
    )


class Claim(NamedTuple):
    """The operation that claims the key of entry ``name`` for ``attempt``."""

    name: str
    attempt: str
    fingerprint: str
    at: float


class RecordOutcome(NamedTuple):
    """The operation that records the outcome of the claim of ``attempt``.

    ``state`` is any but :attr:`State.CLAIMED`.
    """

    name: str
    attempt: str
    fingerprint: str
    at: float
    state: State
    response: StoredResponse | None = None


Operation = Claim | RecordOutcome


class Result(enum.Enum):
    """The result of an operation."""

    OWNED = "owned"  # this attempt may send the call
    ABANDONED = "given_up"  # this attempt was abandoned before
    IN_PROGRESS = "in_progress"  # another attempt may be running
    ENDED = "ended"  # an earlier call has an outcome
    REUSED = "reused"  # the key was used for another call
    RECORDED = "recorded"  # the store has an outcome of this attempt
    SUPERSEDED = "superseded"  # another attempt has claimed the key since


class Transition(NamedTuple):
    """The result of an operation and the entry to write for it.

    ``entry`` is ``None`` if nothing has to be written.
    """

    result: Result
    entry: Entry | None = None


@functools.singledispatch
def apply(operation: Any, found: Entry | None) -> Transition:
    """Returns the transition of the entry ``found`` by ``operation``.

    Operations are idempotent, so a write whose response was lost may be
    retried.
    """
    raise TypeError(f"no such operation: {operation!r}")


@apply.register
def _apply_claim(operation: Claim, found: Entry | None) -> Transition:
    if found is None:
        return Transition(Result.OWNED, _claimed_entry(operation))
    if found.fingerprint != operation.fingerprint:
        return Transition(Result.REUSED)
    if found.attempt == operation.attempt:
        return Transition(_RESULTS_FOR_CLAIMANT[found.state])
    if found.state is State.FREE:
        return Transition(Result.OWNED, _claimed_entry(operation))
    if found.state is State.CLAIMED:
        return Transition(Result.IN_PROGRESS)
    return Transition(Result.ENDED)


_RESULTS_FOR_CLAIMANT = {
    State.CLAIMED: Result.OWNED,
    State.FREE: Result.ABANDONED,
    State.RESPONDED: Result.ENDED,
    State.UNKNOWN: Result.ENDED,
}


def _claimed_entry(operation: Claim) -> Entry:
    return Entry(
        operation.attempt,
        operation.fingerprint,
        State.CLAIMED,
        operation.at,
    )


@apply.register
def _apply_outcome(
    operation: RecordOutcome, found: Entry | None
) -> Transition:
    if found is not None and found.attempt != operation.attempt:
        return Transition(Result.SUPERSEDED)
    if found is not None and found.state is not State.CLAIMED:
        return Transition(Result.RECORDED)
    # If there is no entry, the write of the claim may still be in flight. The
    # entry written here makes that write fail when it arrives.
    entry = Entry(
        operation.attempt,
        operation.fingerprint,
        operation.state,
        operation.at,
        operation.response,
    )
    return Transition(Result.RECORDED, entry)


def to_stored_response(response: outcomes.Responded) -> StoredResponse:
    """Returns the response to store, without its body if that is too large."""
    if len(response.body) > MAX_RESPONSE_BYTES:
        return StoredResponse(response.status)
    return StoredResponse(response.status, response.headers, response.body)
