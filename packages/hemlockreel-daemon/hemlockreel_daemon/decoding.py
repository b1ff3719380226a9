"""Reads the decode stream of one request, and resumes it after a cut."""

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

OPEN_TIMEOUT_S = 10.0  # a transfer over a busy link takes its time
TOKEN_TIMEOUT_S = 2.0  # a stream without a token for so long is resumed
MAX_RESUMES = 5  # in a row, without a token in between
RESUME_BACKOFF_S = 0.1  # doubled with each resume in a row
NOT_RUN_CAUSES = (backends.Cause.EVICTED, backends.Cause.MEMORY_FULL)
# Memory that was granted ahead of a release may come free a moment later. The
# prefill result is evicted after about as long.
MEMORY_FULL_TIMEOUT_S = 0.8
MEMORY_FULL_RETRY_S = 0.05


class Finished(NamedTuple):
    """The end of a whole answer."""

    output_tokens: int


class RetryableFailure(NamedTuple):
    """No token came, so that another try may begin from the start.

    ``exclude`` names the replicas to leave out then, ``fault`` tells whether
    the engine did not do its part.
    """

    exclude: tuple[str, ...]
    engine_at_fault: bool
    memory_full: bool = False


class DecodeStream:
    """One decode under one grant.

    After :meth:`run` ``output_tokens`` is the number of tokens that came.
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
        """Yields the text, then the end of the answer or why it has none."""
        failures = 0
        while failures <= MAX_RESUMES:
            before = self.output_tokens
            end = yield from self._read_connection()
            if end is not None:
                yield end
                return
            if self._box.stopped is not None:
                yield outcomes.unknown(self._box.stopped.reason)
                return
            if self.output_tokens == 0:
                yield RetryableFailure(
                    (self._grant.replica,), engine_at_fault=True
                )
                return
            failures = 0 if self.output_tokens > before else failures + 1
            self._back_off(failures)
            self._daemon.metrics.count("resumed_streams")
        yield outcomes.unknown(
            outcomes.Reason.BACKEND_FAILED, "the answer was cut"
        )

    def _back_off(self, failures: int) -> None:
        if failures:
            jitter = 0.5 + self._daemon.rng.random()
            time.sleep(RESUME_BACKOFF_S * 2 ** (failures - 1) * jitter)

    def _read_connection(self) -> Iterator[str]:
        """Yields the text of one connection.

        Returns how the request ended, ``None`` when the stream was cut.
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
        """Does :meth:`_open`, again while the engine's memory is full."""
        until = time.monotonic() + MEMORY_FULL_TIMEOUT_S
        while True:
            response = self._open()
            full = (
                isinstance(response, RetryableFailure) and response.memory_full
            )
            if not full or time.monotonic() > until:
                return response
            if self._box.stopped is not None:
                return outcomes.unknown(self._box.stopped.reason)
            time.sleep(MEMORY_FULL_RETRY_S)

    def _open(
        self,
    ) -> http_calls.OpenResponse | RetryableFailure | outcomes.Refused | None:
        """Starts or resumes the decode; ``None`` when the call failed."""
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
            return self._classify_failure(response)
        return response

    def _classify_failure(
        self, found: backends.DecodeFailure
    ) -> RetryableFailure | outcomes.Refused | None:
        cause = found.cause
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
            # A prefill result that was evicted is no fault of the engine.
            exclude = (self._grant.replica,) if full else ()
            return RetryableFailure(
                exclude, engine_at_fault=False, memory_full=full
            )
        # An engine that answers has lost this request, but it works.
        reason = outcomes.Reason.BACKEND_REFUSED
        if full or cause is backends.Cause.FAILED:
            reason = outcomes.Reason.BACKEND_FAILED
        return outcomes.unknown(reason, found.detail)

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
        mine = (token.request_id, token.attempt) == (
            self._request.request_id,
            self._request.attempt,
        )
        if not mine:
            self._daemon.metrics.count("wrong_answers")
        return mine

    def _accept(self, token: backends.Token) -> Iterator[str]:
        """Yields the text of the next token of this request."""
        if self.output_tokens == 0:
            first = events.FirstTokenCame(self._request.request_id)
            self._daemon.loop.post(first)
        self.output_tokens += 1
        if token.text:
            yield token.text
