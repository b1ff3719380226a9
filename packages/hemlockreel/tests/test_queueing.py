"""Tests of the fair queue, compared with a naive one, and of fair shares."""

import hypothesis
from hypothesis import strategies as st

from hemlockreel import fair_shares
from hemlockreel import messages
from hemlockreel import queueing

NAMES = ("a", "b", "c")
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}


class NaiveQueue:
    """Keeps a list of all requests and searches it each time."""

    def __init__(self):
        self.waiting = []
        self.virtual_times = dict.fromkeys(NAMES, 0.0)
        self.virtual_now = 0.0

    def push(self, queued):
        name = queued.request.organisation
        if all(x.request.organisation != name for x in self.waiting):
            self.virtual_times[name] = max(
                self.virtual_times[name], self.virtual_now
            )
        self.waiting.append(queued)

    def head_of(self, name):
        own = [x for x in self.waiting if x.request.organisation == name]
        return min(own, key=lambda x: (x.deadline, x.grant_id), default=None)

    def lowest(self):
        """Returns the heads with the lowest virtual time."""
        heads = [head for head in map(self.head_of, NAMES) if head]
        if not heads:
            return []
        low = min(self.virtual_times[x.request.organisation] for x in heads)
        return [
            x
            for x in heads
            if self.virtual_times[x.request.organisation] == low
        ]

    def take(self, queued):
        name = queued.request.organisation
        self.virtual_now = max(self.virtual_now, self.virtual_times[name])
        self.virtual_times[name] += queued.cost_s / WEIGHTS[name]
        self.waiting.remove(queued)


def make_queued(number, name, deadline, cost):
    request = messages.AdmissionRequest(
        sender="e",
        epoch=1,
        request_id=f"r{number}",
        attempt=1,
        shard="s",
        organisation=name,
        weight=WEIGHTS[name],
    )
    start_by = deadline - 0.5
    return queueing.QueuedRequest(
        request, number, deadline, start_by, 1, cost, cost
    )


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            st.sampled_from(NAMES),
            st.integers(1, 40),
            st.integers(1, 4),
        ),
        st.tuples(st.just("take")),
        st.tuples(st.just("remove"), st.integers(0, 30)),
        st.tuples(st.just("expire"), st.integers(1, 40)),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(STEPS)
def test_queue_matches_the_naive_queue(steps):
    queue = queueing.FairQueue(fair_shares.FairShares())
    naive = NaiveQueue()
    for number, step in enumerate(steps):
        if step[0] == "push":
            queued = make_queued(number, *step[1:])
            queue.push(queued)
            naive.push(queued)
        elif step[0] == "take":
            head = next(queue.heads(1), None)
            if head is None:
                assert naive.lowest() == []
                continue
            assert head in naive.lowest()
            queue.dequeue(head)
            naive.take(head)
        elif step[0] == "remove":
            removed = queue.remove((f"r{step[1]}", 1))
            found = [x for x in naive.waiting if x.grant_id == step[1]]
            assert found == ([] if removed is None else [removed])
            naive.waiting = [x for x in naive.waiting if x not in found]
        else:
            expired = set(queue.pop_expired(step[1]))
            late = {x for x in naive.waiting if x.start_by <= step[1]}
            assert expired == late
            naive.waiting = [x for x in naive.waiting if x not in late]
        assert len(queue) == len(naive.waiting)
        heads = list(queue.heads(len(NAMES)))
        wanted = [head for head in map(naive.head_of, NAMES) if head]
        assert {x.grant_id for x in heads} == {x.grant_id for x in wanted}


def count_served(weights, rounds):
    """Serves organisations with a constant backlog; returns the counts."""
    queue = queueing.FairQueue(fair_shares.FairShares())
    served = dict.fromkeys(weights, 0)
    for number in range(rounds * len(weights)):
        name = list(weights)[number % len(weights)]
        queue.push(make_queued(number, name, 1000 + number, 1.0))
    for _ in range(rounds):
        head = next(queue.heads(1))
        queue.dequeue(head)
        served[head.request.organisation] += 1
    return served


def test_served_requests_are_proportional_to_weights():
    assert count_served(WEIGHTS, 70) == {"a": 20, "b": 40, "c": 10}


def test_full_queue_evicts_a_request_of_the_largest_organisation():
    queue = queueing.FairQueue(fair_shares.FairShares())
    for number in range(5):
        queue.push(make_queued(number, "a", 10 + number, 1))
    newcomer = make_queued(9, "b", 5, 1)
    assert queue.evict_for(newcomer.request).grant_id == 4
    assert queue.evict_for(make_queued(10, "a", 5, 1).request) is None


def shares_with_demand(**demand):
    shares = fair_shares.FairShares()
    for name, kv_blocks in demand.items():
        shares.record_demand(name, 1.0, kv_blocks, 1.0)
        shares.adjust_waiting(name, 1.0, kv_blocks)
    return shares


def test_flooding_organisation_is_limited_to_the_fair_level():
    shares = shares_with_demand(flood=40, b=4)
    assert shares.is_flooding("flood", 20, 1.0)
    assert not shares.is_flooding("b", 20, 1.0)
    level = 20 * (1 - fair_shares.HEADROOM_SHARE) - 4
    shares.adjust_held("flood", int(level) - 1)
    assert shares.may_hold("flood", 1)
    assert not shares.may_hold("flood", 2)


def test_organisation_alone_or_among_equals_does_not_flood():
    assert not shares_with_demand(a=40).is_flooding("a", 20, 1.0)
    assert not shares_with_demand(a=40, b=38).is_flooding("a", 20, 1.0)
