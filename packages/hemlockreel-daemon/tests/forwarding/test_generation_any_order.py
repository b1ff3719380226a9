"""Requests to a model under any mix of faults and pauses at any step.

The replicas follow a generated script. For each script the caller receives
every event once and a correct end, and no unused reservation or prefill
result is left behind.
"""

import collections
import itertools
import time as times

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import clock
from hemlockreel_daemon import mailbox
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import shared_placement
from hemlockreel_daemon.forwarding import generation
from hemlockreel_daemon.forwarding import interfaces

EVENTS = [b"id: %d\ndata: %d\n\n" % (each, each) for each in (1, 2, 3)]
WHOLE = b"".join(EVENTS)
DEADLINE_S = 14.0
NOT_SENT = interfaces.SendFailure(interfaces.Ran.NOT_SENT, "connect")
NOT_RUN = rigs.make_send_failure()
MISMATCH = NOT_RUN._replace(detail="status 421", instance_mismatch=True)
UNKNOWN = interfaces.SendFailure(interfaces.Ran.UNKNOWN, "reset")
TIMED_OUT = UNKNOWN._replace(timed_out=True)
PAUSES = strategies.sampled_from([0.0, 0.0, 0.0, 0.05, 0.6, 3.0, 20.0])
RESERVATIONS = strategies.sampled_from(
    ["room", "room", "room", NOT_RUN, NOT_SENT]
)
PREFILLS = strategies.sampled_from(
    ["read", "read", "read", NOT_RUN, NOT_SENT, MISMATCH, UNKNOWN, TIMED_OUT]
)
# A run that fails: the number of events before the failure, and the failure.
FAILED_RUNS = strategies.tuples(
    strategies.integers(0, 2),
    strategies.sampled_from([b"", ConnectionResetError(), TimeoutError()]),
)
RUNS = strategies.one_of(
    strategies.just("whole"),
    FAILED_RUNS,
    strategies.sampled_from([NOT_RUN, NOT_RUN, NOT_SENT, MISMATCH]),
    strategies.sampled_from([UNKNOWN, TIMED_OUT, "error"]),
)


RECEIVE = mailbox.Mailbox.get


class ScriptedReplicas:
    """Replicas that follow a script and record what they still hold.

    After the end of the script every call succeeds.
    """

    def __init__(self, rig, clock_, script):
        self.rig = rig
        self.clock = clock_
        self.reservations, self.prefills, self.runs, self.pauses = map(
            iter, script[:4]
        )
        self.leaves_after = script[4]
        self.steps = 0
        self.numbers = itertools.count()
        self.reserved = set()
        self.prefill_results = set()
        self.runs_by = []
        self.reached = collections.Counter()
        rig.backends.on_hold = self.reserve
        rig.backends.on_prefill = self.prefill
        rig.backends.on_send = self.run

    def step(self):
        """Advances the clock; the caller leaves at the scripted step."""
        self.steps += 1
        self.clock.at += next(self.pauses, 0.0)
        if self.steps == self.leaves_after:
            self.rig.box.stop(outcomes.Reason.CALLER_GONE)

    def reserve(self, instance, tokens):
        """Grants a reservation, or fails as scripted."""
        self.step()
        found = next(self.reservations, "room")
        if found != "room":
            return found
        self.reserved.add(name := f"hold-{next(self.numbers)}")
        return name

    def prefill(self, instance, request):
        """Returns a prefill result, or fails as scripted."""
        self.step()
        found = next(self.prefills, "read")
        if found != "read":
            return found
        self.prefill_results.add(name := f"handle-{next(self.numbers)}")
        source = f"{instance.address}/{name}"
        return interfaces.PrefillResult(
            name, source, request.demand.prompt, instance.id
        )

    def run(self, instance, options, box):
        """Streams the events that the caller has not received yet."""
        self.step()
        found = next(self.runs, "whole")
        if isinstance(found, interfaces.SendFailure):
            if found.ran is not interfaces.Ran.NOT_SENT:
                self.reached[instance.id] += 1
            if (
                found.ran is interfaces.Ran.NOT_RUN
                and not found.instance_mismatch
            ):
                # The prefill result had expired. A replica that reports a
                # mismatch doesn't fetch it.
                self.prefill_results.discard(options.source.rpartition("/")[2])
            if found.ran is not interfaces.Ran.UNKNOWN:
                return found
        else:
            self.reached[instance.id] += 1
        assert options.reservation_id in self.reserved
        self.reserved.remove(options.reservation_id)
        self.prefill_results.discard(options.source.rpartition("/")[2])
        self.runs_by.append(instance.id)
        if isinstance(found, interfaces.SendFailure):
            return found
        if found == "error":
            return rigs.make_response(b"failed", status=500)
        left = EVENTS[int(options.resume_after or 0) :]
        if found == "whole":
            return rigs.make_response(*left)
        events, end = found
        return rigs.make_response(*left[:events], b"id: 9\nda", end)

    def apply_releases(self):
        """Removes what the host released."""
        for kind, _, name in self.rig.backends.sent:
            if kind == "drop":
                self.reserved.remove(name)
            elif kind == "free":
                self.prefill_results.remove(name)


