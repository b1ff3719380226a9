"""The HTTP interface for callers: addresses, completions and plain calls."""

from collections.abc import Iterator
import threading
from typing import Any

import cherrypy

from hemlockreel import addresses
from hemlockreel import outcomes

from . import applications
from . import bodies
from . import caller_sockets
from . import completion_handler
from . import completion_responses
from . import daemon as daemons
from . import handler_context
from . import plain_calls
from . import responses
from . import routing
from . import servers

MAX_COMPLETION_BYTES = 4 * 2**20
ORGANISATION_HEADER = "X-Organisation"
INTERACTIVE_PRIORITY = 1
RETRY_AFTER_S = 1.0


class Callers:
    """The CherryPy root of the callers' listener.

    ``active`` is the number of requests in progress.
    """

    def __init__(self, daemon: daemons.Daemon):
        self._daemon = daemon
        self._context = handler_context.with_http_clients(daemon)
        self._lock = threading.Lock()
        self.active = 0

    @cherrypy.expose
    def default(self, *path: str) -> Any:
        """Handles a request to any path."""
        request_id = self._daemon.new_id()
        if not self._try_admit():
            refused = outcomes.not_run(
                outcomes.Reason.OVERLOADED, RETRY_AFTER_S
            )
            return responses.refuse(refused, request_id)
        try:
            body = self._dispatch(request_id)
        except Exception as error:
            self._release()
            return responses.respond_internal_error(error, request_id)
        if self._daemon.loop.closed:
            cherrypy.response.headers["Connection"] = "close"
        if isinstance(body, Iterator):
            return _StreamedBody(body, self._release, _caller_socket())
        self._release()
        return body

    def _try_admit(self) -> bool:
        with self._lock:
            if self.active >= self._daemon.settings.max_in_flight:
                return False
            self.active += 1
        self._daemon.metrics.in_flight.inc()
        return True

    def _release(self) -> None:
        with self._lock:
            self.active -= 1
        self._daemon.metrics.in_flight.dec()

    def _dispatch(self, request_id: str) -> Any:
        path = cherrypy.request.path_info
        if path == "/v1/addresses":
            return self._respond_addresses(request_id)
        if self._daemon.loop.closed:
            return self._refuse_draining(request_id)
        if path == "/v1/completions":
            return self._complete(request_id)
        return self._call(request_id)

    def _respond_addresses(self, request_id: str) -> bytes:
        if cherrypy.request.method not in ("GET", "HEAD"):
            invalid = bodies.InvalidRequest(
                405, "addresses are asked for by GET"
            )
            return responses.refuse_invalid(invalid, request_id)
        entries, ttl_s = self._find_addresses()
        return responses.send_json({"addresses": entries, "ttl_s": ttl_s})

    def _find_addresses(self) -> tuple[list[str], float]:
        caller = (
            applications.request_query().get("caller")
            or cherrypy.request.remote.ip
        )
        return self._daemon.loop.query(
            lambda board: addresses.rank_for_caller(board, caller)
        )

    def _refuse_draining(self, request_id: str) -> bytes:
        """Refuses a request of a draining daemon and names other addresses.

        By now every address response that names this daemon has expired.
        """
        entries, _ = self._find_addresses()
        refused = outcomes.not_run(outcomes.Reason.DRAINING, 0.0)
        cherrypy.response.headers["Connection"] = "close"
        return responses.refuse(refused, request_id, addresses=entries)

    # Completions

    def _complete(self, request_id: str) -> Any:
        if cherrypy.request.method != "POST":
            invalid = bodies.InvalidRequest(
                405, "completions are asked for by POST"
            )
            return responses.refuse_invalid(invalid, request_id)
        body = bodies.read_body(MAX_COMPLETION_BYTES)
        if isinstance(body, bodies.InvalidRequest):
            return responses.refuse_invalid(body, request_id)
        completion = bodies.parse_completion(body)
        if isinstance(completion, bodies.InvalidRequest):
            return responses.refuse_invalid(completion, request_id)
        headers = cherrypy.request.headers
        job = completion_handler.Job(
            request_id,
            completion.model,
            completion.prompt,
            headers.get(ORGANISATION_HEADER, ""),
            completion.priority_class,
            completion.max_tokens,
            completion.deadline_ms / 1000,
            INTERACTIVE_PRIORITY,
            _caller_socket(),
            headers.get("traceparent", ""),
        )
        limited = routing.apply_pool_limits(
            self._daemon.loop.configuration, job
        )
        if isinstance(limited, outcomes.Refused):
            return responses.refuse(limited, request_id)
        parts = completion_handler.run_traced(self._context, limited)
        if completion.stream:
            return completion_responses.stream(
                self._daemon, request_id, parts, job.caller
            )
        return completion_responses.collect(self._daemon, request_id, parts)

    # Plain calls

    def _call(self, request_id: str) -> bytes:
        request = cherrypy.request
        route = routing.find_route(
            self._daemon.loop.configuration, request.path_info
        )
        if isinstance(route, outcomes.Refused):
            return responses.refuse(route, request_id)
        body = bodies.read_body(route.max_body_bytes)
        if isinstance(body, bodies.InvalidRequest):
            return responses.refuse_invalid(body, request_id)
        key = request.headers.get("Idempotency-Key", "")
        if (
            route.key_required
            and not key
            and request.method in route.non_idempotent
        ):
            reason = outcomes.Reason.KEY_REQUIRED
            detail = "this call needs the header Idempotency-Key"
            refused = outcomes.not_run(reason, detail=detail)
            return responses.refuse(refused, request_id)
        job = plain_calls.Job(
            request_id,
            route,
            request.method,
            applications.request_target(),
            applications.request_headers(),
            body,
            request.headers.get(ORGANISATION_HEADER, ""),
            key,
            _caller_socket(),
            request.headers.get("traceparent", ""),
        )
        return self._respond_call(
            plain_calls.run(self._context, job), request_id
        )

    def _respond_call(
        self, result: plain_calls.CallResult, request_id: str
    ) -> bytes:
        response = cherrypy.response
        response.headers["X-Hop-Entry"] = self._daemon.board.identity.host
        response.headers["X-Hop-Owner"] = result.owner
        response.headers["X-Hop-Replica"] = result.replica
        outcome = result.outcome
        if isinstance(outcome, outcomes.Refused):
            self._count(outcome.reason.value)
            return responses.refuse(outcome, request_id)
        self._count("answered")
        response.status = outcome.status
        response.headers.pop("Content-Type", None)
        applications.set_response_headers(outcome.headers)
        response.headers["X-Request-Id"] = request_id
        return outcome.body

    def _count(self, outcome: str) -> None:
        self._daemon.metrics.count("requests", 1, ("call", outcome))


class _StreamedBody:
    """An iterator over a streamed body that calls ``release`` at its end.

    The HTTP server closes it when the caller disconnects. An exception aborts
    the connection, since the status is sent and the body incomplete.
    """

    def __init__(self, parts, release, caller):
        self._parts = parts
        self._release = release
        self._caller = caller
        self._released = False

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._parts)
        except StopIteration:
            self.close()
            raise
        except BaseException:
            caller_sockets.abort(self._caller)
            self.close()
            raise

    def close(self):
        """Ends the stream and releases its request, once."""
        if not self._released:
            self._released = True
            try:
                self._parts.close()
            finally:
                self._release()


def _caller_socket():
    """Returns the socket of the current request's connection."""
    return cherrypy.request.wsgi_environ[servers.SOCKET_KEY]
