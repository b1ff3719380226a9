"""Random sequences of engine failures around one completion.

Whatever the sequence, the caller receives each token once and a correct end,
and an attempt that reports itself as clean leaves nothing at an engine.
"""

import types

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import backends
from hemlockreel_daemon import completion_handler
from hemlockreel_daemon import decoding
from hemlockreel_daemon import handler_context
from hemlockreel_daemon import http_calls
from hemlockreel_standins import carrier_rig

TEXT = ("one ", "two ", "three")
JOB = completion_handler.Job(
    "r1", "m", "a prompt", "o", "interactive", 3, 5.0, 1, None, ""
)
CAUSES = strategies.sampled_from(list(backends.Cause))
PREFILLS = strategies.sampled_from(
    [
        "read",
        "read",
        backends.PrefillFailure(False, "connect"),
        backends.PrefillFailure(True, "reset"),
        backends.PrefillFailure(True, "another request", mismatched=True),
    ]
)


# The number of tokens, and a fault among them.
STREAMS = strategies.tuples(
    strategies.integers(0, 3),
    strategies.sampled_from(["", "repeat", "skip", "other"]),
)
DECODES = strategies.one_of(STREAMS, STREAMS, CAUSES)


class Engines:
    """Engines that follow a script.

    ``held`` is the engine memory in use: pairs of address and attempt.
    ``sent`` is true once an engine has received a request.
    """

    def __init__(self, prefills, decodes, cancels):
        self._prefills, self._decodes = iter(prefills), iter(decodes)
        self._cancels = iter(cancels)
        self.held = set()
        self.sent = False

    def prefill(self, address, request, traceparent, timeout_s, box):
        """Returns the next scripted prefill result, then successes."""
        scripted = next(self._prefills, "read")
        if scripted != "read" and not scripted.sent:
            return scripted
        self.sent = True
        self.held.add((address, request.attempt))
        if scripted != "read":
            return scripted
        return backends.Prefilled("handle", 2, 0)

    def decode(self, address, request, traceparent, timeout_s, box):
        """Opens the next scripted stream or fails, then succeeds."""
        scripted = next(self._decodes, (3, ""))
        if isinstance(scripted, backends.Cause):
            if scripted is backends.Cause.LOST:
                self.held.add((address, request.attempt))
            elif scripted is backends.Cause.EVICTED:
                self.held.discard((request.source, request.attempt))
            return backends.DecodeFailure(scripted, scripted.value)
        self.held.add((address, request.attempt))
        stub = types.SimpleNamespace(close=lambda: None)
        self._stream = (request, *scripted)
        return http_calls.OpenResponse(stub, stub, stub)

    def tokens(self, opened, idle_timeout_s, box):
        """Yields the tokens of the stream that was opened last."""
        request, count, fault = self._stream
        offsets = list(range(request.offset, min(request.offset + count, 3)))
        if fault == "repeat":
            offsets = [each for each in offsets for _ in range(2)]
        elif fault == "skip":
            offsets = offsets[1:]
        for offset in offsets:
            attempt = request.attempt + (fault == "other")
            done = offset == 2
            if done and fault != "other":
                # Both engines free their memory after the last token.
                self.held -= {each for each in self.held if each[1] == attempt}
            yield backends.Token("r1", attempt, offset, TEXT[offset], done)

    def cancel(self, address, request_id, timeout_s):
        """Frees the engine's memory, or is not confirmed."""
        if not next(self._cancels, True):
            return False
        self.held -= {each for each in self.held if each[0] == address}
        return True


@pytest.fixture(scope="module")
def no_waits():
    patch = pytest.MonkeyPatch()
    patch.setattr(decoding, "MEMORY_FULL_RETRY_S", 0.0)
    patch.setattr(decoding, "MEMORY_FULL_TIMEOUT_S", 0.0)
    patch.setattr(decoding, "RESUME_BACKOFF_S", 0.0)
    yield
    patch.undo()


@hypothesis.settings(max_examples=1500, deadline=None)
@hypothesis.given(
    prefills=strategies.lists(PREFILLS, max_size=4),
    decodes=strategies.lists(DECODES, max_size=12),
    cancels=strategies.lists(strategies.booleans(), max_size=6),
    grants=strategies.integers(0, 3),
)
def test_any_script(no_waits, prefills, decodes, cancels, grants):
    daemon = carrier_rig.Daemon()
    daemon.grants = grants
    engines = Engines(prefills, decodes, cancels)
    ends = []
    post = daemon.post

    def record_ends(event):
        post(event)
        if len(daemon.ended) > len(ends):
            ends.append((daemon.ended[-1], frozenset(engines.held)))

    daemon.post = record_ends
    context = handler_context.HandlerContext(daemon, engines, None)
    parts = [
        part
        for part in completion_handler.run(context, JOB)
        if not isinstance(part, completion_handler.RequestPath)
    ]
    *chunks, end = parts
    assert all(isinstance(chunk, str) for chunk in chunks)
    text = "".join(chunks)
    assert "".join(TEXT).startswith(text)
    if isinstance(end, decoding.Finished):
        assert text == "".join(TEXT)
        assert end.output_tokens == 3
    else:
        assert isinstance(end, outcomes.Refused)
        if end.ran is outcomes.Ran.NOT_RUN:
            assert not engines.sent
            assert not text
    assert [each.attempt for each, _ in ends] == list(range(1, len(ends) + 1))
    assert len(ends) <= completion_handler.MAX_ATTEMPTS
    for each, held in ends:
        leaked = {
            address for address, number in held if number == each.attempt
        }
        assert not (each.clean and leaked), (
            "reported as clean, but engine memory is in use"
        )
