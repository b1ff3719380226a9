"""A daemon that forwards requests by the routes of a deployment."""

import contextlib
import math
import threading
import time
import traceback
from typing import Any
from typing import NamedTuple

from hemlockreel import addresses
from hemlockreel import board as boards
from hemlockreel import core
from hemlockreel import events
from hemlockreel import outcomes
from hemlockreel import store_era

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import graceful_shutdown
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import organisation_news
from hemlockreel.forwarding import organisations
from hemlockreel.forwarding import reachability
from hemlockreel.forwarding import replica_limits
from hemlockreel.forwarding import replica_pace
from hemlockreel.forwarding import replica_pauses
from hemlockreel.forwarding import replica_selection
from hemlockreel.forwarding import retry_budget
from hemlockreel.forwarding import shared_placement
from hemlockreel.forwarding import store_fanout
from hemlockreel.forwarding import usage_bounds
from hemlockreel.forwarding import usage_lending

from .. import caller_limits
from .. import caller_memory
from .. import clock
from .. import daemon as daemons
from .. import logs
from .. import servers
from .. import settings
from . import answer_sizes
from . import connector
from . import exchanges
from . import generation
from . import interfaces
from . import path_server
from . import plain_requests
from . import request_handler
from . import startup_wait
from . import status
from . import store_reader

NOT_READY_RETRY_AFTER_S = 0.5  # for callers of a host that has just started
COUNT_PERIOD_S = 0.1
INCOMPLETE_BODY = interfaces.InvalidRequest(
    400, "the body is not what the head of the request states"
)
# Added to the operator's limit, for a caller that is far away.
HEAD_MARGIN_S = 3.0
FINISH_S = 0.15  # for the last responses, which callers may read slowly
FINISH_POLL_S = 0.005
# Concurrent requests; each occupies a thread. The maximum takes some 10 MB and
# lets a single host serve the streams of a small deployment.
MIN_WORKERS = 24
MAX_WORKERS = 192


class Limits(NamedTuple):
    """The platform's limits for a host.

    ``grace_s`` is the time between the request to stop and the kill signal,
    ``settled_s`` the time after a disturbance of the store within which a host
    must know all changes made during it. ``is_first_start`` is set if no host
    of the deployment has run before. ``usage`` says how far all hosts together
    may exceed the cap of an organisation, ``keys`` how long a host may accept
    keys that nothing has confirmed. ``learns_pace`` is cleared if all replicas
    of a service count as alike, ``places_shared`` set if hosts share one view
    of the load of replicas.
    """

    grace_s: float
    retries: retry_budget.RetryLimits
    settled_s: float = store_reader.DEFAULT_SETTLED_S
    is_first_start: bool = False
    usage: usage_bounds.UsageLimits = usage_bounds.UsageLimits()
    learns_pace: bool = True
    places_shared: bool = False
    keys: organisation_news.RevokeLimits = organisation_news.RevokeLimits()


