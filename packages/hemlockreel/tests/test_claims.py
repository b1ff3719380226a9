import pytest

from hemlockreel import claim_buckets
from hemlockreel import claim_entries
from hemlockreel import claims
from hemlockreel import events
from hemlockreel import outcomes
from hemlockreel_standins import claim_rig

Reason = outcomes.Reason


@pytest.fixture
def rig():
    made = claim_rig.Rig(hosts=2)
    made.pass_time(0.1)
    return made


def last(rig, request_id):
    return rig.replies[request_id][-1]


def claim(rig, request_id, index=0, **given):
    rig.request_claim(request_id, index, **given)
    rig.settle()
    return last(rig, request_id)


def test_claim_is_confirmed_before_the_call_is_permitted(rig):
    rig.request_claim("r1")
    while rig.calls:
        assert "r1" not in rig.replies
        rig.answer()
    assert last(rig, "r1") == claims.Claimed("r1", rig.now + 2.0)


def test_claim_confirmed_after_a_pause_permits_no_call(rig):
    """The store's response arrived while this host was paused."""
    rig.request_claim("r1")
    rig.now += 4.3
    while rig.calls:
        rig.answer()
    told = last(rig, "r1")
    assert not isinstance(told, claims.Claimed) or told.send_until <= rig.now


def test_retry_gets_the_stored_response(rig):
    claim(rig, "r1")
    rig.run("r1")
    rig.settle()
    assert claim(rig, "r2", 1) == claim_rig.ANSWER


def test_large_response_is_not_stored(rig):
    claim(rig, "r1")
    body = b"x" * (claim_entries.MAX_RESPONSE_BYTES + 1)
    rig.run("r1", outcomes.Responded(200, (), body))
    rig.settle()
    found = claim(rig, "r2", 1)
    assert (found.reason, found.ran) == (
        Reason.RESPONSE_NOT_KEPT,
        outcomes.Ran.UNKNOWN,
    )


def test_key_of_another_call_is_refused(rig):
    claim(rig, "r1")
    found = claim(rig, "r2", 1, fingerprint="g")
    assert (found.reason, found.ran) == (
        Reason.KEY_REUSED,
        outcomes.Ran.NOT_RUN,
    )


def test_keys_of_organisations_have_different_entries(rig):
    names = {
        claim_buckets.entry_name(*pair) for pair in ("ab", "ba", ("", "ab"))
    }
    assert len(names) == 3


@pytest.mark.parametrize("outcome", [None, claim_rig.UNKNOWN])
def test_claim_without_outcome_is_never_run_again(rig, outcome):
    claim(rig, "r1")
    if outcome is None:
        rig.crash(0)
    else:
        rig.run("r1", outcome)
        rig.settle()
    for attempt in range(3):
        rig.pass_time(30)
        found = claim(rig, f"again{attempt}", 1)
        assert found.ran is outcomes.Ran.UNKNOWN
    # A retry is advised only while the first call may still finish.
    assert found.retry_after_s is None


def test_call_that_did_not_run_may_be_retried(rig):
    claim(rig, "r1")
    rig.run("r1", claim_rig.NOT_RUN)
    rig.settle()
    assert isinstance(claim(rig, "r2", 1), claims.Claimed)


@pytest.mark.parametrize("how", ["lost", "late"])
@pytest.mark.parametrize("call", [0, 1])
def test_claim_survives_an_unanswered_call(rig, call, how):
    rig.request_claim("r1")
    for _ in range(call):
        rig.answer()
    rig.answer(0, how)
    rig.pass_time(0.5)
    assert isinstance(last(rig, "r1"), claims.Claimed)
    if how == "late":
        rig.deliver_late()
    assert last(rig, "r1") == rig.replies["r1"][0]
    assert claim(rig, "r2", 1).reason is Reason.IN_PROGRESS


@pytest.mark.parametrize("how", ["lost", "late"])
def test_abandoned_claim_becomes_free(rig, how):
    rig.request_claim("r1")
    rig.answer()
    rig.answer(0, how)
    rig.time_out("r1")
    rig.pass_time(0.5)
    if how == "late":
        rig.deliver_late()
    assert isinstance(claim(rig, "r2", 1), claims.Claimed)


