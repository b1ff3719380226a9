"""A daemon that forwards requests by the routes of a deployment."""

import contextlib
import threading
import traceback
from typing import Any
from typing import NamedTuple

from hemlockreel import addresses
from hemlockreel import board as boards
from hemlockreel import core
from hemlockreel import events
from hemlockreel import outcomes

from hemlockreel.forwarding import closing
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import feeding
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import places
from hemlockreel.forwarding import repeat_budget
from hemlockreel.forwarding import versions

from .. import clock
from .. import daemon as daemons
from .. import logs
from .. import settings
from . import carrying
from . import edges
from . import exchanges
from . import generation
from . import plain
from . import starting
from . import status
from . import store_reader

NOT_READY_S = 0.5  # to come back to a host that has just started
COUNT_PERIOD_S = 0.1
# Requests carried at once; each waits on a thread of its own. The most takes
# some 10 MB and lets a single host carry the streams of a small deployment.
WORKERS = 24
MOST_WORKERS = 192


class Limits(NamedTuple):
    """The platform's bounds that this host keeps.

    ``grace_s`` is the time between the request to stop and the end by force,
    ``settled_s`` the time after a disturbance of the store by which a host
    must know what happened in it.
    """

    grace_s: float
    repeats: repeat_budget.Bound
    settled_s: float = store_reader.SETTLED_S


