"""The HTTP client of plain services."""

import urllib3

from hemlockreel import outcomes

from . import backends
from . import hop_headers
from . import http_calls
from . import mailbox

REQUEST_ID = "X-Request-Id"
ATTEMPT = "X-Attempt"
TRACE = "traceparent"

# Not forwarded: hop-by-hop headers and those that this daemon sets itself.
OWN_HEADERS = hop_headers.NAMES | {REQUEST_ID.lower(), ATTEMPT.lower(), TRACE}


class Services:
    """Calls of plain services over HTTP; see docs/design/protocols.md."""

    def call(
        self,
        address: str,
        call: backends.Call,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox | None,
    ) -> outcomes.Responded | backends.CallFailure:
        """Sends a call once and returns the complete response."""
        opened = http_calls.open_call(
            address,
            call.method,
            call.target,
            call.body or None,
            _backend_headers(call, traceparent),
            timeout_s,
            box,
        )
        if isinstance(opened, http_calls.CallFailed):
            return _to_call_failure(opened)
        try:
            with http_calls.interrupting(box, opened.sock):
                return _read_response(opened, call)
        finally:
            opened.close()


def _backend_headers(
    call: backends.Call, traceparent: str
) -> urllib3.HTTPHeaderDict:
    """Returns the headers of the request to the backend server."""
    headers = hop_headers.select_forwarded(call.headers, OWN_HEADERS)
    headers[REQUEST_ID] = call.request_id
    headers[ATTEMPT] = str(call.attempt)
    headers[TRACE] = traceparent
    return headers


def _read_response(
    opened: http_calls.OpenResponse, call: backends.Call
) -> outcomes.Responded | backends.CallFailure:
    response = opened.response
    try:
        body = opened.read_body()
    except http_calls.CALL_ERRORS as error:
        return _to_call_failure(http_calls.to_failure(error))
    identity = (
        response.headers.get(REQUEST_ID),
        response.headers.get(ATTEMPT),
    )
    if identity != (call.request_id, str(call.attempt)):
        return backends.CallFailure(
            True,
            "the backend server answered another request",
            mismatched=True,
        )
    return outcomes.Responded(
        response.status, _caller_headers(response, call), body
    )


def _caller_headers(
    response: urllib3.BaseHTTPResponse, call: backends.Call
) -> tuple[tuple[str, str], ...]:
    """Returns the response headers that are forwarded to the caller."""
    dropped = {
        *OWN_HEADERS,
        *hop_headers.named_in_connection(response.headers.items()),
    }
    if call.method == "HEAD":
        dropped.discard("content-length")
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    )


def _to_call_failure(failed: http_calls.CallFailed) -> backends.CallFailure:
    return backends.CallFailure(failed.sent, failed.detail, failed.timed_out)
