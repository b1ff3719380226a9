"""The callers' listener: addresses, completions and plain calls."""

from collections.abc import Iterator
import json
import threading
from typing import Any

import cherrypy
import msgspec

from hemlockreel import addresses
from hemlockreel import outcomes

from . import answers
from . import callers_socket
from . import calls
from . import daemon as daemons
from . import generate
from . import routing
from . import servers

MAX_COMPLETION_BYTES = 4 * 2**20
ORGANISATION_HEADER = "X-Organisation"
INTERACTIVE_PRIORITY = 1


class Completion(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request for a completion.

    ``class`` is ``interactive`` or ``deferrable``; without it the pool's
    default holds.
    """

    model: str
    prompt: str
    max_tokens: int = 0
    stream: bool = False
    klass: str = msgspec.field(default="", name="class")
    deadline_ms: int = 0


class Callers:
    """The root of the callers' listener."""

    def __init__(self, daemon: daemons.Daemon):
        self._daemon = daemon
        self._lock = threading.Lock()
        self.active = 0

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Any:
        """Answers every path of this listener."""
        request_id = self._daemon.new_id()
        with self._lock:
            full = self.active >= self._daemon.settings.max_in_flight
            if not full:
                self.active += 1
        if full:
            reason = outcomes.Reason.OVERLOADED
            return answers.refuse(outcomes.not_run(reason, 1.0), request_id)
        self._daemon.metrics.in_flight.inc()
        try:
            answer = self._answer(request_id, query)
        except BaseException:
            self._leave()
            raise
        if isinstance(answer, Iterator):
            return _Guarded(answer, self._leave)
        self._leave()
        return answer

    def _leave(self) -> None:
        with self._lock:
            self.active -= 1
        self._daemon.metrics.in_flight.dec()

    def _answer(self, request_id: str, query: dict[str, str]) -> Any:
        request = cherrypy.request
        if request.path_info == "/v1/addresses":
            return self._addresses(query)
        if self._daemon.loop.closed:
            reason = outcomes.Reason.DRAINING
            refused = outcomes.not_run(reason, 1.0)
            return answers.refuse(refused, request_id)
        if request.path_info == "/v1/completions":
            return self._complete(request_id)
        return self._call(request_id)

    def _addresses(self, query: dict[str, str]) -> bytes:
        caller = query.get("caller") or cherrypy.request.remote.ip
        found, ttl_s = self._daemon.loop.ask(
            lambda board: addresses.get(board, caller)
        )
        return answers.send_json({"addresses": found, "ttl_s": ttl_s})

    # Completions

    def _complete(self, request_id: str) -> Any:
        body = _read_body(MAX_COMPLETION_BYTES)
        if isinstance(body, _Wrong):
            return _refuse_wrong(body, request_id)
        completion = _parse(body)
        if isinstance(completion, _Wrong):
            return _refuse_wrong(completion, request_id)
        headers = cherrypy.request.headers
        deadline_s = completion.deadline_ms / 1000
        job = generate.Job(
            request_id,
            completion.model,
            completion.prompt,
            headers.get(ORGANISATION_HEADER, ""),
            completion.klass,
            completion.max_tokens,
            deadline_s,
            INTERACTIVE_PRIORITY,
            _watch_caller(),
            headers.get("traceparent", ""),
        )
        limited = routing.limit(self._daemon.loop.configuration, job)
        if isinstance(limited, outcomes.Refused):
            return answers.refuse(limited, request_id)
        parts = generate.run_traced(self._daemon, limited)
        if completion.stream:
            return self._stream(request_id, parts)
        return self._collect(request_id, parts)

    def _collect(
        self, request_id: str, parts: Iterator[generate.Part]
    ) -> bytes:
        text = []
        hop = None
        for part in parts:
            if isinstance(part, generate.Hop):
                hop = part
            elif isinstance(part, str):
                text.append(part)
            elif isinstance(part, outcomes.Refused):
                self._count("completion", part)
                return answers.refuse(part, request_id)
        self._count("completion", None)
        return answers.send_json(
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
                "usage": {"completion_tokens": len(text)},
                "hops": _describe_hop(self._daemon, hop),
            },
            request_id,
        )

    def _stream(
        self, request_id: str, parts: Iterator[generate.Part]
    ) -> Iterator[bytes] | bytes:
        """Answers a refusal plainly and all else as server-sent events."""
        first = next(parts)
        hop = None
        if isinstance(first, generate.Hop):
            hop = first
            first = next(parts)
        if isinstance(first, outcomes.Refused):
            parts.close()
            self._count("completion", first)
            return answers.refuse(first, request_id)
        response = cherrypy.response
        response.stream = True
        response.headers["Content-Type"] = "text/event-stream"
        response.headers["Cache-Control"] = "no-store"
        response.headers["X-Request-Id"] = request_id
        hops = _describe_hop(self._daemon, hop)
        return self._events(request_id, hops, first, parts)

    def _events(
        self,
        request_id: str,
        hops: dict[str, str],
        first: generate.Part,
        parts: Iterator[generate.Part],
    ) -> Iterator[bytes]:
        try:
            yield _event({"id": request_id, "hops": hops, "choices": []})
            yield from self._shown(request_id, first)
            for part in parts:
                yield from self._shown(request_id, part)
        finally:
            parts.close()

    def _shown(self, request_id: str, part: generate.Part) -> Iterator[bytes]:
        if isinstance(part, str):
            choice = {"index": 0, "text": part, "finish_reason": None}
            yield _event({"id": request_id, "choices": [choice]})
        elif isinstance(part, generate.Finished):
            self._count("completion", None)
            choice = {"index": 0, "text": "", "finish_reason": "length"}
            yield _event({"id": request_id, "choices": [choice]})
            yield b"data: [DONE]\n\n"
        elif isinstance(part, outcomes.Refused):
            self._count("completion", part)
            yield _event(answers.describe(part, request_id))

    # Plain calls

    def _call(self, request_id: str) -> bytes:
        request = cherrypy.request
        route = routing.find(
            self._daemon.loop.configuration, request.path_info
        )
        if isinstance(route, outcomes.Refused):
            return answers.refuse(route, request_id)
        body = _read_body(route.max_body_bytes)
        if isinstance(body, _Wrong):
            return _refuse_wrong(body, request_id)
        key = request.headers.get("Idempotency-Key", "")
        if (
            route.key_required
            and not key
            and request.method in route.non_idempotent
        ):
            reason = outcomes.Reason.KEY_REQUIRED
            detail = "this call needs the header Idempotency-Key"
            refused = outcomes.not_run(reason, detail=detail)
            return answers.refuse(refused, request_id)
        target = request.path_info
        if request.query_string:
            target += "?" + request.query_string
        job = calls.Job(
            request_id,
            route,
            request.method,
            target,
            tuple(request.headers.items()),
            body,
            request.headers.get(ORGANISATION_HEADER, ""),
            key,
            _watch_caller(),
            request.headers.get("traceparent", ""),
        )
        carried = calls.run(self._daemon, job)
        response = cherrypy.response
        response.headers["X-Hop-Entry"] = self._daemon.board.identity.host
        response.headers["X-Hop-Owner"] = carried.owner
        response.headers["X-Hop-Replica"] = carried.replica
        if isinstance(carried.outcome, outcomes.Refused):
            self._count("call", carried.outcome)
            return answers.refuse(carried.outcome, request_id)
        self._count("call", None)
        response.status = carried.outcome.status
        for name, value in carried.outcome.headers:
            response.headers[name] = value
        response.headers["X-Request-Id"] = request_id
        return carried.outcome.body

    def _count(self, kind: str, refused: outcomes.Refused | None) -> None:
        outcome = refused.reason.value if refused else "answered"
        self._daemon.metrics.count("requests", 1, (kind, outcome))