class Clock:
    """A clock that pauses and sleeps advance without waiting."""

    def __init__(self):
        self.at = 100.0

    def now(self):
        """Returns the time."""
        return self.at

    def sleep(self, seconds):
        """Advances the clock."""
        assert seconds >= 0
        self.at += seconds


@pytest.fixture(scope="module")
def time():
    patch = pytest.MonkeyPatch()
    made = Clock()
    patch.setattr(clock, "now", made.now)
    patch.setattr(times, "sleep", made.sleep)

    def receive(box, timeout_s):
        # The loop runs in step, so what is not there does not come.
        value = RECEIVE(box, 0.0)
        if value is None:
            made.sleep(timeout_s)
        return value

    patch.setattr(mailbox.Mailbox, "get", receive)
    yield made
    patch.undo()


def make_rig(prefills, decodes):
    return rigs.Rig(
        *(rigs.engine(f"p{each}", "prefill") for each in range(prefills)),
        *(rigs.engine(f"d{each}", "decode") for each in range(decodes)),
    )


SCRIPTS = strategies.tuples(
    strategies.lists(RESERVATIONS, max_size=12),
    strategies.lists(PREFILLS, max_size=6),
    strategies.lists(RUNS, max_size=6),
    strategies.lists(PAUSES, max_size=20),
    strategies.one_of(strategies.just(0), strategies.integers(1, 8)),
)


@hypothesis.settings(max_examples=1500, deadline=None)
@hypothesis.given(
    script=SCRIPTS,
    prefills=strategies.integers(0, 2),
    decodes=strategies.integers(1, 3),
    resumable=strategies.booleans(),
    attempts=strategies.integers(1, 3),
    is_shared=strategies.booleans(),
)
def test_any_script(
    time, script, prefills, decodes, resumable, attempts, is_shared
):
    rig = make_rig(prefills, decodes)
    shared = rig.board.state(shared_placement.State)
    shared.is_shared = is_shared
    replicas = ScriptedReplicas(rig, time, script)
    route = rigs.ROUTE._replace(resumable=resumable, max_attempts=attempts)
    began = time.at
    response = rig.handle_request(route, deadline_s=DEADLINE_S)
    replicas.apply_releases()
    check_response(response, replicas, began + DEADLINE_S - time.at)
    # No reservation, prefill result or load count is left behind.
    assert not replicas.reserved
    assert not replicas.prefill_results
    state = rig.board.state(ranking.State)
    assert not state.running
    assert not state.running_tokens
    assert not shared.held
    assert all(pool.is_idle for pool in shared.pools.values())
    # Only a resumable stream runs more than once, and attempts are bounded.
    assert len(replicas.runs_by) <= (attempts if resumable else 1)
    assert len(replicas.reached) <= attempts
    most = attempts + generation.MAX_REFUSED_RUNS
    assert sum(replicas.reached.values()) <= most
    assert all(wait_s > 0 for _, wait_s in rig.backends.waits)


def check_response(response, replicas, left_s):
    """Checks the response that ended ``left_s`` before the deadline."""
    gone = replicas.rig.box.stopped is not None
    assert response.has_started or response.was_aborted
    if response.status == 200:
        assert WHOLE.startswith(response.body)
        assert response.was_aborted or response.body == WHOLE
    elif response.status == 500:
        # The replica's own response, forwarded completely.
        assert response.body == b"failed"
        assert not response.was_aborted or gone
    elif response.status == 503:
        assert not replicas.runs_by, "refused as not executed although it ran"
        retry_after_s = float(dict(response.headers)["Retry-After"])
        assert 0 <= retry_after_s <= max(left_s, 0.5)
    elif response.status is not None:
        assert response.status in (502, 504)
        assert replicas.runs_by
    else:
        assert gone
