"""Failures of plain services around one call.

They guard against running a non-idempotent call twice and against reporting
"not run" for a call that may have run.
"""

import types

import pytest

from hemlockreel import declared_objects
from hemlockreel import outcomes
from hemlockreel_daemon import backends
from hemlockreel_daemon import clock
from hemlockreel_daemon import handler_context
from hemlockreel_daemon import plain_calls
from hemlockreel_standins import carrier_rig

RESPONSE = outcomes.Responded(200, (), b"done")
NOT_SENT = backends.CallFailure(False, "connect")
NO_RESPONSE = backends.CallFailure(True, "reset")
TIMED_OUT = backends.CallFailure(True, "time-out", timed_out=True)
MISMATCHED = backends.CallFailure(True, "another request", mismatched=True)
JOB = plain_calls.Job(
    "r1",
    declared_objects.Route(service="s", prefix="/"),
    "GET",
    "/a?b=c",
    (("Accept", "*/*"),),
    b"",
    "o",
    "",
    None,
    "",
)
BOOKING = JOB._replace(method="POST", key="k", body=b"x")


class Services:
    """Plain services that return scripted responses in order."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.seen = []
        self.boxes = []

    def call(self, address, call, traceparent, timeout_s, box):
        """Records the call and returns the next response."""
        self.seen.append((address, call))
        self.boxes.append(box)
        return self.responses.pop(0)


@pytest.fixture
def time(monkeypatch):
    fake = types.SimpleNamespace(at=100.0)
    monkeypatch.setattr(clock, "now", lambda: fake.at)
    return fake


def run(job, *responses):
    daemon = carrier_rig.Daemon(clock.now)
    services = Services(*responses)
    context = handler_context.HandlerContext(daemon, None, services)
    return daemon, services, plain_calls.run(context, job)


def test_response_is_forwarded():
    daemon, services, result = run(JOB, RESPONSE)
    assert result == plain_calls.CallResult(RESPONSE, "owner", "server-1")
    ((_, call),) = services.seen
    assert call == backends.Call(
        "r1", 1, "GET", "/a?b=c", (("Accept", "*/*"),), b""
    )
    assert not daemon.ended[0].failed


@pytest.mark.parametrize("lost", [NOT_SENT, NO_RESPONSE, MISMATCHED])
def test_idempotent_call_is_sent_to_another_server(lost):
    daemon, services, result = run(JOB, lost, RESPONSE)
    assert result.outcome == RESPONSE
    assert [address for address, _ in services.seen] == [
        "server-1",
        "server-2",
    ]
    assert daemon.excluded == [(), ("server-1",)]


def test_timed_out_call_is_not_retried():
    _, services, result = run(JOB, TIMED_OUT)
    assert result.outcome.reason is outcomes.Reason.BACKEND_SILENT
    assert result.outcome.ran is outcomes.Ran.UNKNOWN
    assert len(services.seen) == 1


@pytest.mark.parametrize("lost", [NO_RESPONSE, TIMED_OUT, MISMATCHED])
def test_non_idempotent_call_that_may_have_run_is_sent_once(lost):
    daemon, services, result = run(BOOKING, lost)
    assert len(services.seen) == 1
    assert result.outcome.ran is outcomes.Ran.UNKNOWN
    assert daemon.outcomes == [result.outcome]


def test_non_idempotent_call_that_was_not_sent_is_retried_under_one_claim():
    daemon, services, result = run(BOOKING, NOT_SENT, RESPONSE)
    assert result.outcome == RESPONSE
    assert len(services.seen) == 2
    assert len(daemon.claims) == 1
    assert daemon.outcomes == [RESPONSE]


def test_claimed_call_is_not_interrupted_by_its_caller():
    _, services, _ = run(BOOKING, RESPONSE)
    assert services.boxes == [None]


def test_claimed_call_is_not_sent_after_its_send_deadline(time):
    daemon = carrier_rig.Daemon(clock.now)
    services = Services(RESPONSE)
    post = daemon.post

    def pause_after_claim(event):
        post(event)
        if daemon.claims:
            time.at += 2 * carrier_rig.CLAIM_S

    daemon.post = pause_after_claim
    result = plain_calls.run(
        handler_context.HandlerContext(daemon, None, services), BOOKING
    )
    assert not services.seen
    assert result.outcome.ran is outcomes.Ran.NOT_RUN


def test_refusal_after_an_attempt_without_response_is_not_marked_not_run():
    _, _, result = run(JOB, NO_RESPONSE, NOT_SENT, NOT_SENT)
    assert result.outcome.ran is outcomes.Ran.UNKNOWN


def test_response_to_another_request_is_counted():
    daemon, _, _ = run(JOB, MISMATCHED, RESPONSE)
    counted = daemon.metrics.registry.get_sample_value(
        "hemlockreel_wrong_answers_total"
    )
    assert counted == 1
