import pytest

from hemlockreel import actions
from hemlockreel import admission
from hemlockreel import core
from hemlockreel import entry
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import replicas
from hemlockreel import retry_budget
from hemlockreel import shards
from hemlockreel_standins import helper

POOL = {"service": "lesar", "model": "lesar-7b", "max_output_tokens": 40}


def make_entry():
    made = helper.make_board()
    helper.configure(made, modelpools={"lesar": POOL})
    hosts = helper.make_host_list(replicas.Role.PREFILL, replicas.Role.DECODE)
    helper.run(made, hosts, 0.0)
    return made


def completion_event(
    request_id="r1", attempt=1, max_tokens=30, organisation="acme"
):
    return events.CompletionRequested(
        request_id, attempt, "lesar-7b", organisation, "", 9, max_tokens, (), 0
    )


def sent(found, kind):
    return [
        action.message
        for action in helper.of_type(found, actions.Send)
        if isinstance(action.message, kind)
    ]


def test_worker_and_owner_use_the_same_length_after_a_change():
    made = make_entry()
    # The worker read the pool's limit before it was lowered.
    lowered = {**POOL, "max_output_tokens": 10}
    helper.configure(made, modelpools={"lesar": lowered})
    found = core.step(made, completion_event(max_tokens=30), 0.2)
    assert [
        request.output_tokens
        for request in sent(found, messages.AdmissionRequest)
    ] == [30]


def test_refusal_of_an_owner_reaches_the_worker_as_not_run():
    made = make_entry()
    request = sent(
        core.step(made, completion_event(), 0.1), messages.AdmissionRequest
    )[0]
    refusal = messages.Refusal(
        sender=helper.HOST,
        epoch=7,
        request_id=request.request_id,
        attempt=1,
        reason="overloaded",
        retry_after_s=2.0,
    )
    replies = helper.of_type(core.step(made, refusal, 0.2), actions.Reply)
    assert [reply.value for reply in replies] == [
        outcomes.not_run(outcomes.Reason.OVERLOADED, 2.0)
    ]


def refuse(made, request, now, reason="overloaded"):
    refusal = messages.Refusal(
        sender=helper.HOST,
        epoch=7,
        request_id=request.request_id,
        attempt=request.attempt,
        reason=reason,
        retry_after_s=2.0,
    )
    return core.step(made, refusal, now)


def make_zones(*zones):
    """Returns an entry's board with one shard for each availability zone."""
    made = make_entry()
    hosts = tuple(
        replicas.Replica(
            f"127.0.0.1:{9100 + 10 * index + number}",
            "lesar",
            zone,
            helper.REGION,
            replicas.Role.PREFILL if number < 3 else replicas.Role.DECODE,
        )
        for index, zone in enumerate(zones)
        for number in range(6)
    )
    core.step(made, events.HostListRead(hosts), 0.0)
    assert len(shards.get(made, "lesar")) == len(zones)
    return made


def test_own_zone_is_tried_first_and_another_one_after_a_refusal():
    made = make_zones(helper.ZONE, "orkanger")
    first = sent(
        core.step(made, completion_event(), 0.1), messages.AdmissionRequest
    )[0]
    assert shards.zone_of(first.shard) == helper.ZONE
    second = sent(refuse(made, first, 0.2), messages.AdmissionRequest)[0]
    assert shards.zone_of(second.shard) == "orkanger"
    assert second.deadline_s == pytest.approx(first.deadline_s - 0.1)
    replies = helper.of_type(refuse(made, second, 0.3), actions.Reply)
    assert replies[0].value.ran is outcomes.Ran.NOT_RUN
    assert not made.state(entry.State).requests


def test_shard_that_refused_is_tried_last_until_its_retry_time():
    made = make_zones(helper.ZONE, "orkanger")
    first = sent(
        core.step(made, completion_event(), 0.1), messages.AdmissionRequest
    )[0]
    refuse(made, first, 0.2)
    later = sent(
        core.step(made, completion_event("r2"), 1.0), messages.AdmissionRequest
    )[0]
    assert shards.zone_of(later.shard) == "orkanger"
    again = sent(
        core.step(made, completion_event("r3"), 2.3), messages.AdmissionRequest
    )[0]
    assert shards.zone_of(again.shard) == helper.ZONE


def test_shard_with_fewer_requests_is_tried():
    made = make_zones(*(f"zone-{index}" for index in range(2)))
    zones = [
        shards.zone_of(
            sent(
                core.step(made, completion_event(f"r{n}"), 0.1),
                messages.AdmissionRequest,
            )[0].shard
        )
        for n in range(10)
    ]
    assert zones.count("zone-0") == zones.count("zone-1") == 5


def test_retries_stay_under_a_tenth_of_the_first_tries():
    made = make_zones(helper.ZONE, "orkanger")
    extra = 0
    tries = 1000
    for number in range(tries):
        now = number / 100
        request = sent(
            core.step(made, completion_event(f"r{number}"), now),
            messages.AdmissionRequest,
        )[0]
        found = sent(refuse(made, request, now), messages.AdmissionRequest)
        extra += len(found)
        for again in found:
            refuse(made, again, now)
    assert (
        0
        < extra
        <= tries * retry_budget.RETRIES_PER_FIRST_TRY
        + retry_budget.MAX_SAVED_RETRIES
    )


def test_second_attempt_without_retry_budget_is_refused():
    made = make_entry()
    budget = made.state(admission.State).budget
    while budget.try_spend():
        pass
    found = helper.of_type(
        core.step(made, completion_event(attempt=2), 0.1), actions.Reply
    )
    assert found[0].value.reason is outcomes.Reason.OVERLOADED


def test_quota_counts_what_is_in_flight_only():
    made = make_entry()
    quota = {"acme": {"max_in_flight": 2}}
    helper.configure(made, modelpools={"lesar": POOL}, quotas=quota)
    for name in ("r1", "r2"):
        assert sent(
            core.step(made, completion_event(name), 0.1),
            messages.AdmissionRequest,
        )
    over = helper.of_type(
        core.step(made, completion_event("r3"), 0.1), actions.Reply
    )
    assert over[0].value.reason is outcomes.Reason.QUOTA
    other = core.step(made, completion_event("r4", organisation="other"), 0.1)
    assert sent(other, messages.AdmissionRequest)
    core.step(made, events.RequestFinished("r1", 1, True), 0.2)
    assert sent(
        core.step(made, completion_event("r5"), 0.3), messages.AdmissionRequest
    )


def test_abandoned_queued_request_is_withdrawn():
    made = make_entry()
    core.step(made, completion_event(), 0.1)
    ended = core.step(made, events.RequestFinished("r1", 1, True), 0.2)
    assert [w.request_id for w in sent(ended, messages.Withdraw)] == ["r1"]
    assert not made.state(admission.State).in_flight
