"""Handles one completion request: grant, prefill, KV cache transfer, decode.

The handler runs on a worker thread. It requests a grant from the loop, has
the prompt prefilled at one engine and decodes at another. An attempt that
fails before its first token is repeated without the replicas that failed.
"""

from collections.abc import Iterator
import socket
import time
from typing import NamedTuple

from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import prefix_hashes

from . import backends
from . import decoding
from . import handler_context
from . import logs
from . import mailbox
from . import traces

# Added to the request's deadline. The loop refuses the request at the deadline
# itself, so this timeout only passes if the loop does not respond.
GRANT_TIMEOUT_MARGIN_S = 1.0
PREFILL_TIMEOUT_S = 30.0
CANCEL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 3


class Job(NamedTuple):
    """A validated completion request.

    ``caller`` is the socket of the caller's connection.
    """

    request_id: str
    model: str
    prompt: str
    organisation: str
    priority_class: str
    max_tokens: int
    deadline_s: float
    priority: int
    caller: socket.socket
    traceparent: str


class RequestPath(NamedTuple):
    """The hosts that handle a request, reported before its response."""

    owner: str
    prefill: str
    decode: str


ResponsePart = RequestPath | str | decoding.Finished | outcomes.Refused


def run(
    context: handler_context.HandlerContext, job: Job
) -> Iterator[ResponsePart]:
    """Yields the path, the text chunks and the end of one completion.

    There is one :class:`RequestPath` for each attempt that was granted. The
    last part is :class:`decoding.Finished` or a refusal. A refusal after text
    means that the response is truncated.
    """
    with context.daemon.track_request(job.request_id, job.caller) as box:
        yield from _run_attempts(context, job, box)


def _run_attempts(
    context: handler_context.HandlerContext, job: Job, box: mailbox.Mailbox
) -> Iterator[ResponsePart]:
    excluded: tuple[str, ...] = ()
    ran = False
    for number in range(1, MAX_ATTEMPTS + 1):
        attempt = _Attempt(context, job, box, number, excluded)
        for part in attempt.run():
            yield _as_may_have_run(part) if ran else part
        if attempt.excluded_on_retry is None:
            return
        ran = ran or attempt.sent
        excluded += attempt.excluded_on_retry
    yield outcomes.may_have_run(
        outcomes.Reason.BACKEND_FAILED, f"{MAX_ATTEMPTS} attempts failed"
    )


def _as_may_have_run(part: ResponsePart) -> ResponsePart:
    """Says in a refusal that an earlier attempt may have run.

    Other parts are returned unchanged.
    """
    if not isinstance(part, outcomes.Refused):
        return part
    return outcomes.may_have_run(part.reason, part.detail)


