"""Pattern: answers of engines that are not what the protocol says."""

import types

import pytest

from hemlockreel_daemon import backends
from hemlockreel_daemon import engine_client
from hemlockreel_daemon import http_calls

PROMPT = backends.PrefillRequest("r1", 2, "a prompt", 1)
ASKED = backends.DecodeRequest("r1", 2, "handle", "p:1", 2, 3, 1)
READ = {
    "request_id": "r1",
    "attempt": 2,
    "handle": "handle",
    "prompt_tokens": 2,
    "cached_tokens": 0,
}


@pytest.fixture
def answer(monkeypatch):
    """Returns a function that sets the next answer of an engine."""

    def set_to(found):
        monkeypatch.setattr(http_calls, "call_json", lambda *_, **__: found)
        monkeypatch.setattr(http_calls, "open_call", lambda *_, **__: found)

    return set_to


def prefill():
    return engine_client.Engines().prefill("e:1", PROMPT, "", 1.0, None)


def decode():
    return engine_client.Engines().decode("e:1", ASKED, "", 1.0, None)


def cancel():
    return engine_client.Engines().cancel("e:1", "r1", 1.0)


def test_prompt_that_was_read(answer):
    answer((200, READ, {}))
    assert prefill() == backends.Prefilled("handle", 2, 0)


@pytest.mark.parametrize(
    "found",
    [
        {},
        [],
        "text",
        None,
        {**READ, "handle": 7},
        {**READ, "cached_tokens": None},
    ],
)
def test_answer_that_lacks_something_is_a_failed_attempt(answer, found):
    answer((200, found, {}))
    failed = prefill()
    assert isinstance(failed, backends.PrefillFailure)
    assert failed.sent
    assert not failed.mismatched


@pytest.mark.parametrize("name", ["request_id", "attempt"])
def test_answer_to_another_request_is_told_apart(answer, name):
    other = "r2" if name == "request_id" else 3
    answer((200, {**READ, name: other}, {}))
    assert prefill().mismatched


@pytest.mark.parametrize("sent", [True, False])
def test_prefill_without_an_answer_tells_whether_it_was_sent(answer, sent):
    answer(http_calls.CallFailed(sent, "reset"))
    assert prefill() == backends.PrefillFailure(sent, "reset")


@pytest.mark.parametrize(
    ("status", "cause"),
    [
        (409, backends.Cause.EVICTED),
        (507, backends.Cause.MEMORY_FULL),
        (400, backends.Cause.REFUSED),
        (404, backends.Cause.REFUSED),
        (500, backends.Cause.FAILED),
        (503, backends.Cause.FAILED),
    ],
)
def test_status_of_a_decode_tells_the_cause(answer, status, cause):
    closed = []
    link = types.SimpleNamespace(status=status, close=lambda: closed.append(1))
    answer(http_calls.OpenResponse(link, link, link))
    assert decode().cause is cause
    assert closed


@pytest.mark.parametrize(
    ("sent", "cause"),
    [(True, backends.Cause.LOST), (False, backends.Cause.UNREACHED)],
)
def test_decode_without_an_answer(answer, sent, cause):
    answer(http_calls.CallFailed(sent, "reset"))
    assert decode() == backends.DecodeFailure(cause, "reset")


@pytest.mark.parametrize(
    ("found", "confirmed"),
    [
        ((200, {"held": False}, {}), True),
        ((200, {"held": True}, {}), False),
        ((200, {}, {}), False),
        ((200, [], {}), False),
        ((500, {"held": False}, {}), False),
        (http_calls.CallFailed(True, "reset"), False),
    ],
)
def test_only_a_clear_answer_confirms_a_cancel(answer, found, confirmed):
    answer(found)
    assert cancel() is confirmed