class Forwarder:
    """A forwarding daemon: its loop, listener and store readers.

    The loop replaces ``deployment``, ``phase``, ``listed`` and ``ready`` as a
    whole, and the worker threads read them. ``listed`` is set once the list
    of replicas is known.
    """

    def __init__(
        self,
        found: settings.Settings,
        limits: Limits,
        daemon_edges: daemons.ExternalClients,
        backends: interfaces.Backends,
        callers: interfaces.Callers,
        store: interfaces.Store,
    ):
        self.deployment: deployments.Deployment | None = None
        self.phase = graceful_shutdown.Phase()
        self.gives_up_at = math.inf
        self.listed = False
        self.ready = False
        self._keys_trusted_until = math.inf
        self._limited: frozenset[str] = frozenset()
        self._created = clock.now()
        self.daemon = daemons.Daemon(
            found, daemon_edges, core.FORWARDING_CONTROLLERS, self._publish
        )
        board = self.daemon.board
        board.state(graceful_shutdown.State).grace_s = limits.grace_s
        board.state(retry_budget.State).retry_limits = limits.retries
        board.state(usage_lending.State).limits = limits.usage
        board.state(replica_pace.State).is_enabled = limits.learns_pace
        board.state(organisation_news.State).limits = limits.keys
        board.state(store_era.State).is_first_start = limits.is_first_start
        board.state(shared_placement.State).is_shared = limits.places_shared
        loop = self.daemon.loop
        self.connector = connector.Connector(loop.post, loop.query)
        backends.set_observer(self._observe_replica)
        backends.set_connector(self.connector.connect)
        self._path_server = path_server.PathServer(
            found.listen.paths,
            loop.query,
            loop.post,
            lambda result: self.daemon.metrics.count(
                "carried_paths", 1, (result,)
            ),
        )
        self._tools = request_handler.Tools(self.daemon, backends, callers)
        self._answer_sizes = answer_sizes.AnswerSizes()
        self._active = 0
        self._is_closed = False
        self._received_at = clock.now()
        self._lock = threading.Lock()
        self.account = caller_memory.Account(
            found.callers.limits, self._report_limit
        )
        self._server = exchanges.Server(
            found.listen.callers,
            self.respond,
            MIN_WORKERS,
            MAX_WORKERS,
            self.account,
        )
        self._limits = deployments.Limits()
        self._set_limits(self._limits)
        self._readers = {
            store_fanout.ObjectKind.DEPLOYMENT: store_reader.Reader(
                store,
                store_fanout.ObjectKind.DEPLOYMENT,
                _convert_deployments,
                self.daemon.loop.post,
                lambda: None,
                limits.settled_s,
            ),
            store_fanout.ObjectKind.INSTANCES: store_reader.Reader(
                store,
                store_fanout.ObjectKind.INSTANCES,
                _convert_instances,
                self.daemon.loop.post,
                lambda: self.daemon.loop.post(instances.StoreUnavailable()),
                limits.settled_s,
            ),
        }

    def start(self) -> None:
        """Starts the loop, the listener and the store readers."""
        self.daemon.start()
        self._server.start()
        if self.daemon.settings.listen.paths:
            self._path_server.start()
        for reader in self._readers.values():
            reader.start()

    def wait(self) -> None:
        """Returns when the daemon has drained."""
        loop = self.daemon.loop
        while not self.daemon.exiting.wait(COUNT_PERIOD_S):
            self._server.grow_if_busy()
            self.account.sweep()
            self._tools.backends.close_idle()
            if self.phase.stopping:
                quiet_s = clock.now() - self._received_at
                # Callers of other hosts wait for what the paths carry.
                active = self._active + self._path_server.active
                loop.post(events.CallersCounted(active, quiet_s))
            if clock.now() >= self.gives_up_at:
                self.daemon.mailboxes.stop_all(outcomes.Reason.DRAINING)
        self._finish_responses()

    def _finish_responses(self) -> None:
        """Waits until the responses that have begun are written.

        No further request is read, so that its caller knows that it has not
        run: it is closed without a byte of a response.
        """
        self._is_closed = True
        ends_at = clock.now() + FINISH_S
        while self._active and clock.now() < ends_at:
            time.sleep(FINISH_POLL_S)

    def _observe_replica(self, notice: interfaces.Notice) -> None:
        id, born = notice.id, notice.born
        if notice.leaving:
            self.daemon.loop.post(instances.LeavingStated(id, born))
        if notice.pause_s:
            self.daemon.loop.post(
                replica_pauses.PauseAsked(id, born, notice.pause_s, notice.via)
            )
        ended = notice.is_answer and id in self._limited
        if notice.limit is not None or ended:
            self.daemon.loop.post(
                replica_limits.LimitStated(id, born, notice.limit)
            )

    def find_addresses(self, zone: str) -> list[str]:
        """Returns the addresses for a caller in ``zone``."""
        return self.daemon.loop.query(
            lambda board: addresses.sample_for_zone(board, zone)
        )

    def _publish(self, board: boards.Board, now: float) -> None:
        for kind, reader in self._readers.items():
            reader.set_plan(store_fanout.read_plan(board, kind, now))
        self.phase = graceful_shutdown.phase(board, now)
        self.gives_up_at = graceful_shutdown.gives_up_at(board)
        self._limited = replica_limits.limited(board)
        self._keys_trusted_until = organisation_news.trusted_until(board)
        reach = board.state(reachability.State)
        self.connector.helped = reach.helped
        self.connector.watched = reach.watched
        self.deployment = active_deployment.current(board)
        self.listed = board.state(instances.State).has_list
        ready = status.is_ready(board)
        if ready != self.ready:
            fields = {"listed": self.listed, "draining": self.phase.stopping}
            logs.write("ready" if ready else "not_ready", fields)
        self.ready = ready
        if self.deployment is None:
            return
        if self.deployment.limits != self._limits:
            self._set_limits(self.deployment.limits)

    def _set_limits(self, limits: deployments.Limits) -> None:
        self._limits = limits
        self._server.set_limits(
            limits.head_bytes, limits.body_bytes, limits.idle_s
        )
        self.account.head_s = limits.head_s + HEAD_MARGIN_S

    def _report_limit(self, limit: str) -> None:
        self.daemon.metrics.count("caller_limits", 1, (limit,))
        logs.write("caller_limit", {"limit": limit})

    # One request

    def respond(self, exchange: exchanges.Exchange) -> None:
        """Handles one request of a caller."""
        if self._is_closed:
            exchange.abort()
            return
        with self._count_active():
            try:
                self._respond(exchange)
            except Exception:
                # It is not known here whether the request was executed.
                logs.write("worker_failed", {"trace": traceback.format_exc()})
                exchange.fail()

    @contextlib.contextmanager
    def _count_active(self) -> Any:
        with self._lock:
            self._active += 1
            self._received_at = clock.now()
        self.daemon.metrics.in_flight.inc()
        try:
            yield
        finally:
            with self._lock:
                self._active -= 1
            self.daemon.metrics.in_flight.dec()

    def _respond(self, exchange: exchanges.Exchange) -> None:
        arrived = clock.now()
        try:
            head, body = exchange.head(), exchange.read_body()
        except caller_limits.Refused as refused:
            self._refuse_limited(exchange, refused)
            return
        if body is None:
            self._refuse_invalid(exchange, INCOMPLETE_BODY)
            return
        request = self._tools.callers.decode(head, body)
        if self.phase.stopping:
            exchange.close_after_response()
        if isinstance(request, interfaces.InvalidRequest):
            self._refuse_invalid(exchange, request)
            return
        self._wait_for_first_lists(request, arrived)
        job = self._route_request(request, arrived)
        if isinstance(job, outcomes.Refused):
            fields = {"request_id": request.id, "reason": job.reason.value}
            logs.write("refused", {**fields, "detail": job.detail})
            self.daemon.metrics.count(
                "requests", 1, ("forwarded", job.reason.value)
            )
            request_handler.reply_refusal(
                self._tools, exchange, request.id, job
            )
            return
        self._handle(exchange, job)

    def _refuse_invalid(
        self, exchange: exchanges.Exchange, invalid: interfaces.InvalidRequest
    ) -> None:
        """Refuses an invalid request and closes the connection."""
        fields = {"status": invalid.status, "detail": invalid.message}
        logs.write("wrong_request", fields)
        exchange.close_after_response()
        headers = self._tools.callers.refusal_headers("", invalid.status, None)
        exchange.reply(
            invalid.status, headers, invalid.message.encode() + b"\n"
        )

    def _refuse_limited(
        self, exchange: exchanges.Exchange, refused: caller_limits.Refused
    ) -> None:
        """Refuses a request that has met a limit while it was read."""
        retry_s = servers.RETRY_AFTER_S if refused.status == 503 else None
        exchange.close_after_response()
        headers = self._tools.callers.refusal_headers(
            "", refused.status, retry_s
        )
        exchange.reply(refused.status, headers, f"{refused}\n".encode())

    def _wait_for_first_lists(
        self, request: interfaces.CallerRequest, arrived: float
    ) -> None:
        if self._has_lists():
            return
        waited_s = startup_wait.wait_for_first_lists(
            lambda: self._has_lists() or self.phase.stopping,
            self._created,
            arrived,
            request.deadline_s,
        )
        fields = {
            "request_id": request.id,
            "waited_ms": round(waited_s * 1000),
            "configured": self.deployment is not None,
            "listed": self.listed,
        }
        logs.write("first_lists_awaited", fields)

    def _has_lists(self) -> bool:
        return self.deployment is not None and self.listed

    def _route_request(
        self, request: interfaces.CallerRequest, arrived: float
    ) -> request_handler.Job | outcomes.Refused:
        found = self.deployment
        if found is None:
            reason = outcomes.Reason.NOT_CONFIGURED
            return outcomes.not_run(reason, NOT_READY_RETRY_AFTER_S)
        route = deployments.find_route(found, request.host, request.path)
        if route is None:
            detail = (
                f"version {found.version} has no route for {request.path!r}"
            )
            return outcomes.not_run(
                outcomes.Reason.UNKNOWN_ROUTE, detail=detail
            )
        holder = None
        if found.organisations and not route.is_open:
            if arrived > self._keys_trusted_until:
                return outcomes.not_run(
                    outcomes.Reason.STORE_UNAVAILABLE,
                    NOT_READY_RETRY_AFTER_S,
                    "nothing has confirmed the keys for long",
                )
            holder = organisations.find(
                found.organisations, request.key_digest
            )
            if holder is None:
                detail = f"version {found.version} has no such key"
                return outcomes.not_run(
                    outcomes.Reason.UNKNOWN_KEY, detail=detail
                )
            request = request._replace(organisation=holder.name)
        service = found.services.get(
            # A stream goes on at the service that began it.
            deployments.pick_service(route, request.resumes or request.id)
        )
        if service is None:
            reason = outcomes.Reason.NO_BACKEND
            return outcomes.not_run(reason, NOT_READY_RETRY_AFTER_S)
        if not self._accepts(route, request, arrived):
            reason = outcomes.Reason.DRAINING
            return outcomes.not_run(reason, request_handler.RETRY_SOON_S)
        return request_handler.Job(
            request, route, service, found.version, arrived, holder
        )

    def _accepts(
        self,
        route: deployments.Route,
        request: interfaces.CallerRequest,
        arrived: float,
    ) -> bool:
        """Returns whether a request may begin, as far as a stop allows it.

        In the first part of a stop all may; callers have just been told to
        move, and most requests end long before their time limit.
        """
        phase = self.phase
        if phase.accepts_streams:
            return True
        is_stream = route.kind is deployments.RouteKind.STREAM
        if is_stream or not phase.accepts_requests:
            return False
        limit_s = route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        return graceful_shutdown.can_finish(
            route, limit_s, self.gives_up_at - arrived
        )

    def _handle(
        self, exchange: exchanges.Exchange, job: request_handler.Job
    ) -> None:
        daemon = self.daemon
        service = job.service.name
        if job.service.engine is None:
            try:
                exchange.reserve(self._answer_sizes.expect(job.route.name))
            except caller_limits.Refused as refused:
                self._refuse_limited(exchange, refused)
                return
        daemon.loop.post(replica_selection.RequestReceived(service))
        key = daemon.new_id()
        with (
            daemon.track_request(key, exchange.caller) as box,
            daemon.traces.span("entry", "", request_id=job.request.id),
        ):
            is_for_model = (
                job.service.engine is not None and job.request.demand
            )
            handler_class = (
                generation.GenerationHandler
                if is_for_model
                else plain_requests.PlainHandler
            )
            handler = handler_class(self._tools, job, exchange, box, key)
            try:
                handler.serve()
            finally:
                if handler.outcome == "answered":
                    self._answer_sizes.note(
                        job.route.name, exchange.reply_bytes
                    )
                seconds = clock.now() - job.arrived
                daemon.metrics.count(
                    "requests", 1, ("forwarded", handler.outcome)
                )
                daemon.metrics.request_seconds.observe(seconds)
                handler.log(
                    "request_ended",
                    outcome=handler.outcome,
                    tried=handler.tried,
                )


def _convert_deployments(
    found: interfaces.StoreObjects, whole: bool
) -> list[Any]:
    kind = store_fanout.ObjectKind.DEPLOYMENT
    # The deployment is a single object, so any change is complete.
    read = store_fanout.StoreRead(
        kind, found.as_of, whole or bool(found.objects), era=found.era
    )
    return [
        *(active_deployment.DeploymentRead(each) for each in found.objects),
        read,
    ]


def _convert_instances(
    found: interfaces.StoreObjects, whole: bool
) -> list[Any]:
    kind = store_fanout.ObjectKind.INSTANCES
    listed = tuple(found.objects)
    return [
        store_fanout.StoreRead(
            kind, found.as_of, whole, listed, found.removed, found.era
        )
    ]
