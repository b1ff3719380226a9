"""Tests that each check of the soak reports the fault that it looks for."""

import math

import pytest

from hemlockreel_standins.soak import promises
from hemlockreel_standins.soak import records

HOST = "127.0.0.1:1"
BOUNDS = promises.Bounds(faults_end_s=0.0, recovered_s=0.0)


def sent_request(id="a", prefix="/lookups/", at=10.0, **changes):
    method = "GET" if prefix == "/lookups/" else "POST"
    body = records.response_body(id)
    if prefix == "/drafts/":
        body = b"".join(records.stream_events(id))
    sent = records.Sent(
        id, method, prefix + id, HOST, at, at + 0.1, 200, True, body, True
    )
    return sent._replace(**changes)


def run_of(sent, replica="bookings-1", at=None, **changes):
    began_at = sent.began_at + 0.02 if at is None else at
    found = records.Run(
        sent.id, sent.method, sent.target, replica, began_at, began_at, True
    )
    return found._replace(**changes)


def make_log(*found):
    log = records.Log()
    log.add(records.Span("version", "bookings", 0.0, math.inf))
    for each in found:
        log.add(each)
    return log


def violated_promises(*found):
    return {
        each.promise
        for each in promises.find_violations(make_log(*found), BOUNDS)
    }


@pytest.mark.parametrize("prefix", ["/lookups/", "/deposits/", "/drafts/"])
def test_correct_run_has_no_violations(prefix):
    sent = sent_request(prefix=prefix)
    assert violated_promises(sent, run_of(sent)) == set()


@pytest.mark.parametrize(
    "changes, expected",
    [
        ({"body": records.response_body("b")}, {"whole"}),
        ({"body": records.response_body("a")[:-1]}, {"whole"}),
        ({"signed": False}, {"whole"}),
        (
            {
                "prefix": "/drafts/",
                "body": b"".join(records.stream_events("a")[:7]),
            },
            {"whole"},
        ),
        (
            {
                "prefix": "/drafts/",
                "body": b"".join(records.stream_events("a")) * 2,
            },
            {"whole", "order"},
        ),
    ],
)
def test_success_with_wrong_or_incomplete_response(changes, expected):
    sent = sent_request(**changes)
    assert violated_promises(sent, run_of(sent)) == expected


def stream_part(first, last, software, **changes):
    events = records.stream_events("a", first, software)
    body = b"".join(events[: last - first + 1])
    return sent_request("a", "/drafts/", body=body, **changes)


@pytest.mark.parametrize(
    "first, second, expected",
    [
        ((1, 3, "v1"), (4, 8, "v1"), set()),
        ((1, 3, "v1"), (4, 8, "v2"), {"order"}),
        ((1, 3, "v1"), (5, 8, "v1"), {"order", "whole"}),
        ((1, 3, "v2"), (3, 8, "v2"), {"order", "whole"}),
    ],
)
def test_a_stream_that_a_caller_resumes_has_no_seam(first, second, expected):
    """ORDER of issue 27: the rest came from another software version."""
    cut = stream_part(*first, whole=False, error="cut")
    rest = stream_part(*second, resumes="a", after=3)._replace(id="b")
    found = [cut, rest, run_of(cut), run_of(rest)]
    assert violated_promises(*found) & {"order", "whole"} == expected


@pytest.mark.parametrize("status", [302, 400, 404, 500])
def test_status_that_must_not_occur(status):
    served, sent = sent_request("b"), sent_request(status=status)
    assert violated_promises(sent, served, run_of(served)) == {"status"}


def test_run_of_a_request_that_was_not_sent():
    sent = sent_request()
    other = run_of(sent)._replace(id="b", target="/deposits/b")
    assert violated_promises(sent, run_of(sent), other) == {"asked"}


def test_run_with_another_target():
    sent = sent_request(prefix="/deposits/")
    assert violated_promises(sent, run_of(sent, target="/deposits/x")) == {
        "asked"
    }


def test_deposit_that_ran_twice():
    sent = sent_request(prefix="/deposits/")
    assert violated_promises(sent, run_of(sent), run_of(sent)) == {"once"}


@pytest.mark.parametrize("status", promises.NOT_RUN_STATUSES)
def test_refusal_of_a_request_that_ran(status):
    sent = sent_request(prefix="/deposits/", status=status)
    assert "refusal" in violated_promises(
        sent, run_of(sent), sent_request("b")
    )


