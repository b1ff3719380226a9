"""Stage changes and restarts that take effect before the list shows them.

The replica responds that it is not the listed one. The prefill is wasted
unless the next replica fetches the result.
"""

import time as times

from hemlockreel_daemon import clock
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import replica_health
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import remote_prefill
from hemlockreel_daemon.forwarding import request_handler

ROUTE = rigs.ROUTE._replace(max_attempts=2)
MISMATCH = interfaces.SendFailure(
    interfaces.Ran.NOT_RUN, "status 421", instance_mismatch=True
)


def make_rig(wrong=("d1",)):
    rig = rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )

    def send(instance, options, box):
        if instance.id in wrong:
            return MISMATCH
        return rigs.make_response(b"id: 1\ndata: a\n\n")

    rig.backends.on_send = send
    return rig


def sources(rig):
    """Returns the replica and the prefill source of each decode."""
    return [
        (name, source)
        for kind, name, source in rig.backends.sent
        if kind == "decode"
    ]


def test_the_next_replica_fetches_the_same_prefill_result():
    for _ in range(20):
        rig = make_rig()
        assert rig.handle_request(ROUTE).status == 200
        assert rig.backends.count("prefill") == 1
        assert len({source for _, source in sources(rig)}) == 1


def test_the_mismatched_replica_is_excluded_afterwards():
    rig = make_rig()
    for _ in range(20):
        assert rig.handle_request(ROUTE).status == 200
    asked = [name for name, _ in sources(rig)]
    assert asked.count("d1") <= 1


def make_changing_rig(*prefills):
    """Returns a rig whose replica d1 grants reservations but runs nothing."""
    rig = rigs.Rig(
        *prefills,
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )

    def send(instance, options, box):
        if instance.id == "d1":
            return rigs.make_send_failure()
        return rigs.make_response(b"id: 1\ndata: a\n\n")

    rig.backends.on_send = send
    return rig


def test_changing_replica_does_not_attract_all_requests():
    """A host that missed the order to change detects it with one request.

    The replica has free memory and the least load, so all requests would go
    there.
    """
    for _ in range(20):
        rig = make_changing_rig()
        refused = [
            rig.handle_request(rigs.ROUTE).status == 503 for _ in range(10)
        ]
        assert sum(refused) <= 1


def test_attempt_without_another_replica_is_refused_at_once(monkeypatch):
    rig = make_changing_rig()
    slept = []
    monkeypatch.setattr(times, "sleep", slept.append)
    refused = [
        response
        for response in (rig.handle_request(rigs.ROUTE) for _ in range(10))
        if response.status == 503
    ]
    assert not slept
    for response in refused:
        assert dict(response.headers)["Retry-After"] == str(
            request_handler.RETRY_SOON_S
        )


def test_expired_prefill_is_tried_before_the_replica_is_excluded():
    for _ in range(20):
        rig = make_changing_rig(rigs.engine("p1", "prefill"))
        refused = [
            rig.handle_request(rigs.ROUTE).status == 503 for _ in range(10)
        ]
        assert sum(refused) <= 1
        asked = [name for name, _ in sources(rig)]
        # Once with the prefill result, and once without.
        assert asked.count("d1") in (0, 2)


def test_the_prefill_replica_is_not_counted_as_failed():
    rig = make_rig()
    for _ in range(20):
        rig.handle_request(ROUTE)
    seen = rig.board.state(replica_health.State)
    assert seen.prefill_results
    assert not replica_health.loses_prefill_results(seen, "p1", clock.now())


def test_an_unused_prefill_result_is_freed():
    rig = make_rig(wrong=("d1", "d2"))
    assert rig.handle_request(ROUTE).status == 503
    assert rig.backends.count("prefill") == 1
    assert rig.backends.count("free") == 1


def test_a_used_prefill_result_is_not_freed():
    rig = make_rig(wrong=())
    assert rig.handle_request(ROUTE).status == 200
    assert rig.backends.count("free") == 0


def test_the_prefill_is_repeated_when_its_result_may_have_expired(monkeypatch):
    monkeypatch.setattr(remote_prefill, "FRESH_SHARE", 0.0)
    for _ in range(20):
        rig = make_rig()
        assert rig.handle_request(ROUTE).status == 200
        assert rig.backends.count("prefill") == len(sources(rig))


def test_an_unreachable_replica_costs_no_second_prefill():
    unreached = interfaces.SendFailure(
        interfaces.Ran.NOT_SENT, "connect: refused"
    )
    for _ in range(20):
        rig = make_rig()
        rig.backends.on_send = lambda instance, *_: (
            unreached
            if instance.id == "d1"
            else rigs.make_response(b"id: 1\n\n")
        )
        assert rig.handle_request(ROUTE).status == 200
        assert rig.backends.count("prefill") == 1


def test_a_prefill_replica_with_another_stage_is_excluded():
    rig = rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("p2", "prefill"),
        rigs.engine("d1", "decode"),
    )
    read = rig.backends.on_prefill
    rig.backends.on_prefill = lambda instance, request: (
        MISMATCH if instance.id == "p1" else read(instance, request)
    )
    for _ in range(20):
        assert rig.handle_request(ROUTE).status == 200
    asked = [name for kind, name, _ in rig.backends.sent if kind == "prefill"]
    assert asked.count("p1") <= 1
