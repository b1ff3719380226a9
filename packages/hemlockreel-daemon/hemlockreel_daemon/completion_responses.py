"""Encodes completion responses, as server-sent events or as one JSON body."""

from collections.abc import Iterator
import socket
from typing import Any

import cherrypy
import msgspec

from hemlockreel import outcomes

from . import caller_sockets
from . import completion_handler
from . import daemon as daemons
from . import decoding
from . import responses

DONE = b"data: [DONE]\n\n"

_encode = msgspec.json.encode


def collect(
    daemon: daemons.Daemon,
    request_id: str,
    parts: Iterator[completion_handler.ResponsePart],
) -> bytes:
    """Returns the whole response as one JSON body, or a refusal."""
    text = []
    path = None
    finished = decoding.Finished(0)
    for part in parts:
        if isinstance(part, str):
            text.append(part)
        elif isinstance(part, completion_handler.RequestPath):
            path = part
        elif isinstance(part, outcomes.Refused):
            count_outcome(daemon, part)
            return responses.refuse(part, request_id)
        else:
            finished = part
    count_outcome(daemon, None)
    return responses.send_json(
        {
            "id": request_id,
            "object": "text_completion",
            "choices": [
                {
                    "index": 0,
                    "text": "".join(text),
                    "finish_reason": "length",
                }
            ],
            "usage": {"completion_tokens": finished.output_tokens},
            "hops": _describe_path(daemon, path),
        },
        request_id,
    )


def stream(
    daemon: daemons.Daemon,
    request_id: str,
    parts: Iterator[completion_handler.ResponsePart],
    caller: socket.socket,
) -> Iterator[bytes] | bytes:
    """Returns the response as server-sent events.

    A refusal before the first token is returned as a plain JSON body with its
    own HTTP status.
    """
    first = next(parts)
    path = None
    while isinstance(first, completion_handler.RequestPath):
        path = first
        first = next(parts)
    if isinstance(first, outcomes.Refused):
        parts.close()
        count_outcome(daemon, first)
        return responses.refuse(first, request_id)
    response = cherrypy.response
    response.stream = True
    response.headers["Content-Type"] = "text/event-stream"
    response.headers["Cache-Control"] = "no-store"
    response.headers["X-Request-Id"] = request_id
    hops = _describe_path(daemon, path)
    head = _encode_event({"id": request_id, "hops": hops, "choices": []})
    return _events(daemon, request_id, head, first, parts, caller)


def _events(
    daemon: daemons.Daemon,
    request_id: str,
    head: bytes,
    part: completion_handler.ResponsePart,
    parts: Iterator[completion_handler.ResponsePart],
    caller: socket.socket,
) -> Iterator[bytes]:
    """Yields the encoded events of a response.

    After the error event of a truncated response the connection is aborted,
    because a body with a regular HTTP end would look complete.
    """
    before, after = _text_event_frame(request_id)
    try:
        yield head
        while isinstance(part, str):
            yield before + _encode(part) + after
            part = next(parts)
        if isinstance(part, decoding.Finished):
            count_outcome(daemon, None)
            choice = {"index": 0, "text": "", "finish_reason": "length"}
            yield _encode_event({"id": request_id, "choices": [choice]}) + DONE
            return
        count_outcome(daemon, part)
        yield _encode_event(responses.describe(part, request_id))
        caller_sockets.abort(caller)
    finally:
        parts.close()


def _text_event_frame(request_id: str) -> tuple[bytes, bytes]:
    """Returns the bytes before and after the text of each event.

    Only the text differs from token to token, so the rest is encoded once.
    """
    choice = {"index": 0, "text": "", "finish_reason": None}
    event = _encode_event({"id": request_id, "choices": [choice]})
    key = b'"text":'
    before, _, after = event.partition(key + b'""')
    return before + key, after


def count_outcome(
    daemon: daemons.Daemon, refused: outcomes.Refused | None
) -> None:
    """Counts a completion by its outcome; ``None`` means success."""
    outcome = refused.reason.value if refused else "answered"
    daemon.metrics.count("requests", 1, ("completion", outcome))


def _describe_path(
    daemon: daemons.Daemon, path: completion_handler.RequestPath | None
) -> dict[str, str]:
    entry = daemon.board.identity.host
    return {"entry": entry} | (path._asdict() if path else {})


def _encode_event(value: Any) -> bytes:
    return b"data: " + _encode(value) + b"\n\n"
