"""Carries one plain call: grant, claim, the call itself."""

from collections.abc import Callable
import queue
import time
from typing import Any
from typing import NamedTuple

import xxhash

from hemlockreel import claims
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import objects
from hemlockreel import outcomes

from . import callers_socket
from . import daemon as daemons
from . import http_calls

CLAIM_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0

# Headers that belong to one connection, or that this daemon sets itself.
HOP_HEADERS = {
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
    "x-attempt",
    "traceparent",
}


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
    gone: Callable[[], bool]
    traceparent: str


class Carried(NamedTuple):
    """The outcome of a call and the hosts that it went through."""

    outcome: outcomes.Answered | outcomes.Refused
    owner: str = ""
    replica: str = ""


def run(daemon: daemons.Daemon, job: Job) -> Carried:
    """Returns the outcome of one plain call."""
    box = daemon.mailboxes.open(job.request_id)
    try:
        with daemon.traces.span(
            "entry", job.traceparent, request_id=job.request_id
        ) as traceparent:
            below = job._replace(traceparent=traceparent)
            return _Carrier(daemon, below, box).run()
    finally:
        daemon.mailboxes.close(job.request_id)


class _Carrier:
    """The tries of one plain call."""

    def __init__(
        self, daemon: daemons.Daemon, job: Job, box: queue.SimpleQueue
    ):
        self._daemon = daemon
        self._job = job
        self._box = box
        self._idempotent = job.method not in job.route.non_idempotent
        self._claim_asked = False
        self._send_until: float | None = None  # of the claim, once it is held

    def run(self) -> Carried:
        """Returns the outcome and has it recorded if a key was claimed."""
        outcome: outcomes.Answered | outcomes.Refused = outcomes.unknown(
            outcomes.Reason.BACKEND_FAILED
        )
        try:
            carried = self._try()
            outcome = carried.outcome
            return carried
        finally:
            if self._claim_asked:
                self._daemon.loop.post(
                    events.ClaimEnded(self._job.request_id, outcome)
                )

    def _try(self) -> Carried:
        """Tries until there is an answer, or another try could run twice."""
        excluded: tuple[str, ...] = ()
        carried = Carried(outcomes.not_run(outcomes.Reason.NO_BACKEND, 1.0))
        for attempt in range(1, MAX_ATTEMPTS + 1):
            grant = self._ask(attempt, excluded)
            if isinstance(grant, outcomes.Refused):
                carried = Carried(grant)
                break
            carried = self._carry(grant, attempt)
            if not self._may_repeat(carried.outcome):
                break
            excluded += (grant.replica,)
        return carried

    def _may_repeat(
        self, outcome: outcomes.Answered | outcomes.Refused
    ) -> bool:
        if isinstance(outcome, outcomes.Answered):
            return False
        if outcome.reason is not outcomes.Reason.BACKEND_FAILED:
            return False
        return self._idempotent or outcome.ran is outcomes.Ran.NOT_RUN

    def _ask(
        self, attempt: int, excluded: tuple[str, ...]
    ) -> messages.Grant | outcomes.Refused:
        job = self._job
        timeout_s = job.route.timeout_ms / 1000
        asked = events.CallAsked(
            job.request_id,
            attempt,
            job.route.service,
            job.organisation,
            timeout_s,
            excluded,
            job.traceparent,
        )
        self._daemon.loop.post(asked)
        value = self._wait(timeout_s + 1.0)
        if isinstance(value, messages.Grant | outcomes.Refused):
            return value
        self._end(attempt, clean=True)
        return value or outcomes.not_run(
            outcomes.Reason.OWNER_UNREACHABLE, RETRY_AFTER_S
        )

    def _carry(self, grant: messages.Grant, attempt: int) -> Carried:
        failed = False
        try:
            refused = self._claim(attempt)
            if refused is not None:
                return Carried(refused, grant.sender)
            if self._is_late():
                # This process or host was stopped for a while. The caller
                # has most likely asked elsewhere by now.
                reason = outcomes.Reason.STORE_UNAVAILABLE
                refused = outcomes.not_run(reason, RETRY_AFTER_S)
                return Carried(refused, grant.sender)
            outcome = self._send(grant, attempt)
            failed = isinstance(outcome, outcomes.Refused)
            return Carried(outcome, grant.sender, grant.replica)
        finally:
            self._end(attempt, clean=True, failed=failed)

    def _claim(
        self, attempt: int
    ) -> outcomes.Answered | outcomes.Refused | None:
        """Claims the key; ``None`` when the call may be sent now."""
        job = self._job
        if self._idempotent or not job.key or self._send_until is not None:
            return None
        self._claim_asked = True
        asked = events.ClaimAsked(
            job.request_id,
            attempt,
            job.organisation,
            job.key,
            fingerprint(job),
        )
        self._daemon.loop.post(asked)
        value = self._wait(CLAIM_TIMEOUT_S)
        if isinstance(value, claims.Claimed):
            self._send_until = value.send_until
            return None
        if value is None or value is callers_socket.Gone:
            return outcomes.not_run(
                outcomes.Reason.STORE_UNAVAILABLE, RETRY_AFTER_S
            )
        return value

    def _is_late(self) -> bool:
        """Returns whether the claim is held for too long to send now."""
        until = self._send_until
        return until is not None and time.monotonic() > until

    def _send(
        self, grant: messages.Grant, attempt: int
    ) -> outcomes.Answered | outcomes.Refused:
        job = self._job
        with self._daemon.traces.span(
            "call",
            job.traceparent,
            request_id=job.request_id,
            replica=grant.replica,
        ) as traceparent:
            headers = {
                name: value
                for name, value in job.headers
                if name.lower() not in HOP_HEADERS
            }
            headers["X-Request-Id"] = job.request_id
            headers["X-Attempt"] = str(attempt)
            headers["traceparent"] = traceparent
            opened = http_calls.open_call(
                grant.replica,
                job.method,
                job.target,
                job.body or None,
                headers,
                job.route.timeout_ms / 1000,
            )
            if isinstance(opened, http_calls.Failed):
                return _failed(opened)
            try:
                return self._read(opened, attempt)
            finally:
                opened.close()

    def _read(
        self, opened: http_calls.Opened, attempt: int
    ) -> outcomes.Answered | outcomes.Refused:
        response = opened.response
        try:
            body = response.read()
        except http_calls.FAILURES as error:
            return outcomes.unknown(
                outcomes.Reason.BACKEND_FAILED, f"answer cut: {error}"
            )
        found = (
            response.headers.get("X-Request-Id"),
            response.headers.get("X-Attempt"),
        )
        if found != (self._job.request_id, str(attempt)):
            self._daemon.metrics.count("wrong_answers")
            return outcomes.unknown(
                outcomes.Reason.BACKEND_FAILED,
                "the backend server answered another request",
            )
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return outcomes.Answered(response.status, headers, body)

    def _wait(self, timeout_s: float) -> Any:
        value = callers_socket.wait(self._box, timeout_s, self._job.gone)
        if value is callers_socket.Gone:
            self._daemon.metrics.count("callers_gone")
            return outcomes.not_run(outcomes.Reason.CALLER_GONE)
        return value

    def _end(self, attempt: int, clean: bool, failed: bool = False) -> None:
        self._daemon.loop.post(
            events.RequestEnded(self._job.request_id, attempt, clean, failed)
        )


def fingerprint(job: Job) -> str:
    """Returns the hash by which a repeat of the same call is known."""
    digest = xxhash.xxh128()
    for part in (job.method.encode(), job.target.encode(), job.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _failed(failed: http_calls.Failed) -> outcomes.Refused:
    """Turns a call without an answer into a refusal."""
    if not failed.sent:
        return outcomes.not_run(
            outcomes.Reason.BACKEND_FAILED, RETRY_AFTER_S, failed.detail
        )
    if failed.detail == "no answer in time":
        return outcomes.unknown(outcomes.Reason.BACKEND_SILENT, failed.detail)
    return outcomes.unknown(outcomes.Reason.BACKEND_FAILED, failed.detail)