def test_run_at_a_drained_replica():
    sent = sent_request(prefix="/deposits/", at=20.0)
    leaving = records.Span("leaving", "bookings-1", 16.0, 21.0)
    assert violated_promises(sent, run_of(sent), leaving) == {"drain"}
    early = records.Span("leaving", "bookings-1", 18.5, 22.0)
    assert violated_promises(sent, run_of(sent), early) == set()
    store = records.Span("store_outage", promises.ALL_HOSTS, 15.0, 19.0)
    assert violated_promises(sent, run_of(sent), leaving, store) == set()


def log_with_moved_route(at):
    log = records.Log()
    log.add(records.Span("version", "bookings", 0.0, at))
    log.add(records.Span("version", "kiosk", at, math.inf))
    return log


def version_details(log, *found):
    for each in found:
        log.add(each)
    return [each.detail.rpartition(" ")[2] for each in version_violations(log)]


def version_violations(log):
    return list(promises.check_versions(log))


def test_route_change_that_is_applied_late():
    late, soon = sent_request("late", at=12.1), sent_request("soon", at=11.9)
    found = [late, run_of(late), soon, run_of(soon)]
    assert version_details(log_with_moved_route(10.0), *found) == ["outdated"]


def test_route_change_that_is_rolled_back():
    new, old = sent_request("new", at=10.2), sent_request("old", at=10.6)
    found = [new, run_of(new, "kiosk-2"), old, run_of(old, "bookings-1")]
    assert version_details(log_with_moved_route(10.0), *found) == ["back"]
    boot = records.Span("boot", HOST, 10.4, 10.4)
    assert version_details(log_with_moved_route(10.0), *found, boot) == []


def test_run_at_a_service_that_the_route_never_had():
    early = sent_request("early", at=5.0)
    assert version_details(
        log_with_moved_route(10.0), early, run_of(early, "kiosk-2")
    ) == ["unasked"]


def test_planned_stop_that_cuts_a_request():
    cut = sent_request(prefix="/drafts/", whole=False, error="cut")
    stop = records.Span("stop", HOST, 9.0, 12.0)
    later = sent_request("b")
    assert violated_promises(cut, run_of(cut), stop, later, run_of(later)) == {
        "stop"
    }
    killed = records.Span("killed", HOST, 8.0, 9.0)
    assert (
        violated_promises(cut, run_of(cut), stop, killed, later, run_of(later))
        == set()
    )


def test_planned_stop_that_overruns():
    sent = sent_request()
    stop = records.Span("overran", HOST, 30.0, 35.0)
    assert violated_promises(sent, run_of(sent), stop) == {"stop"}


def test_abandoned_streams_that_run_on():
    left = [
        sent_request(str(number), "/drafts/", left_at=10.1, whole=False)
        for number in range(8)
    ]
    served = sent_request()
    on = [run_of(each) for each in left]
    off = [run_of(each, finished=False) for each in left]
    assert violated_promises(served, run_of(served), *left, *on) == {"gone"}
    assert violated_promises(served, run_of(served), *left, *off) == set()


def test_memory_that_expires_without_a_fault():
    sent = sent_request()
    lapse = records.Lapse("drafter-2", "hold", 10.0, 12.0)
    assert violated_promises(sent, run_of(sent), lapse) == {"memory"}
    fault = records.Span("link_silent", "drafter-2", 9.0, 10.0)
    assert violated_promises(sent, run_of(sent), lapse, fault) == set()


def test_requests_that_are_not_served_after_recovery():
    found = [sent_request(str(number), status=503) for number in range(4)]
    assert violated_promises(*found) == {"recovery"}
    assert violated_promises() == {"recovery"}


def crashes(*times, part="bad"):
    return [records.PartCrash(part, f"drafter-{at}", at) for at in times]


def late_requests(count, at, part="bad"):
    sent = [
        sent_request(f"late{n}", "/drafts/", at, status=503, part=part)
        for n in range(count)
    ]
    return sent + [
        records.PartArrival(each.id, part, "drafter-9", at) for each in sent
    ]


@pytest.mark.parametrize(
    "times, count, at, expected",
    [
        ((1.0, 2.0, 3.0, 4.0, 5.0), 4, 8.1, {"budget"}),
        ((1.0, 2.0, 3.0, 4.0, 5.0), 3, 8.1, set()),
        ((1.0, 2.0, 3.0, 4.0, 5.0), 4, 7.9, set()),
        ((1.0, 2.0, 3.0, 4.0), 4, 8.1, set()),
    ],
)
def test_requests_with_a_part_that_crashed_five_replicas(
    times, count, at, expected
):
    served = sent_request()
    found = [served, run_of(served), *crashes(*times)]
    found += late_requests(count, at)
    assert "budget" not in violated_promises(
        *found, records.Span("killed", HOST, 4.0, 6.0)
    )
    violated = violated_promises(*found) & {"budget"}
    assert violated == expected


