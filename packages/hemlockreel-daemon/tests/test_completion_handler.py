"""Pattern: engines lose, cut or evict a completion at any step."""

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
    """Returns the tokens of an answer from ``first`` up to ``last``."""
    return [
        backends.Token("r1", attempt, offset, TEXT[offset], offset == 2)
        for offset in range(first, last)
    ]


def failing(cause):
    return backends.DecodeFailure(cause, cause.value)


class Engines:
    """Engines that follow a script; each list is used up in order."""

    def __init__(self, prefills=(), decodes=()):
        self.prefills = list(prefills)
        self.decodes = list(decodes)
        self.offsets = []
        self.cancelled = []
        self.cancels = True

    def prefill(self, address, request, traceparent, timeout_s, box):
        """Returns the next answer to a prefill."""
        return self.prefills.pop(0) if self.prefills else PREFILLED

    def decode(self, address, request, traceparent, timeout_s, box):
        """Returns the next stream or failure."""
        self.offsets.append(request.offset)
        found = self.decodes.pop(0)
        if isinstance(found, backends.DecodeFailure):
            return found
        response = types.SimpleNamespace(close=lambda: None)
        link = types.SimpleNamespace(close=lambda: None)
        opened = http_calls.OpenResponse(link, response, link)
        self.stream = found
        return opened

    def tokens(self, opened, idle_timeout_s, box):
        """Yields the tokens of the stream that was opened last."""
        yield from self.stream

    def cancel(self, address, request_id, timeout_s):
        """Records the address; succeeds unless told otherwise."""
        self.cancelled.append(address)
        return self.cancels


def run(engines):
    """Returns the daemon and the parts of one request, without the hops."""
    daemon = carrier_rig.Daemon()
    context = handler_context.HandlerContext(daemon, engines, None)
    found = [
        part
        for part in completion_handler.run(context, JOB)
        if not isinstance(part, completion_handler.RequestPath)
    ]
    return daemon, found


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(decoding, "MEMORY_FULL_RETRY_S", 0.0)
    monkeypatch.setattr(decoding, "RESUME_BACKOFF_S", 0.0)


WHOLE = [*TEXT, decoding.Finished(3)]


def test_whole_answer():
    daemon, found = run(Engines(decodes=[tokens()]))
    assert found == WHOLE
    assert daemon.ended[0].clean


def test_cut_stream_goes_on_where_it_ended():
    engines = Engines(decodes=[tokens(last=1), tokens(first=1)])
    _, found = run(engines)
    assert found == WHOLE
    assert engines.offsets == [0, 1]


def test_stream_that_ends_in_an_error_goes_on(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "write", lambda *line: lines.append(line))
    cut = [*tokens(last=2), backends.StreamFailure("reset")]
    engines = Engines(decodes=[cut, tokens(first=2)])
    _, found = run(engines)
    assert found == WHOLE
    assert engines.offsets == [0, 2]
    ((name, fields),) = lines
    assert name == "decode_cut"
    assert fields["request_id"] == "r1"
    assert (fields["tokens"], fields["detail"]) == (2, "reset")


def test_missing_token_is_fetched_again():
    engines = Engines(decodes=[tokens()[::2], tokens(first=1)])
    _, found = run(engines)
    assert found == WHOLE
    assert engines.offsets == [0, 1]


def test_tokens_of_another_attempt_are_dropped_and_counted():
    daemon, found = run(Engines(decodes=[tokens(attempt=7) + tokens()]))
    assert found == WHOLE
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
def test_prompt_that_was_not_read_is_read_elsewhere(lost):
    engines = Engines([lost], [tokens(attempt=2)])
    daemon, found = run(engines)
    assert found == WHOLE
    assert daemon.excluded == [(), ("prefill-1",)]
    # What no byte reached holds nothing.
    assert bool(engines.cancelled) is lost.sent


def test_evicted_prompt_is_read_again_without_blame():
    engines = Engines(
        decodes=[failing(backends.Cause.EVICTED), tokens(attempt=2)]
    )
    daemon, found = run(engines)
    assert found == WHOLE
    assert not daemon.ended[0].failed
    assert daemon.excluded == [(), ()]


def test_full_memory_is_waited_for():
    engines = Engines(decodes=[failing(backends.Cause.MEMORY_FULL), tokens()])
    _, found = run(engines)
    assert found == WHOLE


def test_unreached_engine_is_left_out():
    engines = Engines(
        decodes=[failing(backends.Cause.UNREACHED), tokens(attempt=2)]
    )
    daemon, found = run(engines)
    assert found == WHOLE
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
def test_stream_that_can_not_go_on_is_no_whole_answer(cause, reason):
    _, found = run(Engines(decodes=[tokens(last=1), failing(cause)]))
    assert found[0] == TEXT[0]
    assert found[1:] == [outcomes.unknown(reason, cause.value)]


def test_unconfirmed_cancel_leaves_both_engines_out():
    lost = backends.PrefillFailure(True, "reset")
    engines = Engines([lost], [tokens(attempt=2)])
    engines.cancels = False
    daemon, _ = run(engines)
    assert set(daemon.excluded[1]) == {"prefill-1", "decode-1"}


def test_refusal_after_a_lost_attempt_does_not_say_not_run():
    lost = backends.PrefillFailure(True, "reset")
    _, found = run(Engines([lost] * completion_handler.MAX_ATTEMPTS))
    assert found[-1].ran is outcomes.Ran.UNKNOWN
