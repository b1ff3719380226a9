"""The process is paused while it handles a request.

When it resumes, at any step, the caller's deadline has passed.
"""

import pytest

from hemlockreel_daemon import clock
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments

PAUSE_S = 20.0  # longer than the caller waits
PLAIN = rigs.ROUTE._replace(
    kind=deployments.RouteKind.IDEMPOTENT,
    generates=False,
    timeout_s=1.0,
    max_attempts=2,
)


class Clock:
    """A clock that the tests advance."""

    def __init__(self):
        self.at = 100.0

    def now(self):
        return self.at


@pytest.fixture
def time(monkeypatch):
    made = Clock()
    monkeypatch.setattr(clock, "now", made.now)
    return made


def make_rig():
    return rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )


def pause(time, response):
    """Returns a function that pauses and then returns ``response``."""

    def act(*_):
        time.at += PAUSE_S
        return response

    return act


def read_retry_after(exchange):
    return float(dict(exchange.headers)["Retry-After"])


def test_pause_in_the_reservation_stops_prefill_and_decode(time):
    rig = make_rig()
    rig.backends.on_hold = pause(time, "hold")
    response = rig.handle_request()
    assert response.status == 503
    assert rig.backends.count("prefill", "decode") == 0
    assert rig.backends.count("drop") == 1
    assert read_retry_after(response) >= 0


def test_pause_in_the_prefill_stops_the_decode(time):
    rig = make_rig()
    read = rig.backends.on_prefill
    rig.backends.on_prefill = lambda instance, request: pause(
        time, read(instance, request)
    )()
    response = rig.handle_request()
    assert response.status == 503
    assert rig.backends.count("decode") == 0
    assert rig.backends.count("drop") == 1
    assert rig.backends.count("free") == 1


def test_pause_in_a_refused_reservation_gives_a_valid_retry_after(time):
    rig = make_rig()
    rig.backends.on_hold = pause(time, rigs.make_send_failure())
    response = rig.handle_request()
    assert response.status == 503
    assert read_retry_after(response) >= 0


def test_pause_in_the_decode_aborts_the_started_stream(time):
    rig = make_rig()
    rig.backends.on_send = pause(
        time, rigs.make_response(b"id: 1\ndata: a\n\n")
    )
    response = rig.handle_request()
    assert response.was_aborted


def test_deadline_that_passes_at_any_step_is_noticed(time, monkeypatch):
    """The deadline passes between any two reads of the clock."""
    looks = 0

    def now():
        nonlocal looks
        looks += 1
        return time.at + (PAUSE_S if looks > limit else 0.0)

    monkeypatch.setattr(clock, "now", now)
    for limit in range(60):
        looks = 0
        rig = make_rig()
        begun = rigs.make_response(b"id: 1\ndata: a\n\n")
        rig.backends.on_send = lambda *_, begun=begun: begun
        response = rig.handle_request()
        waits = [wait_s for _, wait_s in rig.backends.waits]
        waits += begun.opened.waits
        assert all(wait_s > 0 for wait_s in waits), limit
        assert response.has_started or response.was_aborted, limit


def test_objective_far_above_the_timeout_refuses_no_request(time):
    rig = make_rig()
    route = rigs.ROUTE._replace(objective_s=60.0, timeout_s=4.0)
    assert rig.handle_request(route, deadline_s=4.0).status == 200


def test_plain_request_is_not_sent_after_its_deadline(time):
    rig = rigs.Rig(rigs.server("a"), rigs.server("b"))
    unreached = rigs.interfaces.SendFailure(
        rigs.interfaces.Ran.NOT_SENT, "refused"
    )
    rig.backends.on_send = pause(time, unreached)
    response = rig.handle_request(
        PLAIN, rigs.SERVICE._replace(engine=None), None, deadline_s=1.0
    )
    assert response.status == 503
    assert len(rig.backends.sent) == 1
