"""Handles a request to a model: reservation, prefill, decode, stream.

Memory at a decode replica is reserved before the prefill, so that no prefill
is wasted for lack of memory.
"""

import functools
from typing import Any

from hemlockreel import outcomes

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_selection
from hemlockreel.forwarding import stream_versions

from .. import clock
from .. import mailbox
from . import interfaces
from . import progress
from . import remote_prefill
from . import request_handler
from . import reservation
from . import stream_forwarding
from . import stream_times

MAX_REFUSED_RUNS = 2  # that a decode replica refused without running
# Callers abandon a stream after 2 s without an event at the earliest, so a
# resumable one is retried before that.
RESUMABLE_HEAD_TIMEOUT_S = 1.2
# Of the objective: how long a prompt that was processed waits for a permit.
PERMIT_WAIT_SHARE = 0.3
# For callers when a replica is leaving or the retry budget is used up; both
# pass within the platform's drain_ms and budget_window_s.
RETRY_AFTER_S = 1.0


class RunResult:
    """The outcome of one run.

    ``reservation_used`` is set once the replica has, or may have, used the
    reservation. ``succeeded`` is ``None`` if the run says nothing about the
    replica.
    """

    def __init__(self):
        self.reservation_used = False
        self.succeeded: bool | None = None


class GenerationHandler(request_handler.RequestHandler):
    """Handles one request to a model, over one or more runs."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self._record = progress.Progress(self.job.request.resume_after)

    @property
    def has_used(self) -> bool:
        """Whether a replica may have worked on the prompt or the answer."""
        record = self._record
        return self.ran or record.was_prefilled or record.may_have_prefilled

    def run(self) -> None:
        """Runs the request and sends the response."""
        try:
            refused = self._run()
        finally:
            remote_prefill.free_result(self, self._record)
        is_complete = refused is None and not self.caller_has_left
        if is_complete:
            self._report_output()
        self._log_size()
        if is_complete:
            self.outcome = "answered"
        elif self.box.stopped is not None:
            self.end_stopped(self.box.stopped.reason)
        else:
            self.refuse(refused)

    def _report_output(self) -> None:
        """Reports the length of a complete response to the loop."""
        demand = self.job.request.demand
        output = self._record.events * self.job.service.engine.event_tokens
        self.post(
            replica_selection.GenerationFinished(
                self.job.service.name,
                demand.max_output,
                demand.estimated_output,
                output,
            )
        )

    def _log_size(self) -> None:
        demand = self.job.request.demand
        first_at = self._record.first_event_at or self.job.arrived
        self.log(
            "generation_ended",
            prompt=demand.prompt,
            most_output=demand.max_output,
            expected_output=demand.estimated_output,
            first_event_ms=round((first_at - self.job.arrived) * 1000),
            last_event=self._record.last_event_id,
            longest_pause_ms=round(self._record.longest_pause_s * 1000),
            replicas=self._record.reached_ids,
            prefilled=self._record.was_prefilled,
            parts=demand.shared_parts,
            software=self.software,
            resumes=self.job.request.resumes,
        )

    def _run(self) -> outcomes.Refused | None:
        """Runs until the stream is complete, or returns why it is not."""
        refused = self._find_software()
        if refused is not None:
            return refused
        while True:
            reserved = reservation.reserve(self, self._record)
            if isinstance(reserved, outcomes.Refused):
                return reserved
            refused = self._run_at(reserved)
            if refused is None or self.box.stopped is not None:
                return refused
            if not self._may_retry(refused):
                return refused
            self.log(
                "tried_again",
                tried=self.tried,
                after=refused.detail,
                from_event=self._record.last_event_id,
            )

    def _find_software(self) -> outcomes.Refused | None:
        """Finds out which version began a stream that a caller resumes."""
        request = self.job.request
        if not request.resume_after:
            return None
        self.post(
            stream_versions.SoftwareRequested(
                self._key, self.job.service.name, request.resumes
            )
        )
        found = self._receive(request_handler.LOOP_TIMEOUT_S)
        if isinstance(found, stream_versions.Found):
            self.software = found.software
            return None
        if isinstance(found, outcomes.Refused):
            return found
        if isinstance(found, mailbox.Stopped):
            return outcomes.not_run(found.reason)
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED, request_handler.RETRY_SOON_S
        )

    def begin_stream(self, software: str) -> None:
        """Notes that replicas of ``software`` write this stream."""
        if self.software is not None:
            return
        self.software = software
        if self.job.route.resumable:
            self.post(
                stream_versions.StreamBegun(
                    self.job.request.id, self.job.service.name, software
                )
            )

    def _may_retry(self, refused: outcomes.Refused) -> bool:
        route = self.job.route
        if self.left_s() <= 0:
            return False
        if refused.reason in request_handler.FINAL_REASONS:
            return False
        if refused.ran is outcomes.Ran.NOT_RUN:
            self._record.refused_runs += 1
            return self._record.refused_runs <= MAX_REFUSED_RUNS
        return route.resumable and self.sent < route.max_attempts

    def _run_at(
        self, reserved: reservation.Reservation
    ) -> outcomes.Refused | None:
        """Does one run; releases the reservation if it was not used."""
        instance = reserved.instance
        result = RunResult()
        self.post(replica_selection.SendStarted(instance.id, reserved.tokens))
        try:
            return self._run_once(reserved, result)
        finally:
            # The memory first: the next request with this place needs it.
            try:
                if not result.reservation_used and self.may_call(
                    instance, reserved.has_permit
                ):
                    self.tools.backends.release_reservation(
                        instance, reserved.reservation_id
                    )
            finally:
                good = result.succeeded if self.box.stopped is None else None
                self.post(
                    replica_selection.SendFinished(
                        instance.id, reserved.tokens, good
                    )
                )
                reserved.place.succeeded = good is True
                reserved.place.end()

    def _run_once(
        self, reserved: reservation.Reservation, result: RunResult
    ) -> outcomes.Refused | None:
        prefilled = None
        if self.is_late(self.left_s()):
            return request_handler.late_refusal()
        if not self._record.decode_prefills:
            prefilled = remote_prefill.prefill(self, self._record)
            if isinstance(prefilled, outcomes.Refused):
                self._record.refused_runs = MAX_REFUSED_RUNS
                return prefilled
        refused = self._check_before_send(reserved)
        if refused is not None:
            return refused
        left_s = self.left_s()
        if self.is_late(left_s):
            return request_handler.late_refusal()
        self._record.begin_run()
        sent_at = clock.now()
        head = self._send(reserved, prefilled, left_s)
        if isinstance(head, interfaces.SendFailure):
            self._note_failure(reserved.instance, prefilled, head, result)
            return request_handler.refusal_for(head)
        result.reservation_used = True
        self._record.prefill_result = None
        self._note_delivery(reserved.instance)
        self._note_sent(reserved.instance)
        if prefilled is not None:
            self.post(
                replica_selection.PrefillResultUsed(prefilled.instance, True)
            )
        events = self._record.events
        timer = stream_times.Timer(
            functools.partial(self.report_time, reserved.instance),
            sent_at,
            prefilled is not None,
        )
        refused = stream_forwarding.forward_response(
            self, self._record, head, reserved.instance.software, timer
        )
        result.succeeded = refused is None
        if head.status != stream_forwarding.OK or self.box.stopped is not None:
            return refused
        if refused is None:
            # Without framing, this may be the first part of an answer.
            if head.framed and self._record.events > events:
                self.report_complete(clock.now() - sent_at)
        elif refused.reason is outcomes.Reason.BACKEND_FAILED:
            self._report_broken(reserved.instance, refused.detail)
        return refused

    def _check_before_send(
        self, reserved: reservation.Reservation
    ) -> outcomes.Refused | None:
        """Returns why the request may not be sent now, after its waits."""
        if self.box.stopped is not None:
            return outcomes.not_run(self.box.stopped.reason)
        wait_s = PERMIT_WAIT_SHARE * self.job.route.objective_s
        unusable = self.check_usable(
            reserved.instance, None if reserved.has_permit else wait_s
        )
        if unusable is None and not self._take_retry_if_sent():
            return self._out_of_budget()
        return unusable

    def _report_broken(
        self, instance: instances.Instance, detail: str
    ) -> None:
        self.report_broken(
            instance,
            detail,
            self._record.written_s(clock.now()),
            self._record.last_event_id,
        )

    def _take_retry_if_sent(self) -> bool:
        """Takes a retry from the budget, unless this is the first attempt."""
        return not self._record.deliveries or self.take_retry()

    def _send(
        self,
        reserved: reservation.Reservation,
        prefilled: interfaces.PrefillResult | None,
        left_s: float,
    ) -> interfaces.ResponseHead | interfaces.SendFailure:
        options = interfaces.SendOptions(
            reserved.reservation_id,
            resume_after=self._record.last_event_id,
            head_timeout_s=self._head_timeout_s(left_s),
        )
        if prefilled is not None:
            options = options._replace(source=prefilled.source)
        return self.tools.backends.send(
            reserved.instance, self.job.request, left_s, options, self.box
        )

    def _note_failure(
        self,
        instance: instances.Instance,
        prefilled: interfaces.PrefillResult | None,
        found: interfaces.SendFailure,
        result: RunResult,
    ) -> None:
        if found.ran is interfaces.Ran.NOT_SENT:
            self.post(replica_selection.ConnectFailed(instance.id))
            return
        self._note_delivery(instance)
        if found.ran is interfaces.Ran.UNKNOWN:
            result.reservation_used = True
            result.succeeded = False
            self._record.prefill_result = None
            self._note_sent(instance)
            if found.connection_lost:
                self._report_broken(instance, found.detail)
        elif found.pause_s:
            # The replica is overloaded, which says nothing about its list
            # entry or the prefill result.
            result.succeeded = None
        elif prefilled is not None and not found.instance_mismatch:
            result.succeeded = False
            self._note_lost_prefill_result(prefilled)
        else:
            # The replica reported a mismatch. Or it refused although it had
            # reserved memory and needed no prefill result, so it must be
            # changing its stage. Until the list shows that, its memory
            # looks free and attracts requests that it refuses.
            self.post(replica_selection.InstanceMismatch(instance.id))

    def _note_delivery(self, instance: instances.Instance) -> None:
        self._record.deliveries += 1
        self._record.reached_ids += (instance.id,)

    def _note_lost_prefill_result(
        self, prefilled: interfaces.PrefillResult
    ) -> None:
        """Records that a prefill result was not available for the decode.

        Memory was reserved, so the missing result is the only reason for the
        refusal. The decode replica does the prefill in the next run.
        """
        self._record.decode_prefills = True
        self._record.prefill_result = None
        self.post(
            replica_selection.PrefillResultUsed(prefilled.instance, False)
        )
        self.log("prefill_lapsed", replica=prefilled.instance)

    def _out_of_budget(self) -> outcomes.Refused:
        self._record.refused_runs = MAX_REFUSED_RUNS
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            RETRY_AFTER_S,
            "the budget of repeats is used up",
        )

    def _note_sent(self, instance: instances.Instance) -> None:
        self.sent += 1
        self.ran = True
        self.tried.append(instance.id)

    def _head_timeout_s(self, left_s: float) -> float:
        """Returns how long to wait for the head of the next response.

        If another run may follow, this is shorter than the caller's deadline.
        A stream that has started is never abandoned because of a pause: other
        replicas may have no memory for it, and TCP keep-alive probes end the
        connection to an unreachable replica.
        """
        route = self.job.route
        if route.resumable and self.sent + 1 < route.max_attempts:
            return min(left_s, RESUMABLE_HEAD_TIMEOUT_S)
        return left_s
