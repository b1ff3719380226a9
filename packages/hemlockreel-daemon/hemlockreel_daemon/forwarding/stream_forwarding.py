"""Forwards the events of one run to the caller as they are received."""

from hemlockreel import outcomes

from .. import clock
from .. import http_calls
from .. import response_memory
from . import event_stream
from . import interfaces
from . import progress
from . import request_handler

OK = 200


def forward_response(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    head: interfaces.ResponseHead,
    software: str = "",
) -> outcomes.Refused | None:
    """Forwards a response; returns why it ended early, ``None`` if complete.

    Only a response with status 200 is streamed. Any other is forwarded as a
    whole. ``software`` is the version of the replica's software.
    """
    opened = head.opened
    splitter = event_stream.Splitter(record.last_event_id)
    try:
        with http_calls.interrupting(handler.box, opened.sock):
            if head.status != OK:
                body = opened.read_body()
                if not handler.exchange.has_started:
                    handler.exchange.reply(head.status, head.headers, body)
                    return None
                detail = f"status {head.status} to a resumed stream"
                return outcomes.may_have_run(
                    outcomes.Reason.BACKEND_FAILED, detail
                )
            with http_calls.hold_memory(opened.sock) as holding:
                return _forward_events(
                    handler, record, head, splitter, software, holding
                )
    except http_calls.CALL_ERRORS as error:
        failed = http_calls.to_failure(error)
        return request_handler.refusal_for(
            interfaces.SendFailure(
                interfaces.Ran.UNKNOWN, failed.detail, failed.timed_out
            )
        )
    finally:
        record.last_event_id = splitter.last_id
        record.events += splitter.count
        opened.close()


def _forward_events(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    head: interfaces.ResponseHead,
    splitter: event_stream.Splitter,
    software: str,
    holding: response_memory.Holding,
) -> outcomes.Refused | None:
    if not handler.exchange.has_started and not handler.exchange.start(
        head.status, head.headers
    ):
        return _note_caller_gone(handler)
    while True:
        left_s = handler.left_s()
        if left_s <= 0:
            return outcomes.may_have_run(
                outcomes.Reason.BACKEND_SILENT, "out of time"
            )
        # An endless event or frame must not take all memory.
        event_bytes = http_calls.limits().event_bytes
        head.opened.sock.set_limits(left_s, event_bytes)
        data = head.opened.response.read1(
            http_calls.READ_BYTES, decode_content=False
        )
        if handler.box.stopped is not None:
            return outcomes.may_have_run(handler.box.stopped.reason)
        if not data:
            break
        whole = splitter.feed(data)
        holding.resize(len(splitter.rest))
        if whole:
            handler.begin_stream(software)
        if whole and record.note_event(clock.now()):
            first_s = record.first_event_at - handler.job.arrived
            handler.tools.daemon.metrics.first_token.observe(first_s)
        if len(splitter.rest) > event_bytes:
            detail = f"an event has more than {event_bytes} bytes"
            return outcomes.may_have_run(
                outcomes.Reason.BACKEND_FAILED, detail
            )
        if whole and not handler.exchange.send(whole):
            return _note_caller_gone(handler)
    if splitter.rest:
        return outcomes.may_have_run(
            outcomes.Reason.BACKEND_FAILED, "the stream ended in an event"
        )
    return None


def _note_caller_gone(
    handler: request_handler.RequestHandler,
) -> outcomes.Refused:
    handler.box.stop(outcomes.Reason.CALLER_GONE)
    return outcomes.may_have_run(outcomes.Reason.CALLER_GONE)
