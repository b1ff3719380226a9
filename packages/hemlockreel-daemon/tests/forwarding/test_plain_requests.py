"""Replicas that fail some requests, refuse them, or are unreachable."""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import shared_placement
from hemlockreel_daemon.forwarding import interfaces

Kind = deployments.RouteKind
LOOKUP = rigs.ROUTE._replace(
    kind=Kind.IDEMPOTENT, max_attempts=2, timeout_s=1.0, objective_s=0.15
)
BOOKING = LOOKUP._replace(kind=Kind.NON_IDEMPOTENT, max_attempts=1)
PLAIN = deployments.Service("lesar", 192)
UNKNOWN = interfaces.SendFailure(interfaces.Ran.UNKNOWN, "reset")
NOT_SENT = interfaces.SendFailure(interfaces.Ran.NOT_SENT, "connect")


@pytest.fixture
def rig():
    return rigs.Rig(rigs.server("a"), rigs.server("b"), rigs.server("c"))


def carry(rig, route, answers):
    """Handles a request whose attempts get ``answers`` in turn."""
    left = list(answers)
    rig.backends.sent.clear()
    rig.backends.on_send = lambda *_: left.pop(0)
    return rig.handle_request(route, PLAIN, None, deadline_s=1.0)


def ok():
    return rigs.make_response(b"whole")


def failed():
    return rigs.make_response(b"oops", status=500)


@pytest.mark.parametrize(
    ("route", "answers", "status", "attempts"),
    [
        (LOOKUP, [ok()], 200, 1),
        (LOOKUP, [UNKNOWN, ok()], 200, 2),
        (LOOKUP, [failed(), ok()], 200, 2),
        (LOOKUP, [failed(), failed()], 500, 2),
        (LOOKUP, [failed(), UNKNOWN], 500, 2),
        (LOOKUP, [UNKNOWN, UNKNOWN], 502, 2),
        (LOOKUP, [rigs.make_send_failure(), rigs.make_send_failure()], 503, 2),
        (LOOKUP, [UNKNOWN, rigs.make_send_failure()], 502, 2),
        (LOOKUP, [NOT_SENT, NOT_SENT, ok()], 200, 3),
        (LOOKUP, [NOT_SENT, NOT_SENT, NOT_SENT], 503, 3),
        (BOOKING, [ok()], 200, 1),
        (BOOKING, [failed()], 500, 1),
        (BOOKING, [UNKNOWN], 502, 1),
        (BOOKING, [rigs.make_send_failure()], 503, 1),
        (BOOKING, [NOT_SENT, ok()], 200, 2),
        (
            BOOKING,
            [rigs.make_response(b"par", ConnectionResetError())],
            502,
            1,
        ),
    ],
)
def test_retries_and_the_response_to_the_caller(
    rig, route, answers, status, attempts
):
    response = carry(rig, route, answers)
    assert response.status == status
    assert len(rig.backends.sent) == attempts
    asked = [name for _, name, _ in rig.backends.sent]
    assert len(set(asked)) == len(asked)


@pytest.mark.parametrize(("answer", "good"), [(ok(), True), (failed(), False)])
def test_only_successes_teach_how_long_a_place_is_held(rig, answer, good):
    rig.board.state(shared_placement.State).is_shared = True
    carry(rig, BOOKING, [answer])
    ended = [
        each.succeeded
        for each in rig.loop.seen
        if isinstance(each, shared_placement.PlaceEnded)
    ]
    assert ended == [good]


def test_a_refusal_as_not_run_has_a_retry_after(rig):
    response = carry(rig, BOOKING, [rigs.make_send_failure()])
    assert float(dict(response.headers)["Retry-After"]) > 0


def test_without_a_replica_the_request_is_refused_at_once():
    rig = rigs.Rig()
    assert rig.handle_request(LOOKUP, PLAIN, None).status == 503
    assert rig.backends.sent == []


def test_a_failing_replica_gets_fewer_requests(rig):
    def grey(instance, options, box):
        return failed() if instance.id == "a" else ok()

    rig.backends.on_send = grey
    for _ in range(200):
        rig.handle_request(BOOKING, PLAIN, None, deadline_s=1.0)
    first = [name for _, name, _ in rig.backends.sent].count("a")
    assert first < 200 / 3 / 2


def test_failures_common_to_all_replicas_shift_no_load(rig):
    rig.backends.on_send = lambda *_: failed()
    for _ in range(300):
        rig.handle_request(BOOKING, PLAIN, None, deadline_s=1.0)
    asked = [name for _, name, _ in rig.backends.sent]
    assert all(asked.count(name) > 50 for name in "abc")


def test_replicas_in_the_own_availability_zone_go_first():
    rig = rigs.Rig(rigs.server("near"), rigs.server("far", zone="orkanger"))
    rig.backends.on_send = lambda *_: ok()
    for _ in range(20):
        rig.handle_request(LOOKUP, PLAIN, None)
    assert {name for _, name, _ in rig.backends.sent} == {"near"}


def test_retries_stop_when_the_budget_is_used_up(rig):
    """Every replica fails, and callers send requests without a pause."""
    rig.backends.on_send = lambda *_: UNKNOWN
    for _ in range(300):
        rig.handle_request(LOOKUP, PLAIN, None)
    extra = len(rig.backends.sent) - 300
    # The ratio of the requests and the allowance of a single host.
    assert 0 < extra <= 0.2 * 300 + 100
