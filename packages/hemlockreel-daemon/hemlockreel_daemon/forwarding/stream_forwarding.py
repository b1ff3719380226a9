"""Forwards the events of one run to the caller as they are received."""

from hemlockreel import outcomes

from .. import clock
from .. import http_calls
from .. import response_memory
from . import continuations
from . import event_stream
from . import interfaces
from . import progress
from . import request_handler
from . import stream_times

OK = 200


def forward_response(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    head: interfaces.ResponseHead,
    software: str = "",
    timer: stream_times.Timer | None = None,
) -> outcomes.Refused | None:
    """Forwards a response; returns why it ended early, ``None`` if complete.

    Only a response with status 200 is streamed. Any other is forwarded as a
    whole. ``software`` is the version of the replica's software, and ``timer``
    times the events.
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
                return _broken(f"status {head.status} to a resumed stream")
            with http_calls.hold_memory(opened.sock) as holding:
                return _forward_events(
                    handler, record, head, splitter, software, holding, timer
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
    timer: stream_times.Timer | None,
) -> outcomes.Refused | None:
    refused = _begin(handler, record, head)
    if refused is not None:
        return refused
    continuation = continuations.Continuation(
        record.last_event_id, record.counts_events, head.framed
    )
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
        if not data:
            refused = _check_end(head, splitter)
            if timer is not None and refused is None:
                timer.finish(clock.now())
            return refused
        if handler.box.stopped is not None:
            return outcomes.may_have_run(handler.box.stopped.reason)
        before = splitter.last_id, splitter.count
        whole = splitter.feed(data)
        holding.resize(len(splitter.rest))
        fault = continuation.find_fault(whole)
        if fault:
            splitter.take_back(*before)
            return _broken(fault)
        if whole:
            _note_events(handler, record, software)
            received_at = clock.now()
            if timer is not None:
                timer.note_events(splitter.count - before[1], received_at)
        if len(splitter.rest) > event_bytes:
            return _broken(f"an event has more than {event_bytes} bytes")
        # Both are held until the caller has taken the events.
        holding.resize(len(whole) + len(splitter.rest))
        if whole and not handler.exchange.send(whole):
            return _note_caller_gone(handler)
        if whole and timer is not None:
            timer.note_caller(clock.now() - received_at)


def _begin(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    head: interfaces.ResponseHead,
) -> outcomes.Refused | None:
    """Starts the caller's response, or checks that ``head`` fits into it."""
    media_type = _media_type(head)
    if handler.exchange.has_started:
        if media_type != record.media_type:
            return _broken(f"{media_type!r} follows in the stream")
        return None
    record.media_type = media_type
    if not handler.exchange.start(head.status, head.headers):
        return _note_caller_gone(handler)
    return None


def _note_events(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    software: str,
) -> None:
    handler.begin_stream(software)
    if record.note_event(clock.now()):
        first_s = record.first_event_at - handler.job.arrived
        handler.tools.daemon.metrics.first_token.observe(first_s)


def _check_end(
    head: interfaces.ResponseHead, splitter: event_stream.Splitter
) -> outcomes.Refused | None:
    """Returns why a run that has ended is not complete."""
    if splitter.rest:
        return _broken("the stream ended in an event")
    if not head.framed and not splitter.count:
        return _broken("the stream ended before its first event")
    return None


def _broken(detail: str) -> outcomes.Refused:
    return outcomes.may_have_run(outcomes.Reason.BACKEND_FAILED, detail)


def _media_type(head: interfaces.ResponseHead) -> str:
    """Returns the type of a response without its parameters."""
    for name, value in head.headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""


def _note_caller_gone(
    handler: request_handler.RequestHandler,
) -> outcomes.Refused:
    handler.box.stop(outcomes.Reason.CALLER_GONE)
    return outcomes.may_have_run(outcomes.Reason.CALLER_GONE)
