"""Answers completions, streamed as server-sent events or as one body."""

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
    parts: Iterator[completion_handler.Part],
) -> bytes:
    """Returns the whole answer as one body, or a refusal."""
    text = []
    hop = None
    finished = decoding.Finished(0)
    for part in parts:
        if isinstance(part, str):
            text.append(part)
        elif isinstance(part, completion_handler.Hop):
            hop = part
        elif isinstance(part, outcomes.Refused):
            count(daemon, part)
            return responses.refuse(part, request_id)
        else:
            finished = part
    count(daemon, None)
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
            "hops": _describe(daemon, hop),
        },
        request_id,
    )


def stream(
    daemon: daemons.Daemon,
    request_id: str,
    parts: Iterator[completion_handler.Part],
    caller: socket.socket,
) -> Iterator[bytes] | bytes:
    """Answers a refusal plainly and all else as server-sent events."""
    first = next(parts)
    hop = None
    while isinstance(first, completion_handler.Hop):
        hop = first
        first = next(parts)
    if isinstance(first, outcomes.Refused):
        parts.close()
        count(daemon, first)
        return responses.refuse(first, request_id)
    response = cherrypy.response
    response.stream = True
    response.headers["Content-Type"] = "text/event-stream"
    response.headers["Cache-Control"] = "no-store"
    response.headers["X-Request-Id"] = request_id
    hops = _describe(daemon, hop)
    head = _event({"id": request_id, "hops": hops, "choices": []})
    return _events(daemon, request_id, head, first, parts, caller)


def _events(
    daemon: daemons.Daemon,
    request_id: str,
    head: bytes,
    part: completion_handler.Part,
    parts: Iterator[completion_handler.Part],
    caller: socket.socket,
) -> Iterator[bytes]:
    """Yields the events of an answer.

    The connection of an answer that was cut is broken off after the event
    that says so: a body that ends as HTTP wants it would look whole.
    """
    before, after = _frame(request_id)
    try:
        yield head
        while isinstance(part, str):
            yield before + _encode(part) + after
            part = next(parts)
        if isinstance(part, decoding.Finished):
            count(daemon, None)
            choice = {"index": 0, "text": "", "finish_reason": "length"}
            yield _event({"id": request_id, "choices": [choice]}) + DONE
            return
        count(daemon, part)
        yield _event(responses.describe(part, request_id))
        caller_sockets.abort(caller)
    finally:
        parts.close()


def _frame(request_id: str) -> tuple[bytes, bytes]:
    """Returns what stands before and after the text of each event.

    Only the text changes from token to token.
    """
    choice = {"index": 0, "text": "", "finish_reason": None}
    event = _event({"id": request_id, "choices": [choice]})
    mark = b'"text":'
    before, _, after = event.partition(mark + b'""')
    return before + mark, after


def count(daemon: daemons.Daemon, refused: outcomes.Refused | None) -> None:
    """Counts the outcome of a completion."""
    outcome = refused.reason.value if refused else "answered"
    daemon.metrics.count("requests", 1, ("completion", outcome))


def _describe(
    daemon: daemons.Daemon, hop: completion_handler.Hop | None
) -> dict[str, str]:
    entry = daemon.board.identity.host
    return {"entry": entry} | (hop._asdict() if hop else {})


def _event(value: Any) -> bytes:
    return b"data: " + _encode(value) + b"\n\n"