class Forwarder:
    """Everything of one forwarding daemon, built around its loop.

    ``deployment``, ``phase``, ``listed`` and ``ready`` are replaced as a
    whole by the loop and read by the workers. ``listed`` says that the
    replicas are known.
    """

    def __init__(
        self,
        found: settings.Settings,
        limits: Limits,
        daemon_edges: daemons.ExternalClients,
        backends: edges.Backends,
        callers: edges.Callers,
        store: edges.Store,
    ):
        self.deployment: deployments.Deployment | None = None
        self.phase = closing.Phase()
        self.listed = False
        self.ready = False
        self._created = clock.now()
        self.daemon = daemons.Daemon(
            found,
            daemon_edges,
            core.FORWARDING_CONTROLLERS,
            self._publish,
        )
        board = self.daemon.board
        board.state(closing.State).grace_s = limits.grace_s
        board.state(repeat_budget.State).bound = limits.repeats
        self._tools = carrying.Tools(self.daemon, backends, callers)
        self._active = 0
        self._lock = threading.Lock()
        self._server = exchanges.Server(
            found.listen.callers, self.answer, WORKERS, MOST_WORKERS
        )
        self._limits = deployments.Limits()
        self._set_limits(self._limits)
        self._readers = {
            feeding.Kind.DEPLOYMENT: store_reader.Reader(
                store,
                feeding.Kind.DEPLOYMENT,
                _convert_deployments,
                self.daemon.loop.post,
                lambda: None,
                limits.settled_s,
            ),
            feeding.Kind.INSTANCES: store_reader.Reader(
                store,
                feeding.Kind.INSTANCES,
                _convert_instances,
                self.daemon.loop.post,
                lambda: self.daemon.loop.post(instances.ListLost()),
                limits.settled_s,
            ),
        }

    def start(self) -> None:
        """Starts the loop, the listener and the readers."""
        self.daemon.start()
        self._server.start()
        for reader in self._readers.values():
            reader.start()

    def wait(self) -> None:
        """Returns when the daemon has drained."""
        loop = self.daemon.loop
        while not self.daemon.exiting.wait(COUNT_PERIOD_S):
            self._server.grow_if_busy()
            if self.phase.stopping:
                loop.post(events.CallersCounted(self._active))

    def find_addresses(self, zone: str) -> list[str]:
        """Returns the addresses for a caller in ``zone``."""
        return self.daemon.loop.query(
            lambda board: addresses.near(board, zone)
        )

    def _publish(self, board: boards.Board, now: float) -> None:
        for kind, reader in self._readers.items():
            reader.direct(feeding.plan(board, kind, now))
        self.phase = closing.phase(board, now)
        self.deployment = versions.current(board)
        self.listed = board.state(instances.State).known
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
        self._server.limit(limits.head_bytes, limits.body_bytes, limits.idle_s)

    # One request

    def answer(self, exchange: exchanges.Exchange) -> None:
        """Answers one request of a caller."""
        with self._count():
            try:
                self._answer(exchange)
            except Exception:
                # Whether the request ran is not known here.
                logs.write("worker_failed", {"trace": traceback.format_exc()})
                exchange.fail()

    @contextlib.contextmanager
    def _count(self) -> Any:
        with self._lock:
            self._active += 1
        self.daemon.metrics.in_flight.inc()
        try:
            yield
        finally:
            with self._lock:
                self._active -= 1
            self.daemon.metrics.in_flight.dec()

    def _answer(self, exchange: exchanges.Exchange) -> None:
        arrived = clock.now()
        head = exchange.head()
        ask = self._tools.callers.decode(head, exchange.read_body())
        if self.phase.stopping:
            exchange.close_after()
        if isinstance(ask, edges.Wrong):
            self._refuse_wrong(exchange, ask)
            return
        self._wait_for_lists(ask, arrived)
        job = self._find(ask, arrived)
        if isinstance(job, outcomes.Refused):
            fields = {"request_id": ask.id, "reason": job.reason.value}
            logs.write("refused", {**fields, "detail": job.detail})
            self.daemon.metrics.count(
                "requests", 1, ("forwarded", job.reason.value)
            )
            carrying.reply_refusal(self._tools, exchange, ask.id, job)
            return
        self._carry(exchange, job)

    def _refuse_wrong(
        self, exchange: exchanges.Exchange, wrong: edges.Wrong
    ) -> None:
        """Refuses what is no proper request, and reads no more after it."""
        fields = {"status": wrong.status, "detail": wrong.message}
        logs.write("wrong_request", fields)
        exchange.close_after()
        headers = self._tools.callers.refusal("", wrong.status, None)
        exchange.reply(wrong.status, headers, wrong.message.encode() + b"\n")

    def _wait_for_lists(self, ask: edges.Ask, arrived: float) -> None:
        if self._has_lists():
            return
        waited_s = starting.wait_until(
            lambda: self._has_lists() or self.phase.stopping,
            self._created,
            arrived,
            ask.deadline_s,
        )
        fields = {
            "request_id": ask.id,
            "waited_ms": round(waited_s * 1000),
            "configured": self.deployment is not None,
            "listed": self.listed,
        }
        logs.write("first_lists_awaited", fields)

    def _has_lists(self) -> bool:
        return self.deployment is not None and self.listed

    def _find(
        self, ask: edges.Ask, arrived: float
    ) -> carrying.Job | outcomes.Refused:
        found = self.deployment
        if found is None:
            reason = outcomes.Reason.NOT_CONFIGURED
            return outcomes.not_run(reason, NOT_READY_S)
        route = deployments.find_route(found, ask.host, ask.path)
        if route is None:
            detail = f"version {found.version} has no route for {ask.path!r}"
            return outcomes.not_run(
                outcomes.Reason.UNKNOWN_ROUTE, detail=detail
            )
        service = found.services.get(deployments.pick_service(route, ask.id))
        if service is None:
            reason = outcomes.Reason.NO_BACKEND
            return outcomes.not_run(reason, NOT_READY_S)
        phase = self.phase
        streams = route.kind is deployments.Kind.STREAM
        if not phase.requests or (streams and not phase.streams):
            reason = outcomes.Reason.DRAINING
            return outcomes.not_run(reason, carrying.SOON_S)
        return carrying.Job(ask, route, service, found.version, arrived)

    def _carry(self, exchange: exchanges.Exchange, job: carrying.Job) -> None:
        daemon = self.daemon
        daemon.loop.post(places.FirstSeen(job.service.name))
        key = daemon.new_id()
        with (
            daemon.track_request(key, exchange.caller) as box,
            daemon.traces.span("entry", "", request_id=job.ask.id),
        ):
            models = job.service.engine is not None and job.ask.demand
            kind = generation.Carrier if models else plain.Carrier
            carrier = kind(self._tools, job, exchange, box, key)
            try:
                carrier.run()
            finally:
                seconds = clock.now() - job.arrived
                daemon.metrics.count(
                    "requests", 1, ("forwarded", carrier.outcome)
                )
                daemon.metrics.request_seconds.observe(seconds)
                carrier.log(
                    "request_ended",
                    outcome=carrier.outcome,
                    tried=carrier.tried,
                )


def _convert_deployments(found: edges.Listing, whole: bool) -> list[Any]:
    kind = feeding.Kind.DEPLOYMENT
    # It is one object, so that any change of it is the whole of it.
    read = feeding.StoreRead(kind, found.at, whole or bool(found.found))
    return [*(versions.Read(each) for each in found.found), read]


def _convert_instances(found: edges.Listing, whole: bool) -> list[Any]:
    kind = feeding.Kind.INSTANCES
    listed = tuple(found.found)
    return [feeding.StoreRead(kind, found.at, whole, listed, found.gone)]
