"""The ledger against a count of all its grants, and its rules one by one."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from hemlockreel import decisions
from hemlockreel import ledger
from hemlockreel import messages
from hemlockreel import objects
from hemlockreel import outcomes
from hemlockreel import replicas

PREFILLS = ("p1", "p2")
DECODES = ("d1", "d2")
POOL = objects.ModelPool(
    service="lesar",
    model="m",
    overcommit=0.0,
    decode_batch=20,
    queue_limit=8,
)


def listed(*addresses, leaving=()):
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
    book = ledger.Ledger(pool)
    book.set_replicas(listed(*addresses))
    return book


def make_ask(number, **given):
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
    return messages.Ask(**{**fields, **given})


@dataclasses.dataclass
class Naive:
    """Counts by looking at all that was ever decided."""

    granted: dict = dataclasses.field(default_factory=dict)
    asked: dict = dataclasses.field(default_factory=dict)

    def take(self, decided):
        for decision in decided:
            key = decision.request.request_id
            assert key in self.asked, "decided twice, or never asked"
            del self.asked[key]
            if isinstance(decision, decisions.Granted):
                self.granted[decision.grant_id] = decision
            else:
                assert decision.retry_after_s > 0

    def held(self, address, pieces):
        return sum(
            pieces[x.request.request_id]
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


def play(book, naive, steps):
    """Plays steps on both and compares them after each."""
    now = 0.0
    pieces = {}
    leaving = set()
    for number, step in enumerate(steps):
        if step[0] == "ask":
            name, count, klass = step[1:]
            ask = make_ask(
                number,
                organisation=name,
                klass=klass,
                prompt_tokens=count * POOL.piece_tokens - 100,
            )
            pieces[ask.request_id] = count
            naive.asked[ask.request_id] = ask
            decided = book.submit(ask, number, now)
        else:
            decided = []
        if step[0] == "prefilled":
            book.prefill_finished(step[1], now)
        elif step[0] == "first":
            book.first_token(step[1], now)
        elif step[0] in ("release", "fail"):
            book.request_finished(step[1], 50, step[0] == "fail", now)
            book.release(step[1], now)
            naive.granted.pop(step[1], None)
        elif step[0] == "withdraw":
            book.withdraw(f"r{step[1]}", 1)
            naive.asked.pop(f"r{step[1]}", None)
        elif step[0] == "wait":
            now += step[1]
        elif step[0] == "leaving":
            leaving = step[1]
            book.set_replicas(listed(*PREFILLS, *DECODES, leaving=leaving))
        decided = [*decided, *book.decide(now)]
        for decision in decided:
            if isinstance(decision, decisions.Granted):
                assert decision.replica not in leaving
                assert decision.prefill not in leaving
        naive.take(decided)
        assert set(book.reservations) == set(naive.granted)
        assert book.waiting == len(naive.asked)
        for address in DECODES:
            held = naive.held(address, pieces)
            assert book.free_kv_blocks(address) == 20 - held >= 0


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(STEPS)
def test_memory_is_never_granted_twice(steps):
    play(make_ledger(), Naive(), steps)


def fill(book, now=0.0):
    """Grants all memory to requests that decode; returns their ids."""
    given = []
    for number in range(1000, 1100):
        decided = book.submit(make_ask(number), number, now)
        if not isinstance(decided[0] if decided else None, decisions.Granted):
            book.withdraw(f"r{number}", 1)
            return given
        book.prefill_finished(number, now)
        book.first_token(number, now)
        given.append(number)
    return given


def test_ask_waits_for_memory_and_is_granted_on_release():
    book = make_ledger()
    given = fill(book)
    assert len(given) == 40
    assert book.submit(make_ask(1), 1, 5.0) == []
    book.release(given[0], 5.1)
    decided = book.decide(5.1)
    assert [x.grant_id for x in decided] == [1]


def test_ask_that_would_be_late_is_denied_at_once():
    book = make_ledger()
    fill(book)
    decided = [x for n in range(30) for x in book.submit(make_ask(n), n, 0.1)]
    assert {x.reason for x in decided} == {outcomes.Reason.LATE}
    times = [x.retry_after_s for x in decided]
    assert times == sorted(times)
    assert len(set(times)) == len(times)


def test_ask_that_waits_too_long_is_denied():
    book = make_ledger()
    fill(book)
    assert book.submit(make_ask(1), 1, 5.0) == []
    assert book.decide(5.5) == []
    [denied] = book.decide(5.0 + 1.9)
    assert denied.reason is outcomes.Reason.LATE


def test_deferrable_ask_waits_its_time_and_is_not_lost():
    book = make_ledger()
    given = fill(book)
    ask = make_ask(1, klass="deferrable", deadline_s=600.0)
    assert book.submit(ask, 1, 1.0) == []
    assert book.decide(500.0) == []
    for grant_id in given:
        book.release(grant_id, 500.0)
    # What interactive requests held of late stays free for them for a while.
    assert book.decide(500.1) == []
    decided = [x for at in (540.0, 580.0) for x in book.decide(at)]
    assert [x.grant_id for x in decided] == [1]


def test_interactive_asks_go_before_deferrable_ones():
    book = make_ledger()
    given = fill(book)
    ask = make_ask(1, klass="deferrable", deadline_s=600.0)
    book.submit(ask, 1, 1.0)
    assert book.submit(make_ask(2), 2, 1.1) == []
    book.release(given[0], 1.2)
    assert [x.grant_id for x in book.decide(1.2)] == [2]


def test_failed_and_excluded_replicas_get_nothing():
    book = make_ledger()
    book.submit(make_ask(1), 1, 0.0)
    failed = book.reservations[1]
    book.prefill_finished(1, 0.1)
    book.request_finished(1, 0, True, 0.1)
    book.release(1, 0.1)
    assert failed.is_finished
    [second] = book.submit(make_ask(2), 2, 0.2)
    [third] = book.submit(make_ask(3, exclude=["d2"]), 3, 1.0)
    assert (second.replica, third.replica) == ("d2", "d1")


def test_stale_report_stops_grants():
    book = make_ledger()
    report = {"pieces_total": 20, "pieces_free": 20, "age_s": 0.0}
    book.set_load("d1", report, 0.0)
    for at in (0.0, 2.0, 4.0):
        book.set_load("d2", report, at)
    [granted] = book.submit(make_ask(1), 1, 4.0)
    assert granted.replica == "d2"


def test_memory_of_another_owner_counts_as_taken():
    book = make_ledger(addresses=("p1", "d1"))
    report = {"pieces_total": 20, "pieces_free": 0, "age_s": 0.2}
    book.set_load("d1", report, 1.0)
    assert book.free_kv_blocks("d1") == 0
    assert book.submit(make_ask(1), 1, 1.0) == [] or book.waiting == 0
    book.set_load("d1", {**report, "pieces_free": 20}, 1.5)
    assert book.free_kv_blocks("d1") == 20


def test_slow_engine_is_set_aside():
    book = make_ledger(addresses=("p1", "d1", "d2"))
    now = 0.0
    for number in range(60):
        for decision in book.submit(make_ask(number), number, now):
            grant_id = decision.grant_id
            gap_s = 0.2 if decision.replica == "d1" else 0.04
            book.first_token(grant_id, now + 0.1)
            book.request_finished(grant_id, 51, False, now + 0.1 + 50 * gap_s)
            book.release(grant_id, now + 0.1 + 50 * gap_s)
        now += 0.5
    assert book.fleet.decodes["d1"].is_too_slow
    assert not book.fleet.decodes["d2"].is_too_slow


def test_role_that_an_engine_reports_goes_before_the_list():
    book = make_ledger()
    load = {"role": "decode", "pieces_total": 20, "pieces_free": 20}
    book.set_load("p2", load, 0.0)
    grants = [book.submit(make_ask(n), n, 0.0)[0] for n in range(2)]
    assert {x.prefill for x in grants} == {"p1"}
    assert book.free_kv_blocks("p2") >= 19


def test_cached_prefix_decides_until_its_replica_is_busy():
    book = make_ledger()
    ask = {"prompt_tokens": 2600, "prefixes": list(range(10))}
    [first] = book.submit(make_ask(1, **ask), 1, 0.0)
    book.prefill_finished(
        1, 0.345
    )  # As fast as the replica is believed to be.
    book.first_token(1, 0.4)
    [second] = book.submit(make_ask(2, **ask), 2, 1.0)
    [third] = book.submit(
        make_ask(3, prompt_tokens=8000, prefixes=[99]), 3, 1.0
    )
    [fourth] = book.submit(make_ask(4, **ask), 4, 1.0)
    assert second.prefill == fourth.prefill == first.prefill
    assert third.prefill != first.prefill


@pytest.mark.parametrize("setting", [0.0, 0.9])
def test_memory_is_granted_ahead_only_when_configured(setting):
    pool = msgspec.structs.replace(POOL, overcommit=setting)
    given = fill(make_ledger(pool))
    assert (len(given) > 40) == (setting > 0)


@pytest.mark.parametrize(
    "load",
    [
        {},
        {"role": "novel", "pieces_total": 20},
        {"role": "decode", "pieces_total": None, "pieces_free": "many"},
        {"role": "decode", "pieces_total": 20, "age_s": "old"},
    ],
)
def test_report_that_makes_no_sense_changes_nothing(load):
    book = make_ledger()
    book.set_load("d1", load, 1.0)
    assert book.free_kv_blocks("d1") == 20
    assert book.fleet.decodes["d1"].reported_at is None


def test_plain_replica_gets_no_model_requests():
    book = make_ledger(addresses=("p1", "d1"))
    plain = replicas.Role.PLAIN
    members = listed("p1", "d1")
    book.set_replicas([members[0], members[1]._replace(role=plain)])
    [denied] = book.submit(make_ask(1), 1, 0.0)
    assert denied.reason is outcomes.Reason.NO_BACKEND


def test_only_replica_is_used_again_after_a_single_failure():
    book = make_ledger(addresses=PREFILLS + DECODES[:1])
    for number in (1, 2):
        [granted] = book.submit(make_ask(number), number, number / 10)
        assert isinstance(granted, decisions.Granted)
        book.prefill_finished(number, number / 10)
        book.request_finished(number, 0, True, number / 10)
        book.release(number, number / 10)
    [denied] = book.submit(make_ask(3), 3, 0.25)
    assert isinstance(denied, decisions.Denied)
