"""JSON responses and refusals of the HTTP interfaces."""

import json
import math
import sys
from typing import Any

import cherrypy

from hemlockreel import outcomes

from . import bodies
from . import logs

STATUS = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.INTERNAL_ERROR: 500,
    outcomes.Reason.UNKNOWN_KEY: 401,
    outcomes.Reason.UNKNOWN_MODEL: 404,
    outcomes.Reason.UNKNOWN_ROUTE: 404,
    outcomes.Reason.PROMPT_TOO_LONG: 413,
    outcomes.Reason.KEY_REQUIRED: 400,
    outcomes.Reason.KEY_REUSED: 422,
    outcomes.Reason.IN_PROGRESS: 409,
    outcomes.Reason.OUTCOME_UNKNOWN: 409,
    outcomes.Reason.RESPONSE_NOT_KEPT: 409,
    outcomes.Reason.QUOTA: 429,
    outcomes.Reason.BACKEND_REFUSED: 502,
    outcomes.Reason.BACKEND_FAILED: 502,
    outcomes.Reason.BACKEND_SILENT: 504,
    outcomes.Reason.REVOKED: 502,
}
DEFAULT_STATUS = 503  # for all other reasons


def describe(refused: outcomes.Refused, request_id: str) -> dict[str, Any]:
    """Returns the body of a refusal, before it is encoded."""
    error: dict[str, Any] = {
        "reason": refused.reason.value,
        "ran": refused.ran.value,
        "message": refused.detail or refused.reason.value.replace("_", " "),
        "request_id": request_id,
    }
    if refused.retry_after_s is not None:
        error["retry_after_s"] = round(refused.retry_after_s, 3)
    return {"error": error}


def refuse(
    refused: outcomes.Refused,
    request_id: str,
    status: int | None = None,
    addresses: list[str] | None = None,
) -> bytes:
    """Sets the status and headers of a refusal and returns its encoded body.

    ``status`` overrides the one of :data:`STATUS`. ``addresses`` are those
    that the caller should use instead.
    """
    response = cherrypy.response
    response.status = status or STATUS.get(refused.reason, DEFAULT_STATUS)
    if refused.retry_after_s is not None:
        # The header takes whole seconds; the body has milliseconds.
        seconds = math.ceil(refused.retry_after_s)
        response.headers["Retry-After"] = str(seconds)
    body = describe(refused, request_id)
    if addresses is not None:
        body["error"]["addresses"] = addresses
    return send_json(body, request_id)


def refuse_invalid(invalid: bodies.InvalidRequest, request_id: str) -> bytes:
    """Refuses a request that failed validation."""
    reason = outcomes.Reason.BAD_REQUEST
    refused = outcomes.not_run(reason, detail=invalid.message)
    return refuse(refused, request_id, invalid.status)


def respond_internal_error(error: Exception, request_id: str) -> bytes:
    """Logs an unexpected exception and refuses the request.

    Whether the request ran at a backend server is unknown then.
    """
    logs.write("worker_failed", {"error": repr(error)})
    reason = outcomes.Reason.INTERNAL_ERROR
    return refuse(outcomes.may_have_run(reason), request_id)


def respond_to_unhandled_error() -> None:
    """Responds to an exception that was raised outside of a handler."""
    response = cherrypy.response
    response.body = [respond_internal_error(sys.exc_info()[1], "")]
    response.headers.pop("Content-Length", None)


def send_json(value: Any, request_id: str = "") -> bytes:
    """Sets the headers of a JSON response and returns its encoded body."""
    response = cherrypy.response
    response.headers["Content-Type"] = "application/json"
    if request_id:
        response.headers["X-Request-Id"] = request_id
    return json.dumps(value).encode() + b"\n"
