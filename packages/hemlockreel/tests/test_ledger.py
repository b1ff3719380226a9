"""Tests of the ledger of a model shard.

Random steps are compared with a naive count of all grants; single tests cover
the rules of admission and placement.
"""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from hemlockreel import decisions
from hemlockreel import declared_objects
from hemlockreel import ledger
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import replicas

PREFILLS = ("p1", "p2")
DECODES = ("d1", "d2")
POOL = declared_objects.ModelPool(
    service="lesar", model="m", overcommit=0.0, decode_batch=20, queue_limit=8
)


def make_replicas(*addresses, leaving=()):
    return [
        replicas.Replica(
            address,
            "lesar",
            "z",
            "r",
            replicas.Role.PREFILL
            if address[0] == "p"
            else replicas.Role.DECODE,
            address in leaving,
        )
        for address in addresses
    ]


def make_ledger(pool=POOL, addresses=PREFILLS + DECODES):
    shard_ledger = ledger.Ledger(pool)
    shard_ledger.set_replicas(make_replicas(*addresses))
    return shard_ledger


def make_request(number, **changes):
    fields = {
        "sender": "e",
        "epoch": 1,
        "request_id": f"r{number}",
        "attempt": 1,
        "shard": "s",
        "organisation": "a",
        "prompt_tokens": 100,
        "output_tokens": 100,
        "deadline_s": 1.9,
    }
    return messages.AdmissionRequest(**{**fields, **changes})


@dataclasses.dataclass
class NaiveLedger:
    """Counts the grants and the waiting requests from all decisions."""

    granted: dict = dataclasses.field(default_factory=dict)
    pending: dict = dataclasses.field(default_factory=dict)

    def take(self, decided):
        for decision in decided:
            key = decision.request.request_id
            assert key in self.pending, "decided twice, or never submitted"
            del self.pending[key]
            if isinstance(decision, decisions.Granted):
                self.granted[decision.grant_id] = decision
            else:
                assert decision.retry_after_s > 0

    def held(self, address, kv_blocks):
        return sum(
            kv_blocks[x.request.request_id]
            for x in self.granted.values()
            if x.replica == address
        )


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("ask"),
            st.sampled_from("ab"),
            st.sampled_from((1, 1, 2, 5, 9)),
            st.sampled_from(("interactive", "deferrable")),
        ),
        st.tuples(
            st.sampled_from(
                ("prefilled", "first", "release", "fail", "withdraw")
            ),
            st.integers(0, 60),
        ),
        st.tuples(st.just("wait"), st.sampled_from((0.05, 0.5, 3.0))),
        st.tuples(
            st.just("leaving"), st.sets(st.sampled_from(PREFILLS + DECODES))
        ),
    ),
    max_size=60,
)


def run_steps(shard_ledger, naive, steps):
    """Applies steps to both ledgers and compares them after each."""
    now = 0.0
    kv_blocks = {}
    leaving = set()
    for number, step in enumerate(steps):
        if step[0] == "ask":
            name, count, priority_class = step[1:]
            request = make_request(
                number,
                organisation=name,
                priority_class=priority_class,
                prompt_tokens=count * POOL.piece_tokens - 100,
            )
            kv_blocks[request.request_id] = count
            naive.pending[request.request_id] = request
            decided = shard_ledger.submit(request, number, now)
        else:
            decided = []
        if step[0] == "prefilled":
            shard_ledger.prefill_finished(step[1], now)
        elif step[0] == "first":
            shard_ledger.first_token(step[1], now)
        elif step[0] in ("release", "fail"):
            shard_ledger.request_finished(step[1], 50, step[0] == "fail", now)
            shard_ledger.release(step[1], now)
            naive.granted.pop(step[1], None)
        elif step[0] == "withdraw":
            shard_ledger.withdraw(f"r{step[1]}", 1)
            naive.pending.pop(f"r{step[1]}", None)
        elif step[0] == "wait":
            now += step[1]
        elif step[0] == "leaving":
            leaving = step[1]
            shard_ledger.set_replicas(
                make_replicas(*PREFILLS, *DECODES, leaving=leaving)
            )
        decided = [*decided, *shard_ledger.decide(now)]
        for decision in decided:
            if isinstance(decision, decisions.Granted):
                assert decision.replica not in leaving
                assert decision.prefill not in leaving
        naive.take(decided)
        assert set(shard_ledger.reservations) == set(naive.granted)
        assert shard_ledger.waiting == len(naive.pending)
        for address in DECODES:
            held = naive.held(address, kv_blocks)
            assert shard_ledger.free_kv_blocks(address) == 20 - held >= 0


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(STEPS)
def test_memory_is_never_granted_twice(steps):
    run_steps(make_ledger(), NaiveLedger(), steps)


