"""Requests that a host gives up at the end of a planned stop."""

import pytest

from hemlockreel import outcomes
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel_daemon.forwarding import interfaces

BOOKING = rigs.ROUTE._replace(
    kind=deployments.RouteKind.NON_IDEMPOTENT, max_attempts=1
)
PLAIN = deployments.Service("lesar", 192)
EVENT = b"id: 1\n\n"
UNKNOWN = interfaces.SendFailure(interfaces.Ran.UNKNOWN, "given up")
NOT_SENT = interfaces.SendFailure(interfaces.Ran.NOT_SENT, "connect")


def stop_and_return(rig, result):
    def send(*_):
        rig.box.stop(outcomes.Reason.DRAINING)
        return result

    rig.backends.on_send = send


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (rigs.make_response(b"booked"), 200),
        (rigs.make_response(b"oops", status=500), 500),
        (rigs.make_response(ConnectionResetError()), 502),
        (UNKNOWN, 502),
        (NOT_SENT, 503),
    ],
)
def test_answer_is_sent_if_ready_and_true_if_not(result, status):
    rig = rigs.Rig(rigs.server("a"), rigs.server("b"))
    stop_and_return(rig, result)
    found = rig.handle_request(BOOKING, PLAIN, None, deadline_s=1.0)
    assert (found.status, found.was_aborted) == (status, False)
    assert len(rig.backends.sent) == 1


@pytest.mark.parametrize(
    ("result", "status", "was_aborted"),
    [
        (rigs.make_response(EVENT), 200, True),
        (UNKNOWN, 502, False),
        (rigs.make_send_failure(), 503, False),
    ],
)
def test_stream_is_cut_visibly_or_refused(result, status, was_aborted):
    rig = rigs.Rig(rigs.engine("d1", "decode"))
    stop_and_return(rig, result)
    found = rig.handle_request()
    assert (found.status, found.was_aborted) == (status, was_aborted)


def test_stream_that_has_just_ended_is_complete():
    rig = rigs.Rig(rigs.engine("d1", "decode"))
    response = rigs.make_response(EVENT)
    read1 = response.opened.response.read1

    def read1_and_stop(*arguments, **named):
        data = read1(*arguments, **named)
        if not data:
            rig.box.stop(outcomes.Reason.DRAINING)
        return data

    response.opened.response.read1 = read1_and_stop
    rig.backends.on_send = lambda *_: response
    found = rig.handle_request()
    assert (found.body, found.was_aborted) == (EVENT, False)
