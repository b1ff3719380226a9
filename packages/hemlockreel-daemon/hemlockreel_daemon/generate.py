"""Carries one generation request: grant, prefill, transfer, decode."""

from collections.abc import Callable
from collections.abc import Iterator
import queue
import time
from typing import Any
from typing import NamedTuple

from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import prefixes

from . import callers_socket
from . import daemon as daemons
from . import engine_client
from . import http_calls
from . import traces

GRANT_MARGIN_S = 1.0  # the entry's own deadline ends the wait before this
PREFILL_TIMEOUT_S = 30.0
DECODE_TIMEOUT_S = 10.0
SILENCE_S = 2.0  # a stream without a token for so long is resumed
MAX_RESUMES = 5
MAX_ATTEMPTS = 3


class Job(NamedTuple):
    """A caller's checked request for a completion."""

    request_id: str
    model: str
    prompt: str
    organisation: str
    klass: str
    max_tokens: int
    deadline_s: float
    priority: int
    gone: Callable[[], bool]
    traceparent: str


class Hop(NamedTuple):
    """Where a request was carried, told to the caller before its answer."""

    owner: str
    prefill: str
    decode: str


class Finished(NamedTuple):
    """The end of a whole answer."""

    output_tokens: int


Part = Hop | str | Finished | outcomes.Refused


def run(daemon: daemons.Daemon, job: Job) -> Iterator[Part]:
    """Yields the hop, the pieces of text and the end of one completion.

    The last part is :class:`Finished` or a refusal. A refusal after text
    means that the answer was cut and the text is not the whole answer.
    """
    box = daemon.mailboxes.open(job.request_id)
    excluded: tuple[str, ...] = ()
    try:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            carry = _Attempt(daemon, job, box, attempt)
            yield from carry.run(excluded)
            if carry.retry_without is None:
                return
            excluded += carry.retry_without
        yield outcomes.not_run(outcomes.Reason.BACKEND_REFUSED, 1.0)
    finally:
        daemon.mailboxes.close(job.request_id)