def test_claim_abandoned_in_an_outage_becomes_free_after_it(rig):
    rig.request_claim("r1")
    rig.answer()
    rig.answer(0, "lost")
    rig.pass_time(0.2, "down")
    found = last(rig, "r1")
    assert (found.reason, found.ran) == (
        Reason.STORE_UNAVAILABLE,
        outcomes.Ran.NOT_RUN,
    )
    assert found.retry_after_s >= claims.RETRY_AFTER_S
    rig.pass_time(30, "down")
    assert claims.is_recording(rig.boards[0])
    rig.pass_time(10)
    assert not claims.is_recording(rig.boards[0])
    assert isinstance(claim(rig, "r2", 1), claims.Claimed)


def test_call_is_refused_at_once_if_the_store_is_unavailable(rig):
    rig.request_claim("r1")
    rig.answer(0, "down")
    assert last(rig, "r1").ran is outcomes.Ran.NOT_RUN
    assert not claims.is_recording(rig.boards[0])


def test_unresponsive_store_gets_one_call_at_a_time(rig):
    for number in range(3):
        rig.request_claim(f"r{number}", key=f"k{number}")
    for _ in range(3):
        rig.answer(0, "late")
    rig.request_claim("probe", key="probe")
    assert len(rig.calls) == 1
    rig.request_claim("r4", key="k4")
    assert last(rig, "r4").reason is Reason.STORE_UNAVAILABLE
    rig.settle()
    assert isinstance(claim(rig, "r5", key="k5"), claims.Claimed)


def test_outcome_is_recorded_when_the_store_is_back(rig):
    claim(rig, "r1")
    rig.run("r1")
    rig.pass_time(60, "down")
    rig.pass_time(10)
    assert claim(rig, "r2", 1) == claim_rig.ANSWER


def test_confirmation_after_the_deadline_frees_the_claim(rig):
    rig.request_claim("r1")
    rig.answer()
    rig.now += 10  # the process was paused with its write in flight
    rig.step(0, events.Tick(1e9))
    assert last(rig, "r1").ran is outcomes.Ran.NOT_RUN
    rig.settle()
    assert len(rig.replies["r1"]) == 1
    assert isinstance(claim(rig, "r2", 1), claims.Claimed)


def test_claims_of_one_bucket_are_written_together(rig):
    for board in rig.boards:
        board.state(claim_buckets.State).settings = claim_buckets.Settings(
            bucket_bits=0, min_write_interval_s=0.1
        )
    for number in range(50):
        rig.request_claim(f"r{number}", key=f"k{number}")
    rig.settle()
    rig.pass_time(0.5)
    assert all(rig.may_send(f"r{number}") for number in range(50))
    assert rig.store.calls["PUT"] <= 2


def test_old_claims_are_dropped_unless_only_one_clock_is_ahead(rig):
    settings = claim_buckets.Settings(bucket_bits=0, retention_s=100.0)
    for board in rig.boards:
        board.state(claim_buckets.State).settings = settings
    claim(rig, "old", key="old")
    rig.step(1, events.Tick(1e9 + 1e6))  # the clock of one host is wrong
    claim(rig, "new", 1, key="new")
    assert claim(rig, "r2", key="old").reason is Reason.IN_PROGRESS
    rig.pass_time(150)
    claim(rig, "r3", key="newer")
    claim(rig, "r4", key="newest")
    assert isinstance(claim(rig, "r5", key="old"), claims.Claimed)


def test_a_read_without_response_is_not_repeated_at_once(rig):
    """Otherwise each new claim sends one more call to a store in trouble."""
    rig.request_claim("r1")
    rig.answer(how="dropped")
    rig.now += claim_buckets.RETRY_DELAY_S / 2
    rig.request_claim("r2")
    assert not rig.calls
    rig.pass_time(claim_buckets.RETRY_DELAY_S + 0.2)
    assert last(rig, "r1")