@pytest.mark.parametrize(
    "times, count, at, expected",
    [
        ((1.0, 2.0, 3.0), 4, 6.1, {"budget"}),
        ((1.0, 2.0, 3.0), 3, 6.1, set()),
        ((1.0, 2.0, 3.0), 4, 5.9, set()),
        ((1.0, 2.0), 4, 6.1, set()),
    ],
)
def test_a_request_that_crashed_three_replicas(times, count, at, expected):
    bad = "/lookups/bad1?q=1"
    found = [sent_request(), *crashes(*times, part=bad)]
    found += late_requests(count, at, bad)
    assert violated_promises(*found) & {"budget"} == expected


@pytest.mark.parametrize(
    "served, other_crash_at, expected",
    [
        (9, None, {"lost"}),
        (10, None, set()),
        (9, 5.9, {"lost"}),
        (9, 6.1, set()),
    ],
)
def test_sound_prompts_beside_a_crashing_part(
    served, other_crash_at, expected
):
    """Another part may crash engines until 6 s after its last crash."""
    calm = [sent_request(f"c{n}", "/drafts/", 90.0) for n in range(20)]
    beside = [
        sent_request(
            f"b{n}", "/drafts/", 12.0, status=200 if n < served else 503
        )
        for n in range(20)
    ]
    found = [*calm, *beside, *crashes(1.0, 2.0, 3.0, 4.0, 5.0)]
    found += [*late_requests(1, 1.0), *late_requests(2, 13.0)]
    if other_crash_at is not None:
        other = sent_request("other", "/drafts/", 1.0, status=503)
        found += crashes(other_crash_at, part="other")
        found.append(other._replace(part="other"))
    assert violated_promises(*found) & {"lost"} == expected


@pytest.mark.parametrize(
    "gap_s, began_at, expected",
    [(0.15, 0.0, {"limit"}), (0.17, 0.0, set()), (0.15, 16.0, set())],
)
def test_requests_at_a_replica_that_names_a_limit(gap_s, began_at, expected):
    """3.4 a second allow 25 in 4 s, half a second after a host was told."""
    limit = records.Limit("bookings-1", 3.4, began_at, 30.0)
    first = sent_request("first", at=began_at)
    found = [
        sent_request(str(number), at=10.0 + gap_s * number)
        for number in range(40)
    ]
    runs = [run_of(each) for each in (first, *found)]
    assert violated_promises(first, *found, *runs, limit) == expected
    killed = records.Span("killed", HOST, 5.0, 20.0)
    assert violated_promises(first, *found, *runs, limit, killed) == set()


# RECOVER of issue 30: first tries at cut hosts, counted apart.
@pytest.mark.parametrize(
    ("served_at_cut", "others_served", "expected"),
    [
        (40, 40, set()),
        (27, 40, set()),
        (26, 40, {"cut_off"}),
        (0, 40, {"cut_off"}),
        (0, 0, set()),
    ],
)
def test_hosts_without_replicas_must_serve_like_the_others(
    served_at_cut, others_served, expected
):
    cut = records.CutOff((HOST,), 10.0, 30.0)
    found = [cut]
    for number in range(80):
        at_cut = number < 40
        served = number % 40 < (served_at_cut if at_cut else others_served)
        sent = sent_request(
            id=f"r{number}",
            at=13.0 + number / 10,
            host=HOST if at_cut else "127.0.0.1:2",
        )
        if not served:
            sent = sent._replace(status=503, signed=False, body=b"")
        found += [sent, *([run_of(sent)] if served else [])]
    found_promises = violated_promises(*found) - {"recovery"}
    assert found_promises == expected


def test_the_first_seconds_of_a_cut_do_not_count():
    cut = records.CutOff((HOST,), 10.0, 30.0)
    sent = [
        sent_request(id=f"r{n}", at=10.0 + n / 20, status=503, signed=False)
        for n in range(50)
    ]
    sent += [sent_request(id="o", at=14.0, host="127.0.0.1:2")]
    assert "cut_off" not in violated_promises(cut, *sent)


# A stream that runs as its host is cut off ends with its time.
@pytest.mark.parametrize(
    ("began_at", "expected"), [(9.0, set()), (11.0, set()), (14.0, {"stop"})]
)
def test_requests_as_a_cut_begins_are_disturbed(began_at, expected):
    sent = sent_request(
        prefix="/drafts/", at=began_at, ended_at=began_at + 2.0, whole=False
    )
    cut = records.CutOff((HOST,), 10.0, 30.0)
    found = violated_promises(sent, run_of(sent, "drafter-1"), cut)
    assert found & {"stop"} == expected