class _Attempt:
    """One try of a request, under one grant.

    ``retry_without`` is set when nothing was answered and another try may
    help; it names the replicas to leave out.
    """

    def __init__(
        self,
        daemon: daemons.Daemon,
        job: Job,
        box: queue.SimpleQueue,
        attempt: int,
    ):
        self._daemon = daemon
        self._job = job
        self._box = box
        self._attempt = attempt
        self._clean = False
        self._failed = False
        self._done = 0
        self.retry_without: tuple[str, ...] | None = None

    def run(self, excluded: tuple[str, ...]) -> Iterator[Part]:
        """Yields the parts of this try."""
        try:
            grant = self._ask(excluded)
            if isinstance(grant, outcomes.Refused):
                self._clean = True
                yield grant
                return
            yield Hop(grant.sender, grant.prefill, grant.replica)
            yield from self._carry(grant)
        finally:
            self._daemon.loop.post(
                events.RequestEnded(
                    self._job.request_id,
                    self._attempt,
                    self._clean,
                    self._failed,
                    self._done,
                )
            )

    def _ask(
        self, excluded: tuple[str, ...]
    ) -> messages.Grant | outcomes.Refused:
        job = self._job
        asked = events.GenerationAsked(
            job.request_id,
            self._attempt,
            job.model,
            job.organisation,
            job.klass,
            prefixes.count_tokens(job.prompt),
            job.max_tokens,
            prefixes.chain(job.prompt),
            job.deadline_s,
            excluded,
            job.traceparent,
        )
        self._daemon.loop.post(asked)
        value = callers_socket.wait(
            self._box, job.deadline_s + GRANT_MARGIN_S, job.gone
        )
        if value is callers_socket.Gone:
            self._daemon.metrics.count("callers_gone")
            return outcomes.not_run(outcomes.Reason.CALLER_GONE)
        if value is None:
            return outcomes.not_run(outcomes.Reason.LATE, 1.0)
        return value

    def _carry(self, grant: messages.Grant) -> Iterator[Part]:
        prefilled = self._prefill(grant)
        if isinstance(prefilled, outcomes.Refused):
            yield prefilled
            return
        if prefilled is None:
            return
        yield from self._decode(grant, prefilled)

    def _prefill(
        self, grant: messages.Grant
    ) -> dict[str, Any] | outcomes.Refused | None:
        job = self._job
        body = {
            "request_id": job.request_id,
            "attempt": self._attempt,
            "prompt": job.prompt,
            "priority": job.priority,
        }
        with self._daemon.traces.span(
            "prefill",
            job.traceparent,
            request_id=job.request_id,
            replica=grant.prefill,
        ) as traceparent:
            answer = engine_client.prefill(
                grant.prefill, body, traceparent, PREFILL_TIMEOUT_S, job.gone
            )
        if isinstance(answer, http_calls.Failed) and answer.gone:
            return outcomes.unknown(outcomes.Reason.CALLER_GONE)
        if isinstance(answer, http_calls.Failed) or answer[0] != 200:
            self._failed = True
            self.retry_without = (grant.prefill,)
            return None
        if not self._is_mine(answer[1]):
            self.retry_without = ()
            return None
        cached = answer[1]["cached_tokens"]
        self._daemon.loop.post(events.PrefillEnded(job.request_id, cached))
        return answer[1]

    def _decode(
        self, grant: messages.Grant, prefilled: dict[str, Any]
    ) -> Iterator[Part]:
        for resumes in range(MAX_RESUMES + 1):
            if resumes:
                self._daemon.metrics.count("resumed_streams")
            opened = self._open(grant, prefilled)
            if isinstance(opened, outcomes.Refused):
                yield opened
                return
            if opened is None:
                if self.retry_without is not None:
                    return
                continue
            try:
                for token in engine_client.tokens(opened, SILENCE_S):
                    yield from self._take(token)
                    if self._clean:
                        return
            finally:
                opened.close()
        self._failed = True
        yield outcomes.unknown(
            outcomes.Reason.BACKEND_FAILED, "the answer was cut"
        )

    def _open(
        self, grant: messages.Grant, prefilled: dict[str, Any]
    ) -> http_calls.Opened | outcomes.Refused | None:
        """Starts or resumes the decode; ``None`` to try once more."""
        job = self._job
        body = {
            "request_id": job.request_id,
            "attempt": self._attempt,
            "handle": prefilled["handle"],
            "source": grant.prefill,
            "prompt_tokens": prefilled["prompt_tokens"],
            "max_tokens": job.max_tokens,
            "offset": self._done,
            "priority": job.priority,
        }
        with self._daemon.traces.span(
            "transfer",
            job.traceparent,
            request_id=job.request_id,
            source=grant.prefill,
            replica=grant.replica,
        ) as traceparent:
            opened = engine_client.decode(
                grant.replica, body, traceparent, DECODE_TIMEOUT_S, job.gone
            )
        if isinstance(opened, http_calls.Failed):
            if opened.gone:
                return outcomes.unknown(outcomes.Reason.CALLER_GONE)
            return None
        status = opened.response.status
        if status == 200:
            return opened
        opened.close()
        if self._done == 0 and status in (409, 507):
            # The engine itself says that it did not run the decode.
            self.retry_without = () if status == 409 else (grant.replica,)
            return None
        self._failed = True
        return outcomes.unknown(
            outcomes.Reason.BACKEND_FAILED, f"the engine answered {status}"
        )

    def _take(self, token: engine_client.Token) -> Iterator[str | Finished]:
        """Yields a token that is the next one of this request."""
        if (token.request_id, token.attempt) != (
            self._job.request_id,
            self._attempt,
        ):
            self._daemon.metrics.count("wrong_answers")
            return
        if token.text and token.offset == self._done:
            if self._done == 0:
                first = events.FirstTokenCame(self._job.request_id)
                self._daemon.loop.post(first)
            self._done += 1
            yield token.text
        if token.done:
            self._clean = True
            yield Finished(self._done)

    def _is_mine(self, answer: dict[str, Any]) -> bool:
        mine = (answer["request_id"], answer["attempt"]) == (
            self._job.request_id,
            self._attempt,
        )
        if not mine:
            self._daemon.metrics.count("wrong_answers")
        return mine


def run_traced(daemon: daemons.Daemon, job: Job) -> Iterator[Part]:
    """Does :func:`run` under a span ``entry`` with a span ``decode``."""
    started = time.monotonic()
    entry = daemon.traces.start(
        "entry", job.traceparent, request_id=job.request_id
    )
    below = job._replace(traceparent=traces.traceparent_of(entry))
    decode = None
    try:
        for part in run(daemon, below):
            if isinstance(part, str) and decode is None:
                daemon.metrics.first_token.observe(time.monotonic() - started)
                decode = daemon.traces.start(
                    "decode", below.traceparent, request_id=job.request_id
                )
            yield part
    finally:
        if decode is not None:
            decode.end()
        entry.end()
