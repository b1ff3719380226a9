"""Hosts that are stopped and started in turn under load."""

import math

import pytest

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import membership
from hemlockreel_standins import stage_rig

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import graceful_shutdown


@pytest.fixture
def holder():
    made = stage_rig.Holder()
    made.post(events.DrainRequested())
    return made


def phase_at(holder, seconds):
    return graceful_shutdown.phase(holder.board, seconds)


def test_everything_is_accepted_before_the_shutdown():
    assert (
        graceful_shutdown.phase(stage_rig.Holder().board, 99.0)
        == graceful_shutdown.Phase()
    )


def test_the_host_is_draining_at_once(holder):
    assert membership.table(holder.board).draining


def test_streams_are_refused_before_other_requests(holder):
    assert phase_at(holder, 0.0) == graceful_shutdown.Phase(True, True, True)
    assert phase_at(holder, 4.0) == graceful_shutdown.Phase(True, False, True)
    assert phase_at(holder, 6.0) == graceful_shutdown.Phase(True, False, False)


def test_the_process_exits_after_the_last_request(holder):
    holder.now = 6.0
    holder.post(events.CallersCounted(1))
    assert actions.Exit() not in holder.seen
    holder.post(events.CallersCounted(0))
    assert actions.Exit() in holder.seen


def test_requests_that_were_just_sent_are_still_answered(holder):
    """Callers that were refused with others have requests on the way."""
    holder.now = 6.0
    holder.post(events.CallersCounted(0, 0.1))
    assert actions.Exit() not in holder.seen
    holder.post(events.CallersCounted(0, 0.4))
    assert actions.Exit() in holder.seen


def test_requests_that_never_end_do_not_delay_the_exit(holder):
    holder.now = 7.7
    holder.post(events.CallersCounted(0, 0.0))
    assert actions.Exit() in holder.seen


def test_the_process_exits_before_it_is_killed(holder):
    holder.now = 7.7
    holder.post(events.CallersCounted(3))
    assert actions.Exit() in holder.seen


def test_a_second_request_to_stop_does_not_extend_the_grace(holder):
    holder.now = 3.0
    holder.post(events.DrainRequested())
    assert not phase_at(holder, 6.0).accepts_requests


def test_requests_are_given_up_in_time_for_an_answer(holder):
    board = holder.board
    assert graceful_shutdown.gives_up_at(stage_rig.Holder().board) == math.inf
    exits_at = 8.0 - graceful_shutdown.EXIT_S
    assert graceful_shutdown.gives_up_at(board) < exits_at - 0.3


@pytest.mark.parametrize(
    "kind, limit_s, left_s, can_finish",
    [
        ("non_idempotent", 1.0, 1.1, True),
        ("non_idempotent", 14.0, 4.0, False),
        ("idempotent", 14.0, 4.0, True),
        ("idempotent", 14.0, 3.0, False),
        ("idempotent", 1.0, 1.1, True),
    ],
)
def test_requests_that_could_not_finish_do_not_begin(
    kind, limit_s, left_s, can_finish
):
    route = deployments.Route(
        name="r", host="h", prefix="/", kind=deployments.RouteKind(kind),
        shares=(), timeout_s=14.0, objective_s=0.9,
    )  # fmt: skip
    found = graceful_shutdown.can_finish(route, limit_s, left_s)
    assert found is can_finish
