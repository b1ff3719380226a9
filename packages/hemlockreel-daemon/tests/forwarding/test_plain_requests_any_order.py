"""Plain requests under any mix of faults and pauses."""

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import clock
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import shared_placement
from hemlockreel_daemon.forwarding import interfaces

SERVERS = ("a", "b", "c")
SERVICE = rigs.SERVICE._replace(engine=None)
DEADLINE_S = 1.0
NOT_SENT = interfaces.SendFailure(interfaces.Ran.NOT_SENT, "connect")
NOT_RUN = rigs.make_send_failure()
UNKNOWN = interfaces.SendFailure(interfaces.Ran.UNKNOWN, "reset")
TIMED_OUT = UNKNOWN._replace(timed_out=True)
# A status stands for a complete response.
ANSWERS = strategies.sampled_from(
    [200, 200, 404, 500, NOT_RUN, NOT_SENT, UNKNOWN, TIMED_OUT, "torn"]
)
PAUSES = strategies.sampled_from([0.0, 0.0, 0.1, 0.4, 2.0])


@pytest.fixture(scope="module")
def time():
    patch = pytest.MonkeyPatch()
    made = Clock()
    patch.setattr(clock, "now", made.now)
    yield made
    patch.undo()


class Clock:
    """A clock that pauses advance without waiting."""

    def __init__(self):
        self.at = 100.0

    def now(self):
        """Returns the time."""
        return self.at


@hypothesis.settings(max_examples=1500, deadline=None)
@hypothesis.given(
    answers=strategies.lists(ANSWERS, max_size=8),
    pauses=strategies.lists(PAUSES, max_size=8),
    kind=strategies.sampled_from(
        [
            deployments.RouteKind.IDEMPOTENT,
            deployments.RouteKind.NON_IDEMPOTENT,
        ]
    ),
    attempts=strategies.integers(1, 4),
    leaves_after=strategies.integers(0, 4),
    is_shared=strategies.booleans(),
)
def test_any_script(
    time, answers, pauses, kind, attempts, leaves_after, is_shared
):
    rig = rigs.Rig(*map(rigs.server, SERVERS))
    shared = rig.board.state(shared_placement.State)
    shared.is_shared = is_shared
    script, waits = iter(answers), iter(pauses)
    arrived, ran, steps = [], [], 0

    def send(instance, options, box):
        nonlocal steps
        steps += 1
        time.at += next(waits, 0.0)
        if steps == leaves_after:
            box.stop(outcomes.Reason.CALLER_GONE)
        found = next(script, 200)
        if found is not NOT_SENT:
            arrived.append(instance.id)
        if isinstance(found, interfaces.SendFailure):
            if found.ran is interfaces.Ran.UNKNOWN:
                ran.append(instance.id)
            return found
        ran.append(instance.id)
        if found == "torn":
            return rigs.make_response(b"par", ConnectionResetError())
        return rigs.make_response(b"done", status=found)

    rig.backends.on_send = send
    route = rigs.ROUTE._replace(
        kind=kind,
        generates=False,
        timeout_s=DEADLINE_S,
        objective_s=0.1,
        max_attempts=attempts,
    )
    response = rig.handle_request(route, SERVICE, None, deadline_s=DEADLINE_S)
    assert response.has_started or response.was_aborted
    if response.status in (200, 404, 500):
        # The response is that of a replica, and complete.
        assert response.body == b"done"
        assert response.headers == (("X-Own", "1"),)
        assert response.status in answers or response.status == 200
    elif response.status == 503:
        assert not ran, "refused as not executed although it ran"
        assert float(dict(response.headers)["Retry-After"]) >= 0
    elif response.status is not None:
        assert response.status in (502, 504)
        assert ran
    else:
        assert rig.box.stopped is not None
    if kind is deployments.RouteKind.NON_IDEMPOTENT:
        assert len(ran) <= 1
    assert len(arrived) <= attempts
    # No replica receives the request twice.
    assert len(set(arrived)) == len(arrived)
    assert all(wait_s > 0 for _, wait_s in rig.backends.waits)
    assert not rig.board.state(ranking.State).running
    assert not shared.held
    assert all(pool.is_idle for pool in shared.pools.values())