class _Guarded:
    """An iterator over a streamed body that runs ``leave`` at its end.

    The server closes it when the caller has gone.
    """

    def __init__(self, parts, leave):
        self._parts = parts
        self._leave = leave
        self._left = False

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._parts)
        except BaseException:
            self.close()
            raise

    def close(self):
        """Ends the stream and its request."""
        if not self._left:
            self._left = True
            try:
                self._parts.close()
            finally:
                self._leave()


class _Wrong(Exception):
    """A request that is wrong; holds the status and the message."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


def _refuse_wrong(wrong: _Wrong, request_id: str) -> bytes:
    reason = outcomes.Reason.BAD_REQUEST
    refused = outcomes.not_run(reason, detail=str(wrong))
    return answers.refuse(refused, request_id, wrong.status)


def _read_body(limit: int) -> bytes | _Wrong:
    """Reads the body of the request at hand, up to ``limit`` bytes."""
    request = cherrypy.request
    length = request.headers.get("Content-Length")
    if length is None and "Transfer-Encoding" in request.headers:
        body = request.rfile.read(limit + 1)
    elif length is None:
        return b""
    elif int(length) > limit:
        return _Wrong(413, f"the body is over {limit} bytes")
    else:
        body = request.rfile.read(int(length))
    if len(body) > limit:
        return _Wrong(413, f"the body is over {limit} bytes")
    return body


def _parse(body: bytes) -> Completion | _Wrong:
    request = cherrypy.request
    if request.method != "POST":
        return _Wrong(405, "completions are asked for by POST")
    content_type = request.headers.get("Content-Type", "")
    if content_type.partition(";")[0].strip() != "application/json":
        return _Wrong(415, "the content type must be application/json")
    try:
        completion = msgspec.json.decode(body, type=Completion)
    except msgspec.DecodeError as error:
        return _Wrong(400, str(error))
    if not completion.prompt:
        return _Wrong(400, "the prompt is empty - at `$.prompt`")
    if completion.max_tokens < 0 or completion.deadline_ms < 0:
        return _Wrong(400, "max_tokens and deadline_ms can't be negative")
    if completion.klass not in ("", "interactive", "deferrable"):
        return _Wrong(400, "expected interactive or deferrable - at `$.class`")
    return completion


def _watch_caller():
    environ = cherrypy.request.wsgi_environ
    return callers_socket.watch(environ[servers.SOCKET_KEY])


def _describe_hop(
    daemon: daemons.Daemon, hop: generate.Hop | None
) -> dict[str, str]:
    entry = daemon.board.identity.host
    return {"entry": entry} | (hop._asdict() if hop else {})


def _event(value: Any) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
