"""Claims: run a call with an idempotency key at most once.

The key is claimed in the platform's store before any byte of the call is
sent. Only the attempt that the store names as the claimant sends the call,
and only once; no other attempt runs a claimed call without an outcome. If it
is certain that the call did not run, the key is set free, so that the caller
may retry.
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
MAX_CONFIRM_TO_SEND_S = 2.0  # from the confirmation of a claim to its call
# From the request for a claim to its call. A host that was paused may read a
# confirmation that is already old, so the time since the confirmation alone
# is no limit.
MAX_CLAIM_TO_SEND_S = 3.0
RETRY_AFTER_S = 2.0
# The outcome of an earlier attempt is not expected after this time.
MAX_IN_PROGRESS_S = 60.0
RECORD_TIMEOUT_S = 120.0  # for recording an outcome, with all retries
MIN_RECORD_RETRY_S = 0.25  # before the first retry; doubled with each one
MAX_RECORD_RETRY_S = 5.0
MAX_RECORDS = 4096  # outcomes that wait to be recorded
MAX_RECORDS_WITH_BODY = 256  # of these, with the body of a response

Outcome = outcomes.Responded | outcomes.Refused


class Claimed(NamedTuple):
    """Permits the worker of a request to send its call now, and only once.

    The call must not be sent after ``send_until``, in the core's time. A
    worker that reads this value later reports that the call did not run.
    """

    request_id: str
    send_until: float = float("inf")


class _Claim:
    """The claim of one attempt.

    ``is_confirmed`` is true once the store has named the attempt as the
    claimant.
    """

    def __init__(
        self,
        request: events.ClaimRequested,
        operation: claim_entries.Claim,
        requested_at: float,
    ):
        self.request = request
        self.requested_at = requested_at
        self.operation = operation
        self.is_confirmed = False

    def permission(self, now: float) -> Claimed:
        """Returns the permission to send the call, with its time limit."""
        send_until = min(
            now + MAX_CONFIRM_TO_SEND_S,
            self.requested_at + MAX_CLAIM_TO_SEND_S,
        )
        return Claimed(self.request.request_id, send_until)


class _UnrecordedOutcome:
    """The outcome of a claim that the store has not confirmed yet.

    It is dropped if the store has not confirmed it at ``deadline``.
    """

    def __init__(
        self, operation: claim_entries.RecordOutcome, deadline: float
    ):
        self.operation = operation
        self.deadline = deadline
        self.retry_at: float | None = None
        self.wait_s = MIN_RECORD_RETRY_S


class State:
    """The claims of this daemon and the outcomes that are not recorded yet.

    ``claims`` is keyed by request id, ``records`` by attempt. ``serial``
    numbers the attempts of this run.
    """

    def __init__(self):
        self.claims: dict[str, _Claim] = {}
        self.records: dict[str, _UnrecordedOutcome] = {}
        self.unix_s = 0.0
        self.serial = 0


def is_recording(board: boards.Board) -> bool:
    """Returns whether any outcome still waits to be recorded."""
    return bool(board.state(State).records)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Returns the actions of claims for ``event``.

    There are none for events that are not registered below.
    """
    return ()