def fill_memory(shard_ledger, now=0.0):
    """Grants all memory to decoding requests; returns the grant ids."""
    grant_ids = []
    for number in range(1000, 1100):
        decided = shard_ledger.submit(make_request(number), number, now)
        if not isinstance(decided[0] if decided else None, decisions.Granted):
            shard_ledger.withdraw(f"r{number}", 1)
            return grant_ids
        shard_ledger.prefill_finished(number, now)
        shard_ledger.first_token(number, now)
        grant_ids.append(number)
    return grant_ids


def test_request_waits_for_memory_and_is_granted_on_release():
    shard_ledger = make_ledger()
    grant_ids = fill_memory(shard_ledger)
    assert len(grant_ids) == 40
    assert shard_ledger.submit(make_request(1), 1, 5.0) == []
    shard_ledger.release(grant_ids[0], 5.1)
    decided = shard_ledger.decide(5.1)
    assert [x.grant_id for x in decided] == [1]


def test_request_that_would_be_late_is_denied_at_once():
    shard_ledger = make_ledger()
    fill_memory(shard_ledger)
    decided = [
        x
        for n in range(30)
        for x in shard_ledger.submit(make_request(n), n, 0.1)
    ]
    assert {x.reason for x in decided} == {
        outcomes.Reason.FIRST_TOKEN_TOO_LATE
    }
    times = [x.retry_after_s for x in decided]
    assert times == sorted(times)
    assert len(set(times)) == len(times)


def test_request_that_waits_too_long_is_denied():
    shard_ledger = make_ledger()
    fill_memory(shard_ledger)
    assert shard_ledger.submit(make_request(1), 1, 5.0) == []
    assert shard_ledger.decide(5.5) == []
    [denied] = shard_ledger.decide(5.0 + 1.9)
    assert denied.reason is outcomes.Reason.FIRST_TOKEN_TOO_LATE


def test_deferrable_request_waits_until_interactive_peak_has_passed():
    shard_ledger = make_ledger()
    grant_ids = fill_memory(shard_ledger)
    request = make_request(1, priority_class="deferrable", deadline_s=600.0)
    assert shard_ledger.submit(request, 1, 1.0) == []
    assert shard_ledger.decide(500.0) == []
    for grant_id in grant_ids:
        shard_ledger.release(grant_id, 500.0)
    # The recent peak of the interactive requests stays reserved for them.
    assert shard_ledger.decide(500.1) == []
    decided = [x for at in (540.0, 580.0) for x in shard_ledger.decide(at)]
    assert [x.grant_id for x in decided] == [1]


def test_interactive_requests_go_before_deferrable_ones():
    shard_ledger = make_ledger()
    grant_ids = fill_memory(shard_ledger)
    request = make_request(1, priority_class="deferrable", deadline_s=600.0)
    shard_ledger.submit(request, 1, 1.0)
    assert shard_ledger.submit(make_request(2), 2, 1.1) == []
    shard_ledger.release(grant_ids[0], 1.2)
    assert [x.grant_id for x in shard_ledger.decide(1.2)] == [2]


def test_failed_and_excluded_replicas_get_no_requests():
    shard_ledger = make_ledger()
    shard_ledger.submit(make_request(1), 1, 0.0)
    failed = shard_ledger.reservations[1]
    shard_ledger.prefill_finished(1, 0.1)
    shard_ledger.request_finished(1, 0, True, 0.1)
    shard_ledger.release(1, 0.1)
    assert failed.is_finished
    [second] = shard_ledger.submit(make_request(2), 2, 0.2)
    [third] = shard_ledger.submit(make_request(3, exclude=["d2"]), 3, 1.0)
    assert (second.replica, third.replica) == ("d2", "d1")


def test_engine_with_stale_report_gets_no_requests():
    shard_ledger = make_ledger()
    report = {"pieces_total": 20, "pieces_free": 20, "age_s": 0.0}
    shard_ledger.set_load("d1", report, 0.0)
    for at in (0.0, 2.0, 4.0):
        shard_ledger.set_load("d2", report, at)
    [granted] = shard_ledger.submit(make_request(1), 1, 4.0)
    assert granted.replica == "d2"


