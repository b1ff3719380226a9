"""Carries one plain call: grant, claim, the call itself."""

import socket
from typing import NamedTuple

import xxhash

from hemlockreel import claims
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import objects
from hemlockreel import outcomes

from . import backends
from . import clock
from . import handler_context
from . import mailbox

CLAIM_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


class Job(NamedTuple):
    """A caller's checked plain call; ``target`` is path and query."""

    request_id: str
    route: objects.Route
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    organisation: str
    key: str
    caller: socket.socket
    traceparent: str


class CallResult(NamedTuple):
    """The outcome of a call and the hosts that it went through."""

    outcome: outcomes.Answered | outcomes.Refused
    owner: str = ""
    replica: str = ""


def run(context: handler_context.HandlerContext, job: Job) -> CallResult:
    """Returns the outcome of one plain call."""
    daemon = context.daemon
    with (
        daemon.track_request(job.request_id, job.caller) as box,
        daemon.traces.span(
            "entry", job.traceparent, request_id=job.request_id
        ) as traceparent,
    ):
        below = job._replace(traceparent=traceparent)
        return _CallHandler(context, below, box).run()


class _CallHandler:
    """The tries of one plain call."""

    def __init__(
        self,
        context: handler_context.HandlerContext,
        job: Job,
        box: mailbox.Mailbox,
    ):
        self._daemon = context.daemon
        self._services = context.services
        self._job = job
        self._box = box
        self._idempotent = job.method not in job.route.non_idempotent
        self._claim_requested = False
        self._send_deadline: float | None = (
            None  # of the claim, once it is held
        )

    def run(self) -> CallResult:
        """Returns the outcome and has it recorded if a key was claimed."""
        outcome: outcomes.Answered | outcomes.Refused = outcomes.unknown(
            outcomes.Reason.BACKEND_FAILED
        )
        try:
            carried = self._run_attempts()
            outcome = carried.outcome
            return carried
        finally:
            if self._claim_requested:
                self._daemon.loop.post(
                    events.ClaimEnded(self._job.request_id, outcome)
                )

    def _run_attempts(self) -> CallResult:
        """Tries until there is an answer, or another try could run twice."""
        excluded: tuple[str, ...] = ()
        ran = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            grant = self._request_grant(attempt, excluded)
            if isinstance(grant, outcomes.Refused):
                carried = CallResult(grant)
                break
            carried = self._execute(grant, attempt)
            if not self._may_retry(carried.outcome):
                break
            ran = ran or carried.outcome.ran is not outcomes.Ran.NOT_RUN
            excluded += (grant.replica,)
        if ran and isinstance(carried.outcome, outcomes.Refused):
            carried = carried._replace(
                outcome=_without_not_run(carried.outcome)
            )
        return carried

    def _may_retry(
        self, outcome: outcomes.Answered | outcomes.Refused
    ) -> bool:
        if isinstance(outcome, outcomes.Answered):
            return False
        if outcome.reason is not outcomes.Reason.BACKEND_FAILED:
            return False
        return self._idempotent or outcome.ran is outcomes.Ran.NOT_RUN

    def _request_grant(
        self, attempt: int, excluded: tuple[str, ...]
    ) -> messages.Grant | outcomes.Refused:
        job = self._job
        timeout_s = job.route.timeout_ms / 1000
        event = events.CallAsked(
            job.request_id,
            attempt,
            job.route.service,
            job.organisation,
            timeout_s,
            excluded,
            job.traceparent,
        )
        self._daemon.loop.post(event)
        value = self._box.get(timeout_s + 1.0)
        if isinstance(value, messages.Grant):
            return value
        self._report_attempt_finished(attempt, failed=False)
        if isinstance(value, outcomes.Refused):
            return value
        if isinstance(value, mailbox.Stopped):
            return outcomes.not_run(value.reason)
        return outcomes.not_run(
            outcomes.Reason.OWNER_UNREACHABLE, RETRY_AFTER_S
        )

    def _execute(self, grant: messages.Grant, attempt: int) -> CallResult:
        failed = False
        try:
            told = self._claim_key(attempt)
            if told is not None:
                return CallResult(told, grant.sender)
            if self._is_past_send_deadline():
                # This process or host was stopped for a while. The caller
                # has most likely event elsewhere by now.
                reason = outcomes.Reason.STORE_UNAVAILABLE
                refused = outcomes.not_run(reason, RETRY_AFTER_S)
                return CallResult(refused, grant.sender)
            outcome = self._send(grant, attempt)
            failed = isinstance(outcome, outcomes.Refused)
            return CallResult(outcome, grant.sender, grant.replica)
        finally:
            self._report_attempt_finished(attempt, failed)

    def _claim_key(
        self, attempt: int
    ) -> outcomes.Answered | outcomes.Refused | None:
        """Claims the key; ``None`` when the call may be sent now."""
        job = self._job
        if self._idempotent or not job.key or self._send_deadline is not None:
            return None
        self._claim_requested = True
        event = events.ClaimAsked(
            job.request_id,
            attempt,
            job.organisation,
            job.key,
            fingerprint(job),
        )
        self._daemon.loop.post(event)
        value = self._box.get(CLAIM_TIMEOUT_S)
        if isinstance(value, outcomes.Answered | outcomes.Refused):
            return value
        if isinstance(value, mailbox.Stopped):
            return outcomes.not_run(value.reason)
        if isinstance(value, claims.Claimed):
            self._send_deadline = value.send_until
            return None
        return outcomes.not_run(
            outcomes.Reason.STORE_UNAVAILABLE, RETRY_AFTER_S
        )

    def _is_past_send_deadline(self) -> bool:
        """Returns whether the claim is held for too long to send now."""
        until = self._send_deadline
        return until is not None and clock.now() > until

    def _send(
        self, grant: messages.Grant, attempt: int
    ) -> outcomes.Answered | outcomes.Refused:
        """Sends the call once.

        A claimed call runs to its end even when the caller has gone, since a
        repeat with the same key gets its answer.
        """
        job = self._job
        if self._box.stopped is not None:
            return outcomes.not_run(self._box.stopped.reason)
        box = self._box if self._send_deadline is None else None
        call = backends.Call(
            job.request_id,
            attempt,
            job.method,
            job.target,
            job.headers,
            job.body,
        )
        with self._daemon.traces.span(
            "call",
            job.traceparent,
            request_id=job.request_id,
            replica=grant.replica,
        ) as traceparent:
            answer = self._services.call(
                grant.replica,
                call,
                traceparent,
                job.route.timeout_ms / 1000,
                box,
            )
        if isinstance(answer, backends.CallFailure):
            return self._refuse_failed_call(answer)
        return answer

    def _refuse_failed_call(
        self, found: backends.CallFailure
    ) -> outcomes.Refused:
        """Turns a call without an answer of its own into a refusal."""
        if not found.sent:
            return outcomes.not_run(
                outcomes.Reason.BACKEND_FAILED, RETRY_AFTER_S, found.detail
            )
        reason = outcomes.Reason.BACKEND_FAILED
        if found.mismatched:
            self._daemon.metrics.count("wrong_answers")
        elif self._box.stopped is not None:
            reason = self._box.stopped.reason
        elif found.timed_out:
            reason = outcomes.Reason.BACKEND_SILENT
        return outcomes.unknown(reason, found.detail)

    def _report_attempt_finished(self, attempt: int, failed: bool) -> None:
        self._daemon.loop.post(
            events.RequestEnded(self._job.request_id, attempt, True, failed)
        )


def _without_not_run(refused: outcomes.Refused) -> outcomes.Refused:
    """Takes "not run" out of a refusal that follows an earlier attempt."""
    return outcomes.unknown(refused.reason, refused.detail)


def fingerprint(job: Job) -> str:
    """Returns the hash by which a repeat of the same call is known."""
    digest = xxhash.xxh128()
    for part in (job.method.encode(), job.target.encode(), job.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
