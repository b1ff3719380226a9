"""Claims: a call with an idempotency key runs at most once.

The key is claimed in the platform's store before any byte of the call is
sent. Only the attempt that the store names as the claimant sends, and only
once; a claim without an outcome is never run by anyone else. What is certain
not to have run is marked free again, so that the caller may repeat it.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards
from . import claim_buckets
from . import claim_entries
from . import events
from . import outcomes

CLAIM_TIMEOUT_S = 2.5  # for the store to confirm a claim
SEND_WITHIN_S = 2.0  # from the confirmation of a claim to its call
# From the asking for a claim to its call. A host that stood still sees a
# confirmation that has waited, and would count from then.
CALL_WITHIN_S = 3.0
RETRY_AFTER_S = 2.0
# An earlier attempt older than this will not get its outcome any more.
IN_PROGRESS_S = 60.0
RECORD_FOR_S = 120.0  # how long the end of a claim is tried to be recorded
RECORD_AGAIN_S = 0.25  # before the first repeat; doubled with each
RECORD_AGAIN_MAX_S = 5.0
MAX_RECORDS = 4096  # ends that wait for the store at once
MAX_ANSWERS = 256  # of these with the body of an answer

Outcome = outcomes.Answered | outcomes.Refused


class Claimed(NamedTuple):
    """The call may be sent now, once.

    It must not be sent any more after ``send_until`` (the core's time): who
    finds it past says that the call did not run.
    """

    request_id: str
    send_until: float = float("inf")


class _Claim:
    """The claim of one attempt; ``held`` once the store has confirmed it."""

    def __init__(
        self,
        asked: events.ClaimRequested,
        operation: claim_entries.Claim,
        asked_at: float,
    ):
        self.asked = asked
        self.asked_at = asked_at
        self.operation = operation
        self.held = False

    def confirm(self, now: float) -> Claimed:
        """Returns until when the call may be sent."""
        until = min(now + SEND_WITHIN_S, self.asked_at + CALL_WITHIN_S)
        return Claimed(self.asked.request_id, until)


class _Record:
    """The end of a claim that the store has not taken yet."""

    def __init__(self, end: claim_entries.End, until: float):
        self.end = end
        self.until = until
        self.again_at: float | None = None
        self.wait_s = RECORD_AGAIN_S


class State:
    """The claims of this daemon.

    ``claims`` is by request id, ``records`` by attempt.
    """

    def __init__(self):
        self.claims: dict[str, _Claim] = {}
        self.records: dict[str, _Record] = {}
        self.unix_s = 0.0
        self.serial = 0


def is_recording(board: boards.Board) -> bool:
    """Returns whether the end of any claim still waits for the store."""
    return bool(board.state(State).records)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of claims; all others yield nothing."""
    return ()


@handle.register
def _asked(
    event: events.ClaimRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = state.claims.get(event.request_id)
    if known is not None:
        if known.held:
            yield actions.Reply(event.request_id, known.confirm(now))
        return
    identity = board.identity
    state.serial += 1
    operation = claim_entries.Claim(
        claim_buckets.name_of(event.organisation, event.key),
        f"{identity.host}/{identity.epoch}/{state.serial}",
        event.fingerprint,
        state.unix_s,
    )
    state.claims[event.request_id] = _Claim(event, operation, now)
    deadline = now + CLAIM_TIMEOUT_S
    found = claim_buckets.submit(board, operation, deadline, now)
    yield from _take(board, found, now)


@handle.register
def _ended(
    event: events.ClaimFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    claim = board.state(State).claims.pop(event.request_id, None)
    if claim is None:
        return
    if not claim.held:
        # The worker waits no longer, so it has sent nothing.
        if claim_buckets.withdraw(board, claim.operation):
            yield from _record(board, claim, _FREE, now)
        return
    yield from _record(board, claim, event.outcome, now)


@handle.register
def _answered(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.call_id.startswith("claims/"):
        found = claim_buckets.answered(board, event, now)
        yield from _take(board, found, now)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.unix_s = event.unix_s
    found = claim_buckets.tick(board, event.unix_s, now)
    yield from _take(board, found, now)
    for record in list(state.records.values()):
        if record.again_at is not None and record.again_at <= now:
            record.again_at = None
            yield from _submit_end(board, record, now)


def _take(
    board: boards.Board,
    found: Iterable[actions.Action | claim_buckets.Finished],
    now: float,
) -> Iterable[actions.Action]:
    """Passes actions on and takes over what has finished."""
    for item in found:
        if not isinstance(item, claim_buckets.Finished):
            yield item
        elif isinstance(item.operation, claim_entries.Claim):
            yield from _claim_finished(board, item, now)
        else:
            yield from _end_finished(board, item, now)


# The claim


def _claim_finished(
    board: boards.Board, finished: claim_buckets.Finished, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    claim = _find(state, finished.operation.attempt)
    if claim is None:
        return
    request_id = claim.asked.request_id
    result = finished.result
    if result is claim_entries.Result.OWNED:
        claim.held = True
        yield actions.Count("claims", 1, ("claimed",))
        yield actions.Reply(request_id, claim.confirm(now))
        return
    del state.claims[request_id]
    if isinstance(result, claim_buckets.Failed):
        yield actions.Count("claims", 1, ("failed",))
        if result.sent:
            yield from _record(board, claim, _FREE, now)
        yield actions.Reply(request_id, _unavailable(board, result))
        return
    yield actions.Count("claims", 1, (result.value,))
    told = _repeat(state, result, finished.entry)
    yield actions.Reply(request_id, told)


def _find(state: State, attempt: str) -> _Claim | None:
    for claim in state.claims.values():
        if claim.operation.attempt == attempt:
            return claim
    return None


def _unavailable(
    board: boards.Board, failed: claim_buckets.Failed
) -> outcomes.Refused:
    """Returns the refusal of a call that could not be claimed.

    The time to come back is spread, so that the callers of an outage do not
    all come back at once.
    """
    after = max(failed.retry_after_s, RETRY_AFTER_S)
    after *= 1 + 0.5 * board.rng.random()
    return outcomes.not_run(
        outcomes.Reason.STORE_UNAVAILABLE,
        after,
        "this attempt did not run; the key could not be claimed",
    )


def _repeat(
    state: State,
    result: claim_entries.Result,
    entry: claim_entries.Entry | None,
) -> Outcome:
    """Returns what a call is told whose key has been claimed before."""
    if result is claim_entries.Result.REUSED or entry is None:
        detail = "the key was used for another call"
        return outcomes.not_run(outcomes.Reason.KEY_REUSED, detail=detail)
    if result is claim_entries.Result.IN_PROGRESS:
        return _in_progress(state, entry)
    if entry.state is claim_entries.State.UNKNOWN or entry.answer is None:
        detail = "an earlier call with this key has no known outcome"
        return outcomes.unknown(outcomes.Reason.OUTCOME_UNKNOWN, detail)
    answer = entry.answer
    if answer.body is None:
        detail = (
            "an earlier call with this key was answered with the status "
            f"{answer.status}; its answer was not kept"
        )
        return outcomes.unknown(outcomes.Reason.ANSWER_NOT_KEPT, detail)
    return outcomes.Answered(answer.status, answer.headers, answer.body)


def _in_progress(state: State, entry: claim_entries.Entry) -> outcomes.Refused:
    """Refuses the repeat of a call that may be running.

    Coming back with the same key is safe, and worthwhile while the earlier
    call is young enough to get its outcome.
    """
    young = state.unix_s - entry.at < IN_PROGRESS_S
    return outcomes.Refused(
        outcomes.Reason.IN_PROGRESS,
        outcomes.Ran.UNKNOWN,
        RETRY_AFTER_S if young else None,
        "an earlier call with this key has no known outcome",
    )


# Its end

_FREE = outcomes.not_run(outcomes.Reason.STORE_UNAVAILABLE)


def _record(
    board: boards.Board, claim: _Claim, outcome: Outcome, now: float
) -> Iterable[actions.Action]:
    """Has the end of ``claim`` written, however long the store is down."""
    state = board.state(State)
    if len(state.records) >= MAX_RECORDS:
        yield actions.Count("lost_claim_records")
        return
    operation = claim.operation
    answer = None
    if isinstance(outcome, outcomes.Answered):
        end_state = claim_entries.State.ANSWERED
        answer = claim_entries.keep(outcome)
        if len(state.records) >= MAX_ANSWERS:
            answer = claim_entries.Answer(outcome.status)
    elif outcome.ran is outcomes.Ran.NOT_RUN:
        end_state = claim_entries.State.FREE
    else:
        end_state = claim_entries.State.UNKNOWN
    end = claim_entries.End(*operation, end_state, answer)
    record = _Record(end, now + RECORD_FOR_S)
    state.records[end.attempt] = record
    yield from _submit_end(board, record, now)


def _submit_end(
    board: boards.Board, record: _Record, now: float
) -> Iterable[actions.Action]:
    deadline = now + CLAIM_TIMEOUT_S
    found = claim_buckets.submit(board, record.end, deadline, now)
    yield from _take(board, found, now)


def _end_finished(
    board: boards.Board, finished: claim_buckets.Finished, now: float
) -> Iterable[actions.Action]:
    records = board.state(State).records
    record = records.get(finished.operation.attempt)
    if record is None:
        return
    if not isinstance(finished.result, claim_buckets.Failed):
        del records[finished.operation.attempt]
        return
    if now >= record.until:
        del records[finished.operation.attempt]
        yield actions.Count("lost_claim_records")
        return
    wait_s = max(record.wait_s, finished.result.retry_after_s)
    record.again_at = now + wait_s * (1 + 0.5 * board.rng.random())
    record.wait_s = min(2 * record.wait_s, RECORD_AGAIN_MAX_S)
