"""Reads the decode stream of one request and resumes it when it breaks.

The engine numbers the tokens, so a resumed stream continues with the token
after the last one that was received.
"""

from collections.abc import Iterator
import time
from typing import NamedTuple

from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes

from . import backends
from . import handler_context
from . import http_calls
from . import logs
from . import mailbox

OPEN_TIMEOUT_S = 10.0  # includes the KV cache transfer over a busy link
TOKEN_TIMEOUT_S = 2.0  # a stream that receives nothing for so long is resumed
MAX_RESUMES = 5  # consecutive, without a token in between
RESUME_BACKOFF_S = 0.1  # doubled with each consecutive resume
NOT_RUN_CAUSES = (backends.Cause.EVICTED, backends.Cause.MEMORY_FULL)
# The owner may grant memory shortly before the engine has freed it. Waiting
# longer is pointless: the prefill result is evicted after about this time.
MEMORY_FULL_TIMEOUT_S = 0.8
MEMORY_FULL_RETRY_S = 0.05


class Finished(NamedTuple):
    """The end of a complete response."""

    output_tokens: int


class RetryableFailure(NamedTuple):
    """A failure before the first token; the request may start over.

    ``exclude`` holds the replicas to exclude then. ``engine_at_fault`` is
    false for an eviction or a lack of memory, which are no engine failures.
    """

    exclude: tuple[str, ...]
    engine_at_fault: bool
    memory_full: bool = False


class DecodeStream:
    """The decode of one attempt, over one or more connections.

    ``output_tokens`` is the number of tokens received so far.
    """

    def __init__(
        self,
        context: handler_context.HandlerContext,
        box: mailbox.Mailbox,
        grant: messages.Grant,
        request: backends.DecodeRequest,
        traceparent: str,
    ):
        self._daemon = context.daemon
        self._engines = context.engines
        self._box = box
        self._grant = grant
        self._request = request
        self._traceparent = traceparent
        self.output_tokens = 0

    def run(
        self,
    ) -> Iterator[str | Finished | RetryableFailure | outcomes.Refused]:
        """Yields the text, then the end of the response or a failure."""
        failures = 0
        while failures <= MAX_RESUMES:
            before = self.output_tokens
            end = yield from self._read_connection()
            if end is not None:
                yield end
                return
            if self._box.stopped is not None:
                yield outcomes.may_have_run(self._box.stopped.reason)
                return
            if self.output_tokens == 0:
                yield RetryableFailure(
                    (self._grant.replica,), engine_at_fault=True
                )
                return
            failures = 0 if self.output_tokens > before else failures + 1
            self._back_off(failures)
            self._daemon.metrics.count("resumed_streams")
        yield outcomes.may_have_run(
            outcomes.Reason.BACKEND_FAILED, "the answer was cut"
        )

    def _back_off(self, failures: int) -> None:
        if failures:
            jitter = 0.5 + self._daemon.rng.random()
            time.sleep(RESUME_BACKOFF_S * 2 ** (failures - 1) * jitter)

    def _read_connection(self) -> Iterator[str]:
        """Yields the text received over one connection.

        Returns the end of the request, ``None`` if the stream broke.
        """
        response = self._open_with_memory_retries()
        if not isinstance(response, http_calls.OpenResponse):
            return response
        try:
            for token in self._engines.tokens(
                response, TOKEN_TIMEOUT_S, self._box
            ):
                if isinstance(token, backends.StreamFailure):
                    self._log_cut(token.detail)
                    return None
                if not self._belongs_to_attempt(token):
                    continue
                if token.offset > self.output_tokens:
                    return None  # A token is missing.
                if token.offset < self.output_tokens:
                    continue
                yield from self._accept(token)
                if token.done:
                    return Finished(self.output_tokens)
        finally:
            response.close()
        return None

    def _open_with_memory_retries(
        self,
    ) -> http_calls.OpenResponse | RetryableFailure | outcomes.Refused | None:
        """Repeats :meth:`_open` while the engine's memory is full."""
        deadline = time.monotonic() + MEMORY_FULL_TIMEOUT_S
        while True:
            response = self._open()
            full = (
                isinstance(response, RetryableFailure) and response.memory_full
            )
            if not full or time.monotonic() > deadline:
                return response
            if self._box.stopped is not None:
                return outcomes.may_have_run(self._box.stopped.reason)
            time.sleep(MEMORY_FULL_RETRY_S)

    def _open(
        self,
    ) -> http_calls.OpenResponse | RetryableFailure | outcomes.Refused | None:
        """Starts or resumes the decode; ``None`` if the connection failed."""
        request = self._request._replace(offset=self.output_tokens)
        with self._daemon.traces.span(
            "transfer",
            self._traceparent,
            request_id=self._grant.request_id,
            source=self._grant.prefill,
            replica=self._grant.replica,
        ) as traceparent:
            response = self._engines.decode(
                self._grant.replica,
                request,
                traceparent,
                OPEN_TIMEOUT_S,
                self._box,
            )
        if isinstance(response, backends.DecodeFailure):
            self._log_cut(response.detail)
            return self._classify_failure(response)
        return response

    def _classify_failure(
        self, failure: backends.DecodeFailure
    ) -> RetryableFailure | outcomes.Refused | None:
        cause = failure.cause
        if cause is backends.Cause.LOST:
            return None
        if cause is backends.Cause.UNREACHED:
            if self.output_tokens:
                return None
            return RetryableFailure(
                (self._grant.replica,), engine_at_fault=True
            )
        full = cause is backends.Cause.MEMORY_FULL
        if self.output_tokens == 0 and cause in NOT_RUN_CAUSES:
            # An evicted prefill result does not exclude the decode replica.
            exclude = (self._grant.replica,) if full else ()
            return RetryableFailure(
                exclude, engine_at_fault=False, memory_full=full
            )
        # The engine responds, so it works, but it can't continue this request.
        reason = outcomes.Reason.BACKEND_REFUSED
        if full or cause is backends.Cause.FAILED:
            reason = outcomes.Reason.BACKEND_FAILED
        return outcomes.may_have_run(reason, failure.detail)

    def _log_cut(self, detail: str) -> None:
        fields = {
            "request_id": self._grant.request_id,
            "attempt": self._request.attempt,
            "replica": self._grant.replica,
            "tokens": self.output_tokens,
            "detail": detail,
        }
        logs.write("decode_cut", fields)

    def _belongs_to_attempt(self, token: backends.Token) -> bool:
        matches = (token.request_id, token.attempt) == (
            self._request.request_id,
            self._request.attempt,
        )
        if not matches:
            self._daemon.metrics.count("wrong_answers")
        return matches

    def _accept(self, token: backends.Token) -> Iterator[str]:
        """Counts the next token of this request and yields its text."""
        if self.output_tokens == 0:
            event = events.FirstTokenReceived(self._request.request_id)
            self._daemon.loop.post(event)
        self.output_tokens += 1
        if token.text:
            yield token.text
