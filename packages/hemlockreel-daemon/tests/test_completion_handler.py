"""Engine failures at each step of one completion.

They guard against lost or repeated tokens, and against a refusal that reports
"not run" although an engine may have run the request.
"""

import types

import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import backends
from hemlockreel_daemon import completion_handler
from hemlockreel_daemon import decoding
from hemlockreel_daemon import handler_context
from hemlockreel_daemon import http_calls
from hemlockreel_daemon import logs
from hemlockreel_standins import carrier_rig

JOB = completion_handler.Job(
    "r1", "m", "a prompt", "o", "interactive", 3, 5.0, 1, None, ""
)
PREFILLED = backends.Prefilled("handle", 2, 0)
TEXT = ("one", "two", "three")


def tokens(first=0, last=3, attempt=1):
    """Returns the tokens from ``first`` up to ``last``, exclusive."""
    return [
        backends.Token("r1", attempt, offset, TEXT[offset], offset == 2)
        for offset in range(first, last)
    ]


def failing(cause):
    return backends.DecodeFailure(cause, cause.value)


class Engines:
    """Engines that return the scripted results in order."""

    def __init__(self, prefills=(), decodes=()):
        self.prefills = list(prefills)
        self.decodes = list(decodes)
        self.offsets = []
        self.cancelled = []
        self.confirms_cancels = True

    def prefill(self, address, request, traceparent, timeout_s, box):
        """Returns the next prefill result, by default a success."""
        return self.prefills.pop(0) if self.prefills else PREFILLED

    def decode(self, address, request, traceparent, timeout_s, box):
        """Returns the next stream or failure."""
        self.offsets.append(request.offset)
        result = self.decodes.pop(0)
        if isinstance(result, backends.DecodeFailure):
            return result
        response = types.SimpleNamespace(close=lambda: None)
        stub = types.SimpleNamespace(close=lambda: None)
        opened = http_calls.OpenResponse(stub, response, stub)
        self.stream = result
        return opened

    def tokens(self, opened, idle_timeout_s, box):
        """Yields the tokens of the stream that was opened last."""
        yield from self.stream

    def cancel(self, address, request_id, timeout_s):
        """Records the address; returns ``confirms_cancels``."""
        self.cancelled.append(address)
        return self.confirms_cancels


def run(engines):
    """Returns the daemon and the response parts without the paths."""
    daemon = carrier_rig.Daemon()
    context = handler_context.HandlerContext(daemon, engines, None)
    result = [
        part
        for part in completion_handler.run(context, JOB)
        if not isinstance(part, completion_handler.RequestPath)
    ]
    return daemon, result


@pytest.fixture(autouse=True)
def no_waits(monkeypatch):
    monkeypatch.setattr(decoding, "MEMORY_FULL_RETRY_S", 0.0)
    monkeypatch.setattr(decoding, "RESUME_BACKOFF_S", 0.0)


COMPLETE = [*TEXT, decoding.Finished(3)]


def test_complete_response():
    daemon, result = run(Engines(decodes=[tokens()]))
    assert result == COMPLETE
    assert daemon.ended[0].clean


def test_broken_stream_resumes_at_the_next_token():
    engines = Engines(decodes=[tokens(last=1), tokens(first=1)])
    _, result = run(engines)
    assert result == COMPLETE
    assert engines.offsets == [0, 1]


def test_stream_that_ends_in_an_error_is_logged_and_resumed(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "write", lambda *line: lines.append(line))
    cut = [*tokens(last=2), backends.StreamFailure("reset")]
    engines = Engines(decodes=[cut, tokens(first=2)])
    _, result = run(engines)
    assert result == COMPLETE
    assert engines.offsets == [0, 2]
    ((name, fields),) = lines
    assert name == "decode_cut"
    assert fields["request_id"] == "r1"
    assert (fields["tokens"], fields["detail"]) == (2, "reset")


def test_stream_with_a_missing_token_is_resumed_before_it():
    engines = Engines(decodes=[tokens()[::2], tokens(first=1)])
    _, result = run(engines)
    assert result == COMPLETE
    assert engines.offsets == [0, 1]


def test_tokens_of_another_attempt_are_dropped_and_counted():
    daemon, result = run(Engines(decodes=[tokens(attempt=7) + tokens()]))
    assert result == COMPLETE
    counted = daemon.metrics.registry.get_sample_value(
        "hemlockreel_wrong_answers_total"
    )
    assert counted == 3


@pytest.mark.parametrize(
    "lost",
    [
        backends.PrefillFailure(False, "connect"),
        backends.PrefillFailure(True, "the engine answered 500"),
        backends.PrefillFailure(True, "another request", mismatched=True),
    ],
)
def test_failed_prefill_is_retried_at_another_engine(lost):
    engines = Engines([lost], [tokens(attempt=2)])
    daemon, result = run(engines)
    assert result == COMPLETE
    assert daemon.excluded == [(), ("prefill-1",)]
    # An engine that received no byte holds nothing, so no cancel is sent.
    assert bool(engines.cancelled) is lost.sent


def test_evicted_prefill_is_repeated_without_excluding_engines():
    engines = Engines(
        decodes=[failing(backends.Cause.EVICTED), tokens(attempt=2)]
    )
    daemon, result = run(engines)
    assert result == COMPLETE
    assert not daemon.ended[0].failed
    assert daemon.excluded == [(), ()]


def test_decode_is_retried_while_memory_is_full():
    engines = Engines(decodes=[failing(backends.Cause.MEMORY_FULL), tokens()])
    _, result = run(engines)
    assert result == COMPLETE


def test_unreachable_engine_is_excluded():
    engines = Engines(
        decodes=[failing(backends.Cause.UNREACHED), tokens(attempt=2)]
    )
    daemon, result = run(engines)
    assert result == COMPLETE
    assert daemon.excluded == [(), ("decode-1",)]
    assert daemon.ended[0].failed


@pytest.mark.parametrize(
    ("cause", "reason"),
    [
        (backends.Cause.REFUSED, outcomes.Reason.BACKEND_REFUSED),
        (backends.Cause.FAILED, outcomes.Reason.BACKEND_FAILED),
        (backends.Cause.MEMORY_FULL, outcomes.Reason.BACKEND_FAILED),
    ],
)
def test_stream_that_can_not_resume_ends_in_a_refusal(cause, reason):
    _, result = run(Engines(decodes=[tokens(last=1), failing(cause)]))
    assert result[0] == TEXT[0]
    assert result[1:] == [outcomes.may_have_run(reason, cause.value)]


def test_unconfirmed_cancel_excludes_both_engines():
    lost = backends.PrefillFailure(True, "reset")
    engines = Engines([lost], [tokens(attempt=2)])
    engines.confirms_cancels = False
    daemon, _ = run(engines)
    assert set(daemon.excluded[1]) == {"prefill-1", "decode-1"}


def test_refusal_after_an_attempt_without_response_is_not_marked_not_run():
    lost = backends.PrefillFailure(True, "reset")
    _, result = run(Engines([lost] * completion_handler.MAX_ATTEMPTS))
    assert result[-1].ran is outcomes.Ran.UNKNOWN