class _Attempt:
    """One attempt of a request, under one grant.

    ``excluded_on_retry`` is set when no token was received and another
    attempt may succeed; it holds the replicas to exclude then. ``sent`` is
    true if any byte may have reached an engine.

    ``_clean`` (nothing has to be cancelled at the engines) and ``_failed``
    (an engine is at fault) are reported to the owner with the release of the
    grant.
    """

    def __init__(
        self,
        context: handler_context.HandlerContext,
        job: Job,
        box: mailbox.Mailbox,
        number: int,
        excluded: tuple[str, ...],
    ):
        self._daemon = context.daemon
        self._context = context
        self._job = job
        self._box = box
        self._number = number
        self._excluded = excluded
        self._clean = False
        self._failed = False
        self._output_tokens = 0
        self.sent = False
        self.excluded_on_retry: tuple[str, ...] | None = None

    def run(self) -> Iterator[ResponsePart]:
        """Yields the response parts and reports the end of the attempt."""
        try:
            grant = self._request_grant()
            if isinstance(grant, outcomes.Refused):
                self._clean = True
                yield grant
                return
            yield RequestPath(grant.sender, grant.prefill, grant.replica)
            yield from self._execute(grant)
        finally:
            self._daemon.loop.post(
                events.RequestFinished(
                    self._job.request_id,
                    self._number,
                    self._clean,
                    self._failed,
                    self._output_tokens,
                )
            )

    def _request_grant(self) -> messages.Grant | outcomes.Refused:
        job = self._job
        event = events.CompletionRequested(
            job.request_id,
            self._number,
            job.model,
            job.organisation,
            job.priority_class,
            prefix_hashes.count_tokens(job.prompt),
            job.max_tokens,
            prefix_hashes.hash_blocks(job.prompt),
            job.deadline_s,
            self._excluded,
            job.traceparent,
        )
        self._daemon.loop.post(event)
        value = self._box.get(job.deadline_s + GRANT_TIMEOUT_MARGIN_S)
        if isinstance(value, mailbox.Stopped):
            return outcomes.not_run(value.reason)
        if value is None:
            return outcomes.not_run(outcomes.Reason.FIRST_TOKEN_TOO_LATE, 1.0)
        return value

    def _execute(self, grant: messages.Grant) -> Iterator[ResponsePart]:
        prefilled = self._prefill(grant)
        if isinstance(prefilled, outcomes.Refused):
            yield prefilled
        elif prefilled is not None:
            yield from self._decode(grant, prefilled)

    def _prefill(
        self, grant: messages.Grant
    ) -> backends.Prefilled | outcomes.Refused | None:
        """Prefills the prompt.

        Returns ``None`` on a failure after which a retry may succeed.
        """
        job = self._job
        request = backends.PrefillRequest(
            job.request_id, self._number, job.prompt, job.priority
        )
        with self._daemon.traces.span(
            "prefill",
            job.traceparent,
            request_id=job.request_id,
            replica=grant.prefill,
        ) as traceparent:
            result = self._context.engines.prefill(
                grant.prefill,
                request,
                traceparent,
                PREFILL_TIMEOUT_S,
                self._box,
            )
        failed = isinstance(result, backends.PrefillFailure)
        self.sent = not failed or result.sent
        if self._box.stopped is not None:
            return outcomes.may_have_run(self._box.stopped.reason)
        if failed:
            self._handle_prefill_failure(grant, result)
            return None
        event = events.PrefillFinished(job.request_id, result.cached_tokens)
        self._daemon.loop.post(event)
        return result

    def _handle_prefill_failure(
        self, grant: messages.Grant, failure: backends.PrefillFailure
    ) -> None:
        if failure.mismatched:
            self._daemon.metrics.count("wrong_answers")
        fields = {
            "request_id": self._job.request_id,
            "attempt": self._number,
            "replica": grant.prefill,
            "detail": failure.detail,
        }
        logs.write("prefill_failed", fields)
        self._failed = True
        self._clean = not self.sent
        self._cancel_before_retry(grant, (grant.prefill,))

    def _decode(
        self, grant: messages.Grant, prefilled: backends.Prefilled
    ) -> Iterator[ResponsePart]:
        job = self._job
        request = backends.DecodeRequest(
            job.request_id,
            self._number,
            prefilled.handle,
            grant.prefill,
            prefilled.prompt_tokens,
            job.max_tokens,
            job.priority,
        )
        decode = decoding.DecodeStream(
            self._context, self._box, grant, request, job.traceparent
        )
        try:
            for part in decode.run():
                if isinstance(part, decoding.RetryableFailure):
                    self._failed = part.engine_at_fault
                    self._cancel_before_retry(grant, part.exclude)
                    return
                self._clean = isinstance(part, decoding.Finished)
                if isinstance(part, outcomes.Refused):
                    failure = outcomes.Reason.BACKEND_FAILED
                    self._failed = part.reason is failure
                yield part
        finally:
            self._output_tokens = decode.output_tokens

    def _cancel_before_retry(
        self, grant: messages.Grant, exclude: tuple[str, ...]
    ) -> None:
        """Frees the engine memory of this attempt so that a retry may start.

        A cancel names the request, not the attempt, so a late one would cancel
        the next attempt. The retry therefore waits for the confirmations. If
        one is missing, both replicas are excluded from it.
        """
        unconfirmed = []
        if not self._clean:
            unconfirmed = [
                address
                for address in (grant.prefill, grant.replica)
                if not self._context.engines.cancel(
                    address, self._job.request_id, CANCEL_TIMEOUT_S
                )
            ]
        self._clean = not unconfirmed
        if unconfirmed:
            unconfirmed = [grant.prefill, grant.replica]
        self.excluded_on_retry = tuple({*exclude, *unconfirmed})
        fields = {
            "request_id": self._job.request_id,
            "attempt": self._number,
            "excluded": sorted(self.excluded_on_retry),
            "unconfirmed": sorted(unconfirmed),
        }
        logs.write("attempt_failed", fields)


def run_traced(
    context: handler_context.HandlerContext, job: Job
) -> Iterator[ResponsePart]:
    """Runs :func:`run` within trace spans and records the first token's time.

    The span ``entry`` covers the request, the span ``decode`` the time from
    the first token to the end.
    """
    daemon = context.daemon
    started = time.monotonic()
    entry = daemon.traces.start(
        "entry", job.traceparent, request_id=job.request_id
    )
    traced = job._replace(traceparent=traces.traceparent_of(entry))
    decode = None
    try:
        for part in run(context, traced):
            if decode is None and isinstance(part, str):
                daemon.metrics.first_token.observe(time.monotonic() - started)
                decode = daemon.traces.start(
                    "decode", traced.traceparent, request_id=job.request_id
                )
            yield part
    finally:
        if decode is not None:
            decode.end()
        entry.end()
