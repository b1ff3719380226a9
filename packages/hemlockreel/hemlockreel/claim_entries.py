"""What the store holds about an idempotency key, and how it may change.

Everything here is a function of the entry that the store has now. The entry
moves only along these paths::

    none -> claimed -> answered or unknown
    none or claimed -> free -> claimed

``free`` says that the attempt which held the key was given up before any
byte of the call was sent. Only that attempt itself writes it, so an entry
that is ``claimed`` by another attempt is never run by anyone else.
"""

import enum
import functools
from typing import Any
from typing import NamedTuple

import msgspec

from . import outcomes

MAX_RESPONSE_BYTES = 16384  # a larger answer is not kept for repeats


class State(enum.Enum):
    """How far the call of a key has come."""

    CLAIMED = "claimed"
    FREE = "free"
    RESPONDED = "answered"
    UNKNOWN = "unknown"


class StoredResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A recorded answer; ``body`` is ``None`` when it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One key; ``at`` is the time of the claim in Unix seconds.

    ``attempt`` names the one attempt, among all of all hosts, that may send.
    """

    attempt: str
    fingerprint: str
    state: State
    at: float
    response: StoredResponse | None = msgspec.field(
        default=None, name="answer"
    )


class Claim(NamedTuple):
    """Claims the key ``name`` for ``attempt``."""

    name: str
    attempt: str
    fingerprint: str
    at: float


class RecordOutcome(NamedTuple):
    """Ends the claim of ``attempt`` with ``state``."""

    name: str
    attempt: str
    fingerprint: str
    at: float
    state: State
    response: StoredResponse | None = None


Operation = Claim | RecordOutcome


class Result(enum.Enum):
    """What became of an operation."""

    OWNED = "owned"  # this attempt may send
    ABANDONED = "given_up"  # this attempt was given up before
    IN_PROGRESS = "in_progress"  # another attempt may be sending
    ENDED = "ended"  # an earlier call has an outcome
    REUSED = "reused"  # the key stands for another call
    RECORDED = "recorded"  # the end of a claim is in the store
    SUPERSEDED = "superseded"  # the key is another attempt's by now


class Transition(NamedTuple):
    """The result of an operation and the entry to write for it.

    Without ``entry`` nothing has to be written.
    """

    result: Result
    entry: Entry | None = None


@functools.singledispatch
def apply(operation: Any, found: Entry | None) -> Transition:
    """Returns what ``operation`` does to the entry ``found``.

    Applying an operation to its own outcome changes nothing, so a write
    whose answer was lost may be tried again.
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
    # Without an entry the claim may still be on its way to the store; the
    # entry written here keeps it from taking effect there.
    entry = Entry(
        operation.attempt,
        operation.fingerprint,
        operation.state,
        operation.at,
        operation.response,
    )
    return Transition(Result.RECORDED, entry)


def to_stored_response(response: outcomes.Responded) -> StoredResponse:
    """Returns what is kept of an answer."""
    if len(response.body) > MAX_RESPONSE_BYTES:
        return StoredResponse(response.status)
    return StoredResponse(response.status, response.headers, response.body)