def test_memory_granted_by_another_owner_is_not_free():
    shard_ledger = make_ledger(addresses=("p1", "d1"))
    report = {"pieces_total": 20, "pieces_free": 0, "age_s": 0.2}
    shard_ledger.set_load("d1", report, 1.0)
    assert shard_ledger.free_kv_blocks("d1") == 0
    assert (
        shard_ledger.submit(make_request(1), 1, 1.0) == []
        or shard_ledger.waiting == 0
    )
    shard_ledger.set_load("d1", {**report, "pieces_free": 20}, 1.5)
    assert shard_ledger.free_kv_blocks("d1") == 20


def test_engine_that_misses_the_token_target_is_too_slow():
    shard_ledger = make_ledger(addresses=("p1", "d1", "d2"))
    now = 0.0
    for number in range(60):
        for decision in shard_ledger.submit(make_request(number), number, now):
            grant_id = decision.grant_id
            gap_s = 0.2 if decision.replica == "d1" else 0.04
            shard_ledger.first_token(grant_id, now + 0.1)
            shard_ledger.request_finished(
                grant_id, 51, False, now + 0.1 + 50 * gap_s
            )
            shard_ledger.release(grant_id, now + 0.1 + 50 * gap_s)
        now += 0.5
    assert shard_ledger.fleet.decodes["d1"].is_too_slow
    assert not shard_ledger.fleet.decodes["d2"].is_too_slow


def test_reported_role_takes_precedence_over_the_list():
    shard_ledger = make_ledger()
    load = {"role": "decode", "pieces_total": 20, "pieces_free": 20}
    shard_ledger.set_load("p2", load, 0.0)
    grants = [
        shard_ledger.submit(make_request(n), n, 0.0)[0] for n in range(2)
    ]
    assert {x.prefill for x in grants} == {"p1"}
    assert shard_ledger.free_kv_blocks("p2") >= 19


def test_replica_with_cached_prefix_is_preferred_until_busy():
    shard_ledger = make_ledger()
    request = {"prompt_tokens": 2600, "prefixes": list(range(10))}
    [first] = shard_ledger.submit(make_request(1, **request), 1, 0.0)
    # The predicted time, so that the speed estimate stays the same.
    shard_ledger.prefill_finished(1, 0.345)
    shard_ledger.first_token(1, 0.4)
    [second] = shard_ledger.submit(make_request(2, **request), 2, 1.0)
    [third] = shard_ledger.submit(
        make_request(3, prompt_tokens=8000, prefixes=[99]), 3, 1.0
    )
    [fourth] = shard_ledger.submit(make_request(4, **request), 4, 1.0)
    assert second.prefill == fourth.prefill == first.prefill
    assert third.prefill != first.prefill


@pytest.mark.parametrize("setting", [0.0, 0.9])
def test_memory_is_overcommitted_only_when_configured(setting):
    pool = msgspec.structs.replace(POOL, overcommit=setting)
    grant_ids = fill_memory(make_ledger(pool))
    assert (len(grant_ids) > 40) == (setting > 0)


@pytest.mark.parametrize(
    "load",
    [
        {},
        {"role": "novel", "pieces_total": 20},
        {"role": "decode", "pieces_total": None, "pieces_free": "many"},
        {"role": "decode", "pieces_total": 20, "age_s": "old"},
    ],
)
def test_malformed_report_is_ignored(load):
    shard_ledger = make_ledger()
    shard_ledger.set_load("d1", load, 1.0)
    assert shard_ledger.free_kv_blocks("d1") == 20
    assert shard_ledger.fleet.decodes["d1"].reported_at is None


def test_plain_replica_gets_no_model_requests():
    shard_ledger = make_ledger(addresses=("p1", "d1"))
    plain = replicas.Role.PLAIN
    members = make_replicas("p1", "d1")
    shard_ledger.set_replicas([members[0], members[1]._replace(role=plain)])
    [denied] = shard_ledger.submit(make_request(1), 1, 0.0)
    assert denied.reason is outcomes.Reason.NO_BACKEND


def test_only_replica_is_used_again_after_a_single_failure():
    shard_ledger = make_ledger(addresses=PREFILLS + DECODES[:1])
    for number in (1, 2):
        [granted] = shard_ledger.submit(
            make_request(number), number, number / 10
        )
        assert isinstance(granted, decisions.Granted)
        shard_ledger.prefill_finished(number, number / 10)
        shard_ledger.request_finished(number, 0, True, number / 10)
        shard_ledger.release(number, number / 10)
    [denied] = shard_ledger.submit(make_request(3), 3, 0.25)
    assert isinstance(denied, decisions.Denied)
