"""Common parts of the handlers of plain requests and of model requests.

A handler runs on a worker thread. It asks the loop for decisions and receives
the replies in its mailbox.
"""

import time
from typing import Any
from typing import NamedTuple

from hemlockreel import outcomes

from hemlockreel.forwarding import blocked_parts
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import organisations
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_limits
from hemlockreel.forwarding import replica_pace
from hemlockreel.forwarding import replica_selection
from hemlockreel.forwarding import shared_placement
from hemlockreel.forwarding import usage_caps

from .. import clock
from .. import daemon as daemons
from .. import logs
from .. import mailbox
from . import content_keys
from . import exchanges
from . import interfaces

RESPONSE_MARGIN_S = 0.05  # so that a refusal arrives before the time limit
LOOP_TIMEOUT_S = 1.0  # for a reply of the loop, which takes about 1 ms
PERMIT_TIMEOUT_S = 0.1  # for the host that gives permits for a replica
RETRY_SPREAD_S = 0.25  # so that refused callers don't return all at once
RETRY_SOON_S = 0.1  # for cases where other replicas are likely free
# Replicas are overloaded for the length of a burst, some seconds. A caller
# that retries sooner takes memory from others or fails for good. Callers wait
# at most a third of their remaining time before a retry.
RETRY_AFTER_SHARE = 1 / 3
# Of the latency objective, or of the route's timeout if that is shorter. With
# less time than this left, no replica can respond before the caller gives up,
# and the platform doesn't count the request as offered.
MIN_TIME_SHARE = 0.1

NOT_RUN_STATUS = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.UNKNOWN_KEY: 401,
    outcomes.Reason.UNKNOWN_ROUTE: 404,
    outcomes.Reason.QUOTA: 429,
    outcomes.Reason.INTERNAL_ERROR: 500,
}
# Why a request is not sent to any replica more.
FINAL_REASONS = (
    outcomes.Reason.PROMPT_BLOCKED,
    outcomes.Reason.REQUEST_BLOCKED,
    outcomes.Reason.STREAM_LOST,
)
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Job(NamedTuple):
    """A caller's request with its route and service.

    ``version`` is the deployment version that the route comes from,
    ``arrived`` the time at which the request was received. ``organisation``
    holds the caller's key, ``None`` if the route needs none.
    """

    request: interfaces.CallerRequest
    route: deployments.Route
    service: deployments.Service
    version: int
    arrived: float
    organisation: organisations.Organisation | None = None

    @property
    def priority(self) -> int:
        """The rank of the request, 0 for the first.

        That of the organisation takes precedence over that of the route.
        """
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @property
    def cost(self) -> float:
        """What the request counts towards the cap of its organisation."""
        if self.organisation is None:
            return 0.0
        demand = self.request.demand
        tokens = None if demand is None else demand.prompt + demand.max_output
        return self.organisation.cap.cost(tokens)


class Tools(NamedTuple):
    """What handlers need of the daemon and the platform adapter."""

    daemon: daemons.Daemon
    backends: interfaces.Backends
    callers: interfaces.Callers


def refusal_status(refused: outcomes.Refused) -> int:
    """Returns the HTTP status of a refusal.

    Callers take some statuses for "not executed", so these are used only if
    that is certain.
    """
    if refused.ran is outcomes.Ran.NOT_RUN:
        return NOT_RUN_STATUS.get(refused.reason, UNAVAILABLE)
    if refused.reason is outcomes.Reason.BACKEND_SILENT:
        return GATEWAY_TIMEOUT
    return BAD_GATEWAY


