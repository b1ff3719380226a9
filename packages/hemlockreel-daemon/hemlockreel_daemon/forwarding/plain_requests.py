"""Handles a request to a service without a model.

The response is read completely before it is sent to the caller, so that a
failed attempt can be retried.
"""

from typing import NamedTuple

from hemlockreel import outcomes

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_pace
from hemlockreel.forwarding import replica_selection

from .. import clock
from .. import http_calls
from . import interfaces
from . import request_handler
from . import shared_places

# Of the time left, for an attempt that another one may follow.
FIRST_ATTEMPT_SHARE = 0.6
MIN_ATTEMPT_S = 0.02
# Of the latency objective: how long a request waits for the end of a pause
# that all replicas have asked for.
MAX_WAIT_SHARE = 0.5
SERVER_ERROR = 500


class Response(NamedTuple):
    """A complete response of a replica."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainHandler(request_handler.RequestHandler):
    """Handles one plain request over one or more attempts."""

    def run(self) -> None:
        """Sends the request to replicas and returns the response."""
        result = self._attempt_all()
        if isinstance(result, Response) and not self.caller_has_left:
            self.outcome = "answered"
            self.exchange.reply(result.status, result.headers, result.body)
        elif self.box.stopped is not None:
            self.end_stopped(self.box.stopped.reason)
        else:
            self.refuse(result)

    def _attempt_all(self) -> Response | outcomes.Refused:
        """Makes attempts until one succeeds or no other is allowed."""
        last: Response | outcomes.Refused | None = None
        until = self.job.arrived + MAX_WAIT_SHARE * self.job.route.objective_s
        while self.left_s() > MIN_ATTEMPT_S and self.box.stopped is None:
            found = self.find_candidates(
                instances.Stage.PLAIN,
                exclude=tuple(self.tried),
                is_retry=self.sent > 0,
            )
            if isinstance(found, outcomes.Refused):
                if last is None and self.wait_for_paused(found, until):
                    continue
                return last or found
            sent = self.sent
            place = shared_places.Place(self, instances.Stage.PLAIN)
            try:
                ordered = self._order(found, place, until)
                if isinstance(ordered, outcomes.Refused):
                    return last or ordered
                result = self._attempt_first(ordered, until)
                place.succeeded = _is_success(result)
            finally:
                place.end()
            if result is None:
                return last or outcomes.not_run(
                    outcomes.Reason.NO_BACKEND, request_handler.RETRY_SOON_S
                )
            last = self._choose_result(last, result)
            if self.sent == sent or not self._may_retry(result):
                break
            self.log("tried_again", tried=self.tried, after=str(result)[:80])
        reason = outcomes.Reason.OVERLOADED
        return last or outcomes.not_run(reason, request_handler.RETRY_SOON_S)

    def _order(
        self,
        found: replica_selection.Candidates,
        place: shared_places.Place,
        until: float,
    ) -> replica_selection.Candidates | outcomes.Refused:
        """Puts the replica with room for this request first.

        Returns the refusal if none will have room until ``until``.
        """
        if not found.is_shared:
            return found
        chosen = place.choose(found.instances, until)
        if isinstance(chosen, outcomes.Refused):
            return chosen
        if chosen is None:
            place.use(found.instances[0].id)
            return found
        others = [each for each in found.instances if each != chosen]
        return found._replace(instances=(chosen, *others))

    def _attempt_first(
        self, found: replica_selection.Candidates, until: float
    ) -> Response | outcomes.Refused | None:
        """Sends the request to the first replica that can be reached.

        Only the last one is waited for, until ``until``, if it has a limit.
        Returns ``None`` if no replica can be reached, and the earliest time
        to return if replicas have no room.
        """
        refusals = []
        for number, instance in enumerate(found.instances, 1):
            if instance.id in found.limited:
                is_last = number == len(found.instances)
                wait_s = max(0.0, until - clock.now()) if is_last else 0.0
                refused = self.take_permit(instance, wait_s)
                if refused is not None:
                    refusals.append(refused)
                    if self.left_s() <= MIN_ATTEMPT_S:
                        break
                    continue
            result = self._attempt(instance)
            if result is not None:
                return result
        return min(
            refusals, key=lambda each: each.retry_after_s or 0.0, default=None
        )

    def _choose_result(
        self,
        last: Response | outcomes.Refused | None,
        result: Response | outcomes.Refused,
    ) -> Response | outcomes.Refused:
        """Returns the result for the caller; a response beats a refusal."""
        if isinstance(last, Response) and not isinstance(result, Response):
            return last
        return result

    def _may_retry(self, result: Response | outcomes.Refused) -> bool:
        route = self.job.route
        if self.sent >= route.max_attempts:
            return False
        if isinstance(result, Response):
            return result.status >= SERVER_ERROR and route.repeatable
        return result.ran is outcomes.Ran.NOT_RUN or route.repeatable

    def _attempt(
        self, instance: instances.Instance
    ) -> Response | outcomes.Refused | None:
        """Sends the request to one replica; ``None`` if it is unreachable.

        A request that was not sent doesn't count as an attempt, so the next
        replica may get it.
        """
        if self.box.stopped is not None:
            return outcomes.not_run(self.box.stopped.reason)
        route = self.job.route
        left_s = self.left_s()
        if left_s <= MIN_ATTEMPT_S:
            return request_handler.late_refusal()
        if route.repeatable and self.sent + 1 < route.max_attempts:
            left_s *= FIRST_ATTEMPT_SHARE
        self.post(replica_selection.SendStarted(instance.id))
        sent_at = clock.now()
        succeeded: bool | None = False
        try:
            head = self.tools.backends.send(
                instance,
                self.job.request,
                left_s,
                interfaces.SendOptions(),
                self.box,
            )
            if isinstance(head, interfaces.SendFailure):
                if head.ran is interfaces.Ran.NOT_SENT:
                    succeeded = None
                    if self.box.stopped is None:
                        self.post(replica_selection.ConnectFailed(instance.id))
                    return None
                self._note_sent(instance, head.ran)
                if head.connection_lost:
                    self.report_broken(instance, head.detail)
                if head.instance_mismatch:
                    self.post(replica_selection.InstanceMismatch(instance.id))
                return request_handler.refusal_for(head)
            self._note_sent(instance, interfaces.Ran.UNKNOWN)
            result = self._read(instance, head)
            # Without framing, this may be the first part of an answer.
            if isinstance(result, Response) and head.framed:
                self.report_complete(clock.now() - sent_at)
            succeeded = _is_success(result)
            if succeeded:
                seconds = clock.now() - sent_at
                self.report_time(
                    instance, replica_pace.Kind.ANSWER, seconds, seconds
                )
            return result
        finally:
            if self.box.stopped is not None:
                succeeded = None
            self.post(
                replica_selection.SendFinished(instance.id, 0, succeeded)
            )

    def _note_sent(
        self, instance: instances.Instance, ran: interfaces.Ran
    ) -> None:
        self.sent += 1
        self.tried.append(instance.id)
        self.ran = self.ran or ran is interfaces.Ran.UNKNOWN

    def _read(
        self, instance: instances.Instance, head: interfaces.ResponseHead
    ) -> Response | outcomes.Refused:
        """Returns the complete response, or the refusal for a partial one."""
        try:
            with http_calls.interrupting(self.box, head.opened.sock):
                body = head.opened.read_body()
            return Response(head.status, head.headers, body)
        except http_calls.CALL_ERRORS as error:
            failed = http_calls.to_failure(error)
            if not failed.timed_out:
                self.report_broken(instance, failed.detail)
            return request_handler.refusal_for(
                interfaces.SendFailure(
                    interfaces.Ran.UNKNOWN, failed.detail, failed.timed_out
                )
            )
        finally:
            head.opened.close()


def _is_success(result: Response | outcomes.Refused | None) -> bool:
    return isinstance(result, Response) and result.status < SERVER_ERROR
