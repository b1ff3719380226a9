"""Handles one call to a plain service: grant, claim, the call itself.

A non-idempotent call with an idempotency key is claimed in the store before
it is sent, so that a repeat with the same key does not run it again. Only a
call that is idempotent or is known not to have run is retried.
"""

import socket
from typing import NamedTuple

import xxhash

from hemlockreel import claims
from hemlockreel import declared_objects
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes

from . import backends
from . import clock
from . import handler_context
from . import mailbox

CLAIM_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


class Job(NamedTuple):
    """A validated plain call.

    ``target`` is path and query, ``key`` the idempotency key or empty,
    ``caller`` the socket of the caller's connection.
    """

    request_id: str
    route: declared_objects.Route
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    organisation: str
    key: str
    caller: socket.socket
    traceparent: str


class CallResult(NamedTuple):
    """The outcome of a call and the hosts that handled it."""

    outcome: outcomes.Responded | outcomes.Refused
    owner: str = ""
    replica: str = ""


def run(context: handler_context.HandlerContext, job: Job) -> CallResult:
    """Handles a plain call within the trace span ``entry``."""
    daemon = context.daemon
    with (
        daemon.track_request(job.request_id, job.caller) as box,
        daemon.traces.span(
            "entry", job.traceparent, request_id=job.request_id
        ) as traceparent,
    ):
        traced = job._replace(traceparent=traceparent)
        return _CallHandler(context, traced, box).run()


class _CallHandler:
    """Runs the attempts of one plain call."""

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
        # When the claim's right to send ends, ``None`` while it isn't held.
        self._send_deadline: float | None = None

    def run(self) -> CallResult:
        """Returns the result, and reports the outcome of a claimed call."""
        outcome: outcomes.Responded | outcomes.Refused = outcomes.may_have_run(
            outcomes.Reason.BACKEND_FAILED
        )
        try:
            result = self._run_attempts()
            outcome = result.outcome
            return result
        finally:
            if self._claim_requested:
                self._daemon.loop.post(
                    events.ClaimFinished(self._job.request_id, outcome)
                )

    def _run_attempts(self) -> CallResult:
        """Repeats the call until it succeeds or must not be retried.

        A retry is not allowed when the call could then run twice.
        """
        excluded: tuple[str, ...] = ()
        ran = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            grant = self._request_grant(attempt, excluded)
            if isinstance(grant, outcomes.Refused):
                result = CallResult(grant)
                break
            result = self._execute(grant, attempt)
            if not self._may_retry(result.outcome):
                break
            ran = ran or result.outcome.ran is not outcomes.Ran.NOT_RUN
            excluded += (grant.replica,)
        if ran and isinstance(result.outcome, outcomes.Refused):
            result = result._replace(outcome=_as_may_have_run(result.outcome))
        return result

    def _may_retry(
        self, outcome: outcomes.Responded | outcomes.Refused
    ) -> bool:
        if isinstance(outcome, outcomes.Responded):
            return False
        if outcome.reason is not outcomes.Reason.BACKEND_FAILED:
            return False
        return self._idempotent or outcome.ran is outcomes.Ran.NOT_RUN

    def _request_grant(
        self, attempt: int, excluded: tuple[str, ...]
    ) -> messages.Grant | outcomes.Refused:
        job = self._job
        timeout_s = job.route.timeout_ms / 1000
        event = events.CallRequested(
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
            claim_outcome = self._claim_key(attempt)
            if claim_outcome is not None:
                return CallResult(claim_outcome, grant.sender)
            if self._is_past_send_deadline():
                # This process or host was paused. The caller has most likely
                # retried through another daemon by now.
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
    ) -> outcomes.Responded | outcomes.Refused | None:
        """Claims the idempotency key if the call needs it.

        Returns ``None`` if the call may be sent now, otherwise its outcome:
        the recorded response of an earlier call or a refusal.
        """
        job = self._job
        if self._idempotent or not job.key or self._send_deadline is not None:
            return None
        self._claim_requested = True
        event = events.ClaimRequested(
            job.request_id,
            attempt,
            job.organisation,
            job.key,
            fingerprint(job),
        )
        self._daemon.loop.post(event)
        value = self._box.get(CLAIM_TIMEOUT_S)
        if isinstance(value, outcomes.Responded | outcomes.Refused):
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
        """Returns whether the claim no longer permits sending the call."""
        deadline = self._send_deadline
        return deadline is not None and clock.now() > deadline

    def _send(
        self, grant: messages.Grant, attempt: int
    ) -> outcomes.Responded | outcomes.Refused:
        """Sends the call once.

        A claimed call is not interrupted when the caller disconnects, since
        its response is recorded for a repeat with the same key.
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
            result = self._services.call(
                grant.replica,
                call,
                traceparent,
                job.route.timeout_ms / 1000,
                box,
            )
        if isinstance(result, backends.CallFailure):
            return self._refuse_failed_call(result)
        return result

    def _refuse_failed_call(
        self, failure: backends.CallFailure
    ) -> outcomes.Refused:
        """Returns the refusal for a call without a valid response."""
        if not failure.sent:
            return outcomes.not_run(
                outcomes.Reason.BACKEND_FAILED, RETRY_AFTER_S, failure.detail
            )
        reason = outcomes.Reason.BACKEND_FAILED
        if failure.mismatched:
            self._daemon.metrics.count("wrong_answers")
        elif self._box.stopped is not None:
            reason = self._box.stopped.reason
        elif failure.timed_out:
            reason = outcomes.Reason.BACKEND_SILENT
        return outcomes.may_have_run(reason, failure.detail)

    def _report_attempt_finished(self, attempt: int, failed: bool) -> None:
        self._daemon.loop.post(
            events.RequestFinished(self._job.request_id, attempt, True, failed)
        )


def _as_may_have_run(refused: outcomes.Refused) -> outcomes.Refused:
    """Returns a refusal that says an earlier attempt may have run."""
    return outcomes.may_have_run(refused.reason, refused.detail)


def fingerprint(job: Job) -> str:
    """Returns a hash of method, target and body.

    It distinguishes a repeat from a different call with the same key. Each
    part is hashed with its length, so that their boundaries are unambiguous.
    """
    digest = xxhash.xxh128()
    for part in (job.method.encode(), job.target.encode(), job.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
