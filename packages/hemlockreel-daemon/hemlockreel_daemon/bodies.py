"""Reads and validates the bodies of callers' requests."""

from typing import Literal
from typing import NamedTuple

import cherrypy
import msgspec

from . import caller_limits


class InvalidRequest(NamedTuple):
    """Why a request is invalid: the HTTP status and an error message."""

    status: int
    message: str


class Completion(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a completion request.

    Empty or zero fields take the defaults of the model pool.
    """

    model: str
    prompt: str
    max_tokens: int = 0
    stream: bool = False
    priority_class: Literal["", "interactive", "deferrable"] = msgspec.field(
        default="", name="class"
    )
    deadline_ms: int = 0


_completions = msgspec.json.Decoder(Completion)


def read_body(limit: int) -> bytes | InvalidRequest:
    """Reads the body of the current request, up to ``limit`` bytes."""
    request = cherrypy.request
    length = request.headers.get("Content-Length")
    if "Transfer-Encoding" in request.headers:
        return _read_chunks(limit)
    if length is None:
        return b""
    if not (length.isascii() and length.isdigit()):
        return InvalidRequest(400, f"Content-Length is no number: {length!r}")
    if int(length) > limit:
        return _too_long(limit)
    try:
        return request.rfile.read(int(length))
    except caller_limits.Refused as refused:
        return _refuse(refused)
    except caller_limits.MalformedBody:
        return InvalidRequest(
            400, "the body is shorter than its Content-Length"
        )


def _read_chunks(limit: int) -> bytes | InvalidRequest:
    try:
        body = cherrypy.request.rfile.read(limit)
    except caller_limits.Refused as refused:
        return _refuse(refused)
    except (ValueError, OSError) as error:
        return InvalidRequest(400, f"the chunked body is broken: {error}")
    return body


def _refuse(refused: caller_limits.Refused) -> InvalidRequest:
    cherrypy.response.headers["Connection"] = "close"
    return InvalidRequest(refused.status, str(refused))


def _too_long(limit: int) -> InvalidRequest:
    # The rest of the body is not read, so the connection can't be reused.
    cherrypy.response.headers["Connection"] = "close"
    return InvalidRequest(413, f"the body is over {limit} bytes")


def parse_completion(body: bytes) -> Completion | InvalidRequest:
    """Decodes and validates the body of a completion request."""
    content_type = cherrypy.request.headers.get("Content-Type", "")
    if content_type.partition(";")[0].strip().lower() != "application/json":
        return InvalidRequest(415, "the content type must be application/json")
    try:
        completion = _completions.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return InvalidRequest(400, str(error))
    if not completion.prompt:
        return InvalidRequest(400, "the prompt is empty - at `$.prompt`")
    if completion.max_tokens < 0:
        return InvalidRequest(
            400, "expected a number from 0 - at `$.max_tokens`"
        )
    if completion.deadline_ms < 0:
        return InvalidRequest(
            400, "expected a number from 0 - at `$.deadline_ms`"
        )
    return completion
