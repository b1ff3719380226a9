"""Passes the events of one run on to the caller, as they come."""

from hemlockreel import outcomes

from .. import clock
from .. import http_calls
from . import carrying
from . import edges
from . import event_stream
from . import progress

READ_BYTES = 64 * 1024
OK = 200


def pass_on(
    carrier: carrying.Carrier, record: progress.Progress, begun: edges.Begun
) -> outcomes.Refused | None:
    """Passes events on as they come; returns why the stream ended early.

    Only a status of success begins a stream; any other answer is passed
    on whole.
    """
    opened = begun.opened
    splitter = event_stream.Splitter(record.last_id)
    try:
        with http_calls.interrupting(carrier.box, opened.sock):
            if begun.status != OK:
                body = opened.response.read(decode_content=False)
                if not carrier.exchange.begun:
                    carrier.exchange.reply(begun.status, begun.headers, body)
                    return None
                detail = f"status {begun.status} to a resumed stream"
                return outcomes.unknown(outcomes.Reason.BACKEND_FAILED, detail)
            return _pass_events(carrier, record, begun, splitter)
    except http_calls.CALL_ERRORS as error:
        failed = http_calls.to_failure(error)
        return carrying.unanswered(
            edges.Unanswered(
                edges.Ran.UNKNOWN, failed.detail, failed.timed_out
            )
        )
    finally:
        record.last_id = splitter.last_id
        record.events += splitter.count
        opened.close()


def _pass_events(
    carrier: carrying.Carrier,
    record: progress.Progress,
    begun: edges.Begun,
    splitter: event_stream.Splitter,
) -> outcomes.Refused | None:
    if not carrier.exchange.begun and not carrier.exchange.start(
        begun.status, begun.headers
    ):
        return _note_gone(carrier)
    while True:
        left_s = carrier.left_s()
        if left_s <= 0:
            return outcomes.unknown(
                outcomes.Reason.BACKEND_SILENT, "out of time"
            )
        begun.opened.sock.settimeout(left_s)
        data = begun.opened.response.read1(READ_BYTES, decode_content=False)
        if carrier.box.stopped is not None:
            return outcomes.unknown(carrier.box.stopped.reason)
        if not data:
            break
        whole = splitter.feed(data)
        if record.first_at is None and whole:
            record.first_at = clock.now()
            first_s = record.first_at - carrier.job.arrived
            carrier.tools.daemon.metrics.first_token.observe(first_s)
        if whole and not carrier.exchange.send(whole):
            return _note_gone(carrier)
    if splitter.rest:
        return outcomes.unknown(
            outcomes.Reason.BACKEND_FAILED, "the stream ended in an event"
        )
    return None


def _note_gone(carrier: carrying.Carrier) -> outcomes.Refused:
    carrier.box.stop(outcomes.Reason.CALLER_GONE)
    return outcomes.unknown(outcomes.Reason.CALLER_GONE)
