"""Engine responses that violate the protocol, and failed calls.

They guard against taking a malformed response or that of another request for
a success.
"""

import types

import pytest

from hemlockreel_daemon import backends
from hemlockreel_daemon import engine_client
from hemlockreel_daemon import http_calls

PREFILL = backends.PrefillRequest("r1", 2, "a prompt", 1)
ASKED = backends.DecodeRequest("r1", 2, "handle", "p:1", 2, 3, 1)
PREFILL_BODY = {
    "request_id": "r1",
    "attempt": 2,
    "handle": "handle",
    "prompt_tokens": 2,
    "cached_tokens": 0,
}


@pytest.fixture
def set_response(monkeypatch):
    """Returns a function that sets the found of the next calls."""

    def set_to(found):
        monkeypatch.setattr(http_calls, "call_json", lambda *_, **__: found)
        monkeypatch.setattr(http_calls, "open_call", lambda *_, **__: found)

    return set_to


def prefill():
    return engine_client.Engines().prefill("e:1", PREFILL, "", 1.0, None)


def decode():
    return engine_client.Engines().decode("e:1", ASKED, "", 1.0, None)


def cancel():
    return engine_client.Engines().cancel("e:1", "r1", 1.0)


def test_prefill_returns_the_handle(set_response):
    set_response((200, PREFILL_BODY, {}))
    assert prefill() == backends.Prefilled("handle", 2, 0)


@pytest.mark.parametrize(
    "body, detail",
    [
        ({"error": "cancelled"}, "the engine answered 409 cancelled"),
        ({}, "the engine answered 409"),
        ("text", "the engine answered 409"),
    ],
)
def test_refused_prefill_names_the_reason_of_the_engine(
    set_response, body, detail
):
    set_response((409, body, {}))
    assert prefill() == backends.PrefillFailure(True, detail)


@pytest.mark.parametrize(
    "found",
    [
        {},
        [],
        "text",
        None,
        {**PREFILL_BODY, "handle": 7},
        {**PREFILL_BODY, "cached_tokens": None},
    ],
)
def test_malformed_response_is_a_prefill_failure(set_response, found):
    set_response((200, found, {}))
    failed = prefill()
    assert isinstance(failed, backends.PrefillFailure)
    assert failed.sent
    assert not failed.mismatched


@pytest.mark.parametrize("name", ["request_id", "attempt"])
def test_response_to_another_request_is_marked_as_mismatched(
    set_response, name
):
    other = "r2" if name == "request_id" else 3
    set_response((200, {**PREFILL_BODY, name: other}, {}))
    assert prefill().mismatched


@pytest.mark.parametrize("sent", [True, False])
def test_prefill_without_response_reports_whether_it_was_sent(
    set_response, sent
):
    set_response(http_calls.CallFailed(sent, "reset"))
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
def test_decode_status_determines_the_cause(set_response, status, cause):
    closed = []
    stub = types.SimpleNamespace(status=status, close=lambda: closed.append(1))
    set_response(http_calls.OpenResponse(stub, stub, stub))
    assert decode().cause is cause
    assert closed


@pytest.mark.parametrize(
    ("sent", "cause"),
    [(True, backends.Cause.LOST), (False, backends.Cause.UNREACHED)],
)
def test_decode_without_response(set_response, sent, cause):
    set_response(http_calls.CallFailed(sent, "reset"))
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
def test_only_held_false_confirms_a_cancel(set_response, found, confirmed):
    set_response(found)
    assert cancel() is confirmed