@handle.register
def _claim_requested(
    event: events.ClaimRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Claims the key of a call in the store.

    A repeated event for a confirmed claim permits the call again.
    """
    state = board.state(State)
    existing = state.claims.get(event.request_id)
    if existing is not None:
        if existing.is_confirmed:
            yield actions.Reply(event.request_id, existing.permission(now))
        return
    identity = board.identity
    state.serial += 1
    operation = claim_entries.Claim(
        claim_buckets.entry_name(event.organisation, event.key),
        f"{identity.host}/{identity.epoch}/{state.serial}",
        event.fingerprint,
        state.unix_s,
    )
    state.claims[event.request_id] = _Claim(event, operation, now)
    deadline = now + CLAIM_TIMEOUT_S
    results = claim_buckets.submit(board, operation, deadline, now)
    yield from _process_results(board, results, now)


@handle.register
def _claim_finished_by_worker(
    event: events.ClaimFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Records the outcome of a claim; an unused claim sets its key free."""
    claim = board.state(State).claims.pop(event.request_id, None)
    if claim is None:
        return
    if not claim.is_confirmed:
        # The worker has stopped waiting for the claim, so it has sent nothing.
        if claim_buckets.withdraw(board, claim.operation):
            yield from _record_outcome(board, claim, _NOT_SENT, now)
        return
    yield from _record_outcome(board, claim, event.outcome, now)


@handle.register
def _store_responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.call_id.startswith("claims/"):
        results = claim_buckets.handle_response(board, event, now)
        yield from _process_results(board, results, now)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.unix_s = event.unix_s
    results = claim_buckets.tick(board, event.unix_s, now)
    yield from _process_results(board, results, now)
    for record in list(state.records.values()):
        if record.retry_at is not None and record.retry_at <= now:
            record.retry_at = None
            yield from _submit_outcome(board, record, now)


def _process_results(
    board: boards.Board,
    results: Iterable[actions.Action | claim_buckets.Finished],
    now: float,
) -> Iterable[actions.Action]:
    """Yields the actions of ``results`` and handles finished operations."""
    for item in results:
        if not isinstance(item, claim_buckets.Finished):
            yield item
        elif isinstance(item.operation, claim_entries.Claim):
            yield from _claim_finished(board, item, now)
        else:
            yield from _outcome_finished(board, item, now)


# Claiming a key


def _claim_finished(
    board: boards.Board, finished: claim_buckets.Finished, now: float
) -> Iterable[actions.Action]:
    """Sends the worker the permission to call, or the outcome instead."""
    state = board.state(State)
    claim = _find_claim(state, finished.operation.attempt)
    if claim is None:
        return
    request_id = claim.request.request_id
    result = finished.result
    if result is claim_entries.Result.OWNED:
        claim.is_confirmed = True
        yield actions.Count("claims", 1, ("claimed",))
        yield actions.Reply(request_id, claim.permission(now))
        return
    del state.claims[request_id]
    if isinstance(result, claim_buckets.Failed):
        yield actions.Count("claims", 1, ("failed",))
        if result.sent:
            yield from _record_outcome(board, claim, _NOT_SENT, now)
        yield actions.Reply(request_id, _store_unavailable(board, result))
        return
    yield actions.Count("claims", 1, (result.value,))
    outcome = _repeat_outcome(state, result, finished.entry)
    yield actions.Reply(request_id, outcome)


def _find_claim(state: State, attempt: str) -> _Claim | None:
    for claim in state.claims.values():
        if claim.operation.attempt == attempt:
            return claim
    return None


def _store_unavailable(
    board: boards.Board, failed: claim_buckets.Failed
) -> outcomes.Refused:
    """Returns the refusal of a call whose key could not be claimed.

    ``retry_after_s`` is randomised, so that the callers refused during an
    outage don't all retry at once.
    """
    delay_s = max(failed.retry_after_s, RETRY_AFTER_S)
    delay_s *= 1 + 0.5 * board.rng.random()
    return outcomes.not_run(
        outcomes.Reason.STORE_UNAVAILABLE,
        delay_s,
        "this attempt did not run; the key could not be claimed",
    )


def _repeat_outcome(
    state: State,
    result: claim_entries.Result,
    entry: claim_entries.Entry | None,
) -> Outcome:
    """Returns the outcome of a call whose key was claimed before.

    This is the stored response of the earlier call, if there is one.
    """
    if result is claim_entries.Result.REUSED or entry is None:
        detail = "the key was used for another call"
        return outcomes.not_run(outcomes.Reason.KEY_REUSED, detail=detail)
    if result is claim_entries.Result.IN_PROGRESS:
        return _refuse_in_progress(state, entry)
    if entry.state is claim_entries.State.UNKNOWN or entry.response is None:
        detail = "an earlier call with this key has no known outcome"
        return outcomes.may_have_run(outcomes.Reason.OUTCOME_UNKNOWN, detail)
    response = entry.response
    if response.body is None:
        detail = (
            "an earlier call with this key was answered with the status "
            f"{response.status}; its answer was not kept"
        )
        return outcomes.may_have_run(outcomes.Reason.RESPONSE_NOT_KEPT, detail)
    return outcomes.Responded(response.status, response.headers, response.body)


def _refuse_in_progress(
    state: State, entry: claim_entries.Entry
) -> outcomes.Refused:
    """Refuses a call while an earlier one with its key may be running.

    A retry with the same key is safe. It is advised only while the earlier
    call is recent enough to get an outcome.
    """
    may_still_finish = state.unix_s - entry.at < MAX_IN_PROGRESS_S
    return outcomes.Refused(
        outcomes.Reason.IN_PROGRESS,
        outcomes.Ran.UNKNOWN,
        RETRY_AFTER_S if may_still_finish else None,
        "an earlier call with this key has no known outcome",
    )


# Recording its outcome

_NOT_SENT = outcomes.not_run(outcomes.Reason.STORE_UNAVAILABLE)


def _record_outcome(
    board: boards.Board, claim: _Claim, outcome: Outcome, now: float
) -> Iterable[actions.Action]:
    """Records the outcome of ``claim`` in the store.

    It is retried for :data:`RECORD_TIMEOUT_S` while the store is down. If
    many outcomes wait already, it is recorded without the response's body,
    or not at all.
    """
    state = board.state(State)
    if len(state.records) >= MAX_RECORDS:
        yield actions.Count("lost_claim_records")
        return
    operation = claim.operation
    response = None
    if isinstance(outcome, outcomes.Responded):
        entry_state = claim_entries.State.RESPONDED
        response = claim_entries.to_stored_response(outcome)
        if len(state.records) >= MAX_RECORDS_WITH_BODY:
            response = claim_entries.StoredResponse(outcome.status)
    elif outcome.ran is outcomes.Ran.NOT_RUN:
        entry_state = claim_entries.State.FREE
    else:
        entry_state = claim_entries.State.UNKNOWN
    record_outcome = claim_entries.RecordOutcome(
        *operation, entry_state, response
    )
    record = _UnrecordedOutcome(record_outcome, now + RECORD_TIMEOUT_S)
    state.records[record_outcome.attempt] = record
    yield from _submit_outcome(board, record, now)


def _submit_outcome(
    board: boards.Board, record: _UnrecordedOutcome, now: float
) -> Iterable[actions.Action]:
    deadline = now + CLAIM_TIMEOUT_S
    results = claim_buckets.submit(board, record.operation, deadline, now)
    yield from _process_results(board, results, now)


def _outcome_finished(
    board: boards.Board, finished: claim_buckets.Finished, now: float
) -> Iterable[actions.Action]:
    """Removes a recorded outcome; schedules a retry for one that failed."""
    records = board.state(State).records
    record = records.get(finished.operation.attempt)
    if record is None:
        return
    if not isinstance(finished.result, claim_buckets.Failed):
        del records[finished.operation.attempt]
        return
    if now >= record.deadline:
        del records[finished.operation.attempt]
        yield actions.Count("lost_claim_records")
        return
    wait_s = max(record.wait_s, finished.result.retry_after_s)
    record.retry_at = now + wait_s * (1 + 0.5 * board.rng.random())
    record.wait_s = min(2 * record.wait_s, MAX_RECORD_RETRY_S)