class RequestHandler:
    """Handles one request; the base class of both kinds of handlers.

    ``sent`` counts the replicas that received the request, ``tried`` lists
    their ids, and ``ran`` is set if one of them may have executed it. ``box``
    receives the replies of the loop and the signal to stop. ``parts`` are the
    ids of what may crash a replica, see :mod:`blocked_parts`: the shared parts
    of the prompt and the request itself. ``has_broken`` is set once a replica
    has broken the request off. ``software`` is the version of the software
    that writes the stream, ``None`` until it has begun.
    """

    def __init__(
        self,
        tools: Tools,
        job: Job,
        exchange: exchanges.Exchange,
        box: mailbox.Mailbox,
        key: str,
    ):
        self.tools = tools
        self.job = job
        self.exchange = exchange
        self.box = box
        self._key = key
        demand = job.request.demand
        shared_parts = () if demand is None else demand.shared_parts
        self.parts = (*shared_parts, *content_keys.find(job.request))
        self.has_broken = False
        self.software: str | None = None
        self.sent = 0
        self.ran = False
        self.tried: list[str] = []
        self.outcome = "failed"
        self._permits_asked = 0
        self._counted_at: float | None = None
        self._places_asked = 0

    @property
    def has_used(self) -> bool:
        """Whether a replica may have worked on the request."""
        return self.ran

    @property
    def caller_has_left(self) -> bool:
        """Whether the request was stopped, and not by a stop of this host.

        What is ready is still sent while this host stops.
        """
        stopped = self.box.stopped
        return (
            stopped is not None
            and stopped.reason is not outcomes.Reason.DRAINING
        )

    def post(self, event: Any) -> None:
        """Posts an event to the loop."""
        self.tools.daemon.loop.post(event)

    def report_time(
        self,
        instance: instances.Instance,
        kind: replica_pace.Kind,
        seconds: float,
        busy_s: float = 0.0,
    ) -> None:
        """Reports a time that the pace of ``instance`` is learned from."""
        self.post(
            replica_pace.AnswerTimed(
                instance.id, instance.born, kind, seconds, busy_s
            )
        )

    def left_s(self) -> float:
        """Returns the seconds until the deadline of the caller or route."""
        job = self.job
        limit = job.route.timeout_s
        if job.request.deadline_s is not None:
            limit = min(limit, job.request.deadline_s)
        return job.arrived + limit - RESPONSE_MARGIN_S - clock.now()

    def is_late(self, left_s: float) -> bool:
        """Returns whether ``left_s`` is too short to serve the request.

        The process may be paused at any step, so a caller of this method
        reads the clock once and sends with the same ``left_s``.
        """
        route = self.job.route
        return left_s <= MIN_TIME_SHARE * min(
            route.objective_s, route.timeout_s
        )

    def serve(self) -> None:
        """Runs the request unless the cap of its organisation is reached."""
        refused = self._take_usage()
        if refused is None:
            self.run()
            self._return_unused()
        elif self.box.stopped is not None:
            self.end_stopped(self.box.stopped.reason)
        else:
            self.refuse(refused)

    def run(self) -> None:
        """Sends the request to replicas and the response to the caller."""
        raise NotImplementedError

    def _take_usage(self) -> outcomes.Refused | None:
        """Counts the request towards the cap of its organisation.

        Returns the refusal if the cap is reached.
        """
        organisation = self.job.organisation
        if organisation is None or not organisation.cap.is_limited:
            return None
        self.post(
            usage_caps.UsageRequested(
                self._key, organisation.name, self.job.cost
            )
        )
        value = self._receive(LOOP_TIMEOUT_S)
        if isinstance(value, usage_caps.Allowed):
            self._counted_at = clock.now()
            return None
        if isinstance(value, outcomes.Refused):
            return value
        if isinstance(value, mailbox.Stopped):
            return outcomes.not_run(value.reason)
        return outcomes.not_run(outcomes.Reason.OVERLOADED, RETRY_SOON_S)

    def _return_unused(self) -> None:
        """Gives back what the request counted if no replica has run it.

        A request whose caller left may have been on its way.
        """
        if (
            self._counted_at is None
            or self.has_used
            or self.box.stopped is not None
        ):
            return
        self.post(
            usage_caps.UsageUnused(
                self.job.organisation.name,
                self.job.cost,
                clock.now() - self._counted_at,
            )
        )

    def find_candidates(
        self,
        stage: instances.Stage,
        tokens: int = 0,
        exclude: tuple[str, ...] = (),
        is_retry: bool = False,
    ) -> replica_selection.Candidates | outcomes.Refused:
        """Requests replicas from the loop, best first."""
        demand = self.job.request.demand or interfaces.Demand(0, 0, 0)
        asked = ranking.CandidatesRequested(
            self._key,
            self.job.service.name,
            stage,
            tokens,
            exclude,
            is_retry,
            demand.max_output,
            demand.estimated_output,
            self.parts,
            self.has_broken,
            self.software if stage is instances.Stage.DECODE else None,
        )
        self.post(asked)
        value = self._receive(LOOP_TIMEOUT_S)
        if isinstance(value, replica_selection.Candidates | outcomes.Refused):
            return value
        if isinstance(value, mailbox.Stopped):
            return outcomes.not_run(value.reason)
        return outcomes.not_run(outcomes.Reason.OVERLOADED, RETRY_SOON_S)

    def _receive(self, timeout_s: float) -> Any:
        """Returns the next reply; one that came too late is none.

        That applies to permits and places, of which others may arrive.
        """
        until = clock.now() + timeout_s
        while True:
            value = self.box.get(max(0.0, until - clock.now()))
            expected = self._permits_asked
            if isinstance(value, shared_placement.Answer):
                expected = self._places_asked
            elif not isinstance(value, replica_limits.Permit):
                return value
            if value.number == expected:
                return value

    def take_permit(
        self,
        instance: instances.Instance,
        max_wait_s: float = 0.0,
        calls: int = 1,
    ) -> outcomes.Refused | None:
        """Waits until a replica that names a limit may get more calls.

        Returns the refusal if that is not so within ``max_wait_s``.
        """
        self._permits_asked += 1
        self.post(
            replica_limits.PermitRequested(
                self._key, self._permits_asked, instance.id, max_wait_s, calls
            )
        )
        permit = self._receive(PERMIT_TIMEOUT_S)
        # An answer to this one may still arrive.
        self._permits_asked += 1
        if isinstance(permit, mailbox.Stopped):
            return outcomes.not_run(permit.reason)
        detail = f"{instance.id} takes no more requests now"
        if not isinstance(permit, replica_limits.Permit):
            return outcomes.not_run(
                outcomes.Reason.OVERLOADED, RETRY_SOON_S, detail
            )
        if not permit.granted:
            after_s = permit.after_s + self.tools.daemon.rng.uniform(
                0.0, RETRY_SPREAD_S
            )
            return outcomes.not_run(
                outcomes.Reason.OVERLOADED, after_s, detail
            )
        if permit.after_s:
            time.sleep(permit.after_s)
        return None

    @property
    def key(self) -> str:
        """The id of the request's mailbox, unique among all hosts."""
        return self._key

    def next_place(self) -> int:
        """Returns the number of the next ask for a place at a replica.

        Answers to earlier ones are not received any more.
        """
        self._places_asked += 1
        return self._places_asked

    def receive_place(
        self, timeout_s: float
    ) -> shared_placement.Answer | outcomes.Refused | None:
        """Returns the answer to the last ask, ``None`` if none arrives."""
        value = self._receive(timeout_s)
        if isinstance(value, mailbox.Stopped):
            return outcomes.not_run(value.reason)
        return value if isinstance(value, shared_placement.Answer) else None

    def check_usable(
        self, instance: instances.Instance, max_wait_s: float | None
    ) -> outcomes.Refused | None:
        """Returns why a selected replica may not get the request any more.

        It waits up to ``max_wait_s`` for a replica that names a limit;
        ``None`` if the request has its permit already.
        """
        asked = replica_selection.UsabilityRequested(
            self._key, instance.id, self.job.service.name, self.parts
        )
        self.post(asked)
        value = self._receive(LOOP_TIMEOUT_S)
        if isinstance(value, replica_selection.Usable):
            if value.limited and max_wait_s is not None:
                return self.take_permit(instance, max_wait_s)
            return None
        if isinstance(value, outcomes.Refused):
            return value
        return outcomes.not_run(outcomes.Reason.OVERLOADED, RETRY_SOON_S)

    def wait_for_paused(self, refused: outcomes.Refused, until: float) -> bool:
        """Waits until a replica that asked for a pause may be called again.

        Returns false, without a wait, if that is later than ``until`` or if
        ``refused`` has another reason.
        """
        wait_s = refused.retry_after_s
        if (
            refused.reason is not outcomes.Reason.BACKEND_PAUSED
            or clock.now() + wait_s > until
        ):
            return False
        self.log("waits_for_paused", for_ms=round(wait_s * 1000))
        time.sleep(wait_s)
        return self.box.stopped is None

    def may_call(
        self, instance: instances.Instance, has_permit: bool = False
    ) -> bool:
        """Returns whether a replica may get calls that free what it holds.

        One that has stated that it leaves and one that asked for a pause get
        none: what they hold for this request expires soon.
        """
        return self.tools.daemon.loop.query(
            lambda board: replica_selection.may_call(
                board, instance, clock.now(), has_permit
            )
        )

    def overloaded(self, detail: str) -> outcomes.Refused:
        """Returns the refusal of a request that replicas have no room for."""
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            RETRY_AFTER_SHARE * max(0.0, self.left_s()),
            detail,
        )

    def out_of_room(self, after_s: float) -> outcomes.Refused:
        """Returns the refusal while all replicas are full for ``after_s``.

        The caller returns then at the earliest, if it is still there.
        """
        after_s = min(after_s, max(0.0, self.left_s()))
        refused = self.overloaded(f"there is room in {after_s:.1f} s")
        return refused._replace(
            retry_after_s=max(after_s, refused.retry_after_s or 0.0)
        )

    def report_broken(
        self,
        instance: instances.Instance,
        detail: str,
        written_s: float = 0.0,
        last_event: str = "",
    ) -> None:
        """Reports to the loop, and logs, that a replica broke a run off.

        ``written_s`` is the time since its first event.
        """
        if self.box.stopped is not None:
            return
        self.has_broken = True
        self.log(
            "run_broken",
            replica=instance.id,
            born=instance.born,
            written_ms=round(written_s * 1000),
            last_event=last_event,
            detail=detail,
            parts=self.parts,
        )
        request = self.job.request
        self.post(
            blocked_parts.RunBroken(
                self.job.service.name,
                # A caller's attempts at one stream are one request.
                request.resumes or request.id,
                instance.id,
                instance.born,
                self.parts,
                written_s,
            )
        )

    def report_complete(self, seconds: float) -> None:
        """Reports to the loop that a run has written its whole answer."""
        self.post(
            blocked_parts.RunCompleted(
                self.job.service.name, self.parts, seconds
            )
        )

    def take_retry(self) -> bool:
        """Takes one retry from the budget; false if it is used up."""
        self.post(
            replica_selection.RetryRequested(self._key, self.job.service.name)
        )
        return self._receive(LOOP_TIMEOUT_S) is True

    def end_stopped(self, reason: outcomes.Reason) -> None:
        """Ends a request whose mailbox was stopped for ``reason``.

        Its caller gets an answer if this host is what stops.
        """
        if reason is outcomes.Reason.DRAINING:
            self.refuse(outcomes.not_run(reason, RETRY_SOON_S))
            return
        self.outcome = reason.value
        self.exchange.abort()

    def refuse(self, refused: outcomes.Refused) -> None:
        """Sends a refusal, or aborts a response that has started."""
        self.outcome = refused.reason.value
        if self.exchange.has_started:
            self.exchange.abort()
            return
        if self.ran and refused.ran is outcomes.Ran.NOT_RUN:
            refused = outcomes.may_have_run(refused.reason, refused.detail)
        self.log("refused", reason=refused.reason.value, detail=refused.detail)
        reply_refusal(self.tools, self.exchange, self.job.request.id, refused)

    def log(self, event: str, **fields: Any) -> None:
        """Logs one decision on this request."""
        job = self.job
        logs.write(
            event,
            {
                "request_id": job.request.id,
                "route": job.route.name,
                "version": job.version,
                "held_ms": round((clock.now() - job.arrived) * 1000),
                **fields,
            },
        )


def late_refusal() -> outcomes.Refused:
    """Returns the refusal of a request with too little time left to run."""
    return outcomes.not_run(
        outcomes.Reason.FIRST_TOKEN_TOO_LATE,
        RETRY_SOON_S,
        "too little time is left",
    )


def reply_refusal(
    tools: Tools,
    exchange: exchanges.Exchange,
    request_id: str,
    refused: outcomes.Refused,
) -> None:
    """Sends the response for a refusal."""
    status = refusal_status(refused)
    headers = tools.callers.refusal_headers(
        request_id, status, refused.retry_after_s
    )
    body = (refused.detail or refused.reason.value).encode() + b"\n"
    exchange.reply(status, headers, body)


def refusal_for(found: interfaces.SendFailure) -> outcomes.Refused:
    """Returns the refusal for an attempt that failed."""
    if found.ran is not interfaces.Ran.UNKNOWN:
        return outcomes.not_run(
            outcomes.Reason.BACKEND_REFUSED, RETRY_SOON_S, found.detail
        )
    if found.timed_out:
        return outcomes.may_have_run(
            outcomes.Reason.BACKEND_SILENT, found.detail
        )
    return outcomes.may_have_run(outcomes.Reason.BACKEND_FAILED, found.detail)
