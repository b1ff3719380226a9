"""Pattern: plain services lose, refuse or mix up calls at any step."""

import types

import pytest

from hemlockreel import objects
from hemlockreel import outcomes
from hemlockreel_daemon import backends
from hemlockreel_daemon import clock
from hemlockreel_daemon import handler_context
from hemlockreel_daemon import plain_calls
from hemlockreel_standins import carrier_rig

ANSWER = outcomes.Answered(200, (), b"done")
UNSENT = backends.CallFailure(False, "connect")
LOST = backends.CallFailure(True, "reset")
SILENT = backends.CallFailure(True, "time-out", timed_out=True)
MISMATCHED = backends.CallFailure(True, "another request", mismatched=True)
JOB = plain_calls.Job(
    "r1",
    objects.Route(service="s", prefix="/"),
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
    """Plain services that follow a script of answers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.seen = []
        self.boxes = []

    def call(self, address, call, traceparent, timeout_s, box):
        """Returns the next answer."""
        self.seen.append((address, call))
        self.boxes.append(box)
        return self.answers.pop(0)


@pytest.fixture
def time(monkeypatch):
    made = types.SimpleNamespace(at=100.0)
    monkeypatch.setattr(clock, "now", lambda: made.at)
    return made


def run(job, *answers):
    daemon = carrier_rig.Daemon(clock.now)
    services = Services(*answers)
    context = handler_context.HandlerContext(daemon, None, services)
    return daemon, services, plain_calls.run(context, job)


def test_answer_is_passed_on():
    daemon, services, found = run(JOB, ANSWER)
    assert found == plain_calls.CallResult(ANSWER, "owner", "server-1")
    ((_, call),) = services.seen
    assert call == backends.Call(
        "r1", 1, "GET", "/a?b=c", (("Accept", "*/*"),), b""
    )
    assert not daemon.ended[0].failed


@pytest.mark.parametrize("lost", [UNSENT, LOST, MISMATCHED])
def test_idempotent_call_is_sent_to_another_server(lost):
    daemon, services, found = run(JOB, lost, ANSWER)
    assert found.outcome == ANSWER
    assert [address for address, _ in services.seen] == [
        "server-1",
        "server-2",
    ]
    assert daemon.excluded == [(), ("server-1",)]


def test_silent_server_uses_up_the_time():
    _, services, found = run(JOB, SILENT)
    assert found.outcome.reason is outcomes.Reason.BACKEND_SILENT
    assert found.outcome.ran is outcomes.Ran.UNKNOWN
    assert len(services.seen) == 1


@pytest.mark.parametrize("lost", [LOST, SILENT, MISMATCHED])
def test_booking_that_may_have_run_is_sent_once(lost):
    daemon, services, found = run(BOOKING, lost)
    assert len(services.seen) == 1
    assert found.outcome.ran is outcomes.Ran.UNKNOWN
    assert daemon.outcomes == [found.outcome]


def test_booking_that_reached_nobody_is_sent_again_under_one_claim():
    daemon, services, found = run(BOOKING, UNSENT, ANSWER)
    assert found.outcome == ANSWER
    assert len(services.seen) == 2
    assert len(daemon.claims) == 1
    assert daemon.outcomes == [ANSWER]


def test_booking_runs_on_when_its_caller_has_gone():
    _, services, _ = run(BOOKING, ANSWER)
    assert services.boxes == [None]


def test_booking_is_not_sent_after_its_claim_has_lapsed(time):
    daemon = carrier_rig.Daemon(clock.now)
    services = Services(ANSWER)
    post = daemon.post

    def stand_still(event):
        post(event)
        if daemon.claims:
            time.at += 2 * carrier_rig.CLAIM_S

    daemon.post = stand_still
    found = plain_calls.run(
        handler_context.HandlerContext(daemon, None, services), BOOKING
    )
    assert not services.seen
    assert found.outcome.ran is outcomes.Ran.NOT_RUN


def test_refusal_after_a_lost_try_does_not_say_not_run():
    _, _, found = run(JOB, LOST, UNSENT, UNSENT)
    assert found.outcome.ran is outcomes.Ran.UNKNOWN


def test_answer_to_another_request_is_counted():
    daemon, _, _ = run(JOB, MISMATCHED, ANSWER)
    counted = daemon.metrics.registry.get_sample_value(
        "hemlockreel_wrong_answers_total"
    )
    assert counted == 1
