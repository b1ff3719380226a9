"""The HTTP client of model engines: control path and data path."""

from collections.abc import Iterator
import json

import msgspec

from hemlockreel import actions
from hemlockreel import events

from . import backends
from . import clock
from . import http_calls
from . import mailbox

CONTROL_PATHS = {
    "load": "/v1/load",
    "cancel": "/v1/cancel",
    "requests": "/v1/requests",
    "cache/events": "/v1/cache/events",
    "orders": "/v1/orders",
}


OK = 200
SERVER_ERROR = 500
# With each of these the engine states that it did not start the decode.
EVICTED_STATUS = 409
MEMORY_FULL_STATUS = 507


class _TokenLine(msgspec.Struct, frozen=True):
    """One line of a decode stream: a token as JSON."""

    request_id: str
    attempt: int
    offset: int
    text: str
    done: bool


class _PrefillResponse(msgspec.Struct, frozen=True):
    """The response to a prefill."""

    request_id: str
    attempt: int
    handle: str
    prompt_tokens: int
    cached_tokens: int


_decoder = msgspec.json.Decoder(_TokenLine)


def control(action: actions.CallEngine) -> events.EngineResponded:
    """Makes a call of the control path.

    The event's status is 0 if there was no response, or if ``not_after`` had
    passed and the call was therefore not sent.
    """
    if action.not_after is not None and clock.now() > action.not_after:
        return _no_response(action)
    method = "GET" if action.body is None else "POST"
    path = CONTROL_PATHS[action.operation] + action.query
    result = http_calls.call_json(
        action.address, method, path, action.body, None, action.timeout_s
    )
    if isinstance(result, http_calls.CallFailed):
        return _no_response(action)
    status, body = result[:2]
    return events.EngineResponded(
        action.call_id, action.address, action.operation, status, body
    )


def _no_response(action: actions.CallEngine) -> events.EngineResponded:
    return events.EngineResponded(
        action.call_id, action.address, action.operation, 0, {}
    )


class Engines:
    """The data path of engines over HTTP; see docs/design/protocols.md."""

    def prefill(
        self,
        address: str,
        request: backends.PrefillRequest,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox,
    ) -> backends.Prefilled | backends.PrefillFailure:
        """Prefills a prompt."""
        body = {
            "request_id": request.request_id,
            "attempt": request.attempt,
            "prompt": request.text,
            "priority": request.priority,
        }
        headers = {"traceparent": traceparent}
        result = http_calls.call_json(
            address, "POST", "/v1/prefill", body, headers, timeout_s, box
        )
        if isinstance(result, http_calls.CallFailed):
            return backends.PrefillFailure(result.sent, result.detail)
        if result[0] != OK:
            return backends.PrefillFailure(
                True, _describe_error(result[0], result[1])
            )
        return _parse_prefill_response(request, result[1])

    def decode(
        self,
        address: str,
        request: backends.DecodeRequest,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox,
    ) -> http_calls.OpenResponse | backends.DecodeFailure:
        """Starts or resumes a decode."""
        headers = {
            "Content-Type": "application/json",
            "traceparent": traceparent,
        }
        data = json.dumps(request._asdict()).encode()
        opened = http_calls.open_call(
            address, "POST", "/v1/decode", data, headers, timeout_s, box
        )
        if isinstance(opened, http_calls.CallFailed):
            cause = (
                backends.Cause.LOST
                if opened.sent
                else backends.Cause.UNREACHED
            )
            return backends.DecodeFailure(cause, opened.detail)
        status = opened.response.status
        if status == OK:
            return opened
        opened.close()
        detail = f"the engine answered {status}"
        return backends.DecodeFailure(_cause_of_status(status), detail)

    def tokens(
        self,
        opened: http_calls.OpenResponse,
        idle_timeout_s: float,
        box: mailbox.Mailbox,
    ) -> Iterator[backends.Token | backends.StreamFailure]:
        """Yields the tokens of a stream, then the failure that broke it.

        A line that can't be decoded breaks the stream, too.
        """
        rest = b""
        try:
            size = http_calls.limits().event_bytes
            opened.sock.set_limits(idle_timeout_s, size)
            with (
                box.interrupting(opened.sock),
                http_calls.hold_memory(opened.sock) as holding,
            ):
                for chunk in opened.response.stream(
                    http_calls.READ_BYTES, decode_content=False
                ):
                    *lines, rest = (rest + chunk).split(b"\n")
                    holding.resize(len(rest))
                    if lines:
                        # Only a complete token ends the wait for the next.
                        opened.sock.set_limits(idle_timeout_s, size)
                    for line in lines:
                        token = _decoder.decode(line)
                        yield backends.Token(*msgspec.structs.astuple(token))
        except (*http_calls.CALL_ERRORS, msgspec.MsgspecError) as error:
            yield backends.StreamFailure(f"{type(error).__name__}: {error}")

    def cancel(self, address: str, request_id: str, timeout_s: float) -> bool:
        """Cancels a request; true if the engine confirms it holds nothing."""
        result = http_calls.call_json(
            address,
            "POST",
            CONTROL_PATHS["cancel"],
            {"request_id": request_id},
            timeout_s=timeout_s,
        )
        if isinstance(result, http_calls.CallFailed) or result[0] != OK:
            return False
        body = result[1]
        return isinstance(body, dict) and body.get("held") is False


def _describe_error(status: int, body: object) -> str:
    """Returns an engine's error as text, with its reason if it names one.

    >>> _describe_error(409, {"error": "cancelled"})
    'the engine answered 409 cancelled'
    """
    reason = body.get("error", "") if isinstance(body, dict) else ""
    return f"the engine answered {status} {reason}".rstrip()


def _parse_prefill_response(
    request: backends.PrefillRequest, body: object
) -> backends.Prefilled | backends.PrefillFailure:
    try:
        response = msgspec.convert(body, _PrefillResponse)
    except msgspec.ValidationError as error:
        return backends.PrefillFailure(True, f"the engine's answer: {error}")
    if (response.request_id, response.attempt) != (
        request.request_id,
        request.attempt,
    ):
        detail = "the engine answered another request"
        return backends.PrefillFailure(True, detail, mismatched=True)
    return backends.Prefilled(
        response.handle, response.prompt_tokens, response.cached_tokens
    )


def _cause_of_status(status: int) -> backends.Cause:
    if status == EVICTED_STATUS:
        return backends.Cause.EVICTED
    if status == MEMORY_FULL_STATUS:
        return backends.Cause.MEMORY_FULL
    if status >= SERVER_ERROR:
        return backends.Cause.FAILED
    return backends.Cause.REFUSED
