"""Claims of several daemons, with calls, faults and crashes in any order.

The rig's journal lists the calls that ran. Each key must be in it at most
once, and no request that was reported as not run.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hemlockreel import events
from hemlockreel import outcomes
from hemlockreel_standins import claim_rig

HOSTS = 3
KEYS = ("a", "b")
HOW = strategies.sampled_from(["whole", "whole", "lost", "late", "down"])
ENDS = strategies.sampled_from(
    [claim_rig.ANSWER, claim_rig.UNKNOWN, claim_rig.NOT_RUN]
)
PICK = strategies.integers(0, 10)


class Claims(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.rig = claim_rig.Rig(HOSTS)
        self.rig.pass_time(0.1)
        self.request_ids = []

    @stateful.rule(host=PICK, key=strategies.sampled_from(KEYS))
    def ask(self, host, key):
        request_id = f"r{len(self.request_ids)}"
        self.request_ids.append(request_id)
        self.rig.request_claim(request_id, host % HOSTS, key)

    @stateful.precondition(lambda self: self.rig.calls)
    @stateful.rule(position=PICK, how=HOW)
    def answer(self, position, how):
        self.rig.answer(position % len(self.rig.calls), how)

    @stateful.precondition(lambda self: self.rig.late)
    @stateful.rule(position=PICK)
    def arrive(self, position):
        self.rig.deliver_late(position % len(self.rig.late))

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.3, 3.0, 30.0]))
    def wait(self, seconds):
        # Calls in flight stay there; time passes for the daemons only.
        self.rig.now += seconds
        for index in range(HOSTS):
            self.rig.step(index, events.Tick(1e9 + self.rig.now))

    @stateful.rule(seconds=strategies.sampled_from([0.5, 10.0]))
    def work(self, seconds):
        self.rig.pass_time(seconds)

    @stateful.rule(host=PICK)
    def crash(self, host):
        self.rig.crash(host % HOSTS)

    @stateful.precondition(lambda self: self.able())
    @stateful.rule(position=PICK, outcome=ENDS)
    def send(self, position, outcome):
        # The call is sent however long ago it was permitted, since the worker
        # may be paused after it has read the clock.
        able = self.able()
        self.rig.run(able[position % len(able)], outcome)

    @stateful.precondition(lambda self: self.waiting())
    @stateful.rule(position=PICK)
    def give_up(self, position):
        waiting = self.waiting()
        self.rig.time_out(waiting[position % len(waiting)])

    def able(self):
        return [
            found for found in self.request_ids if self.rig.may_send(found)
        ]

    def waiting(self):
        return [
            found
            for found in self.request_ids
            if found not in self.rig.replies
            and self.rig.keys[found][1] in self.rig.boards
        ]

    @stateful.invariant()
    def no_key_runs_twice(self):
        for runs in self.rig.journal.values():
            assert len(runs) == 1, runs

    @stateful.invariant()
    def not_run_is_true(self):
        ran = {runs[0] for runs in self.rig.journal.values()}
        for request_id, told in self.rig.replies.items():
            if _is_not_run(told[-1]):
                assert request_id not in ran

    @stateful.invariant()
    def a_recorded_answer_belongs_to_a_run(self):
        for request_id, told in self.rig.replies.items():
            if told[-1] == claim_rig.ANSWER:
                assert self.rig.journal.get(self.rig.keys[request_id][2])

    def teardown(self):
        """Checks that each key gets a result once all faults have ended."""
        self.rig.pass_time(20)
        for index, key in enumerate(KEYS):
            request_id = f"last{index}"
            self.rig.request_claim(request_id, index, key)
            self.rig.pass_time(3)
            assert self.rig.replies[request_id], key
            if self.rig.may_send(request_id):
                self.rig.run(request_id)
        self.no_key_runs_twice()
        self.a_recorded_answer_belongs_to_a_run()


def _is_not_run(told):
    refused = isinstance(told, outcomes.Refused)
    return refused and told.ran is outcomes.Ran.NOT_RUN


TestClaims = Claims.TestCase
TestClaims.settings = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
