"""Requests while replicas leave or ask for a pause.

Once a host has read such a response, the replica gets no further call of it:
no reservation, no run, no second try and no release.
"""

import pytest

from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_pauses
from hemlockreel_daemon.forwarding import interfaces

PLAIN = deployments.Service("lesar", 320)
ROUTE = rigs.ROUTE._replace(
    kind=deployments.RouteKind.IDEMPOTENT, max_attempts=2, generates=False
)


def refuse(rig, instance, seconds):
    """Posts what a response with a pause leads to and returns its failure."""
    rig.loop.post(replica_pauses.PauseAsked(instance.id, 0, seconds))
    return interfaces.SendFailure(
        interfaces.Ran.NOT_RUN, "status 503", pause_s=seconds
    )


def plain(rig, **changes):
    return rig.handle_request(
        ROUTE._replace(**changes), PLAIN, demand=None, deadline_s=2.0
    )


def test_a_plain_request_goes_to_another_replica():
    rig = rigs.Rig(rigs.server("s1"), rigs.server("s2"))
    rig.backends.on_send = lambda instance, *_: (
        refuse(rig, instance, 30.0)
        if instance.id == "s1"
        else rigs.make_response(b"ok")
    )
    for _ in range(20):
        assert plain(rig).status == 200
    assert [id for _, id, _ in rig.backends.sent].count("s1") == 1


def test_a_request_is_refused_at_once_if_all_pause_for_long():
    rig = rigs.Rig(rigs.server("s1"))
    rig.loop.post(replica_pauses.PauseAsked("s1", 0, 30.0))
    found = plain(rig)
    assert found.status == 503
    assert 29.0 < float(dict(found.headers)["Retry-After"]) < 31.0
    assert not rig.backends.sent


def test_a_request_waits_for_the_end_of_a_short_pause():
    rig = rigs.Rig(rigs.server("s1"))
    rig.loop.post(replica_pauses.PauseAsked("s1", 0, 0.05))
    assert plain(rig, objective_s=0.9).status == 200


@pytest.mark.parametrize("kind", ["hold", "decode"])
def test_a_model_request_moves_to_another_engine(kind):
    rig = rigs.Rig(rigs.engine("d1", "decode"), rigs.engine("d2", "decode"))
    good_hold, good_send = rig.backends.on_hold, rig.backends.on_send

    def on_hold(instance, tokens):
        if kind == "hold" and instance.id == "d1":
            return refuse(rig, instance, 30.0)
        return good_hold(instance, tokens)

    def on_send(instance, *rest):
        if kind == "decode" and instance.id == "d1":
            return refuse(rig, instance, 30.0)
        return good_send(instance, *rest)

    rig.backends.on_hold, rig.backends.on_send = on_hold, on_send
    route = rigs.ROUTE._replace(max_attempts=2)
    for _ in range(10):
        assert rig.handle_request(route).status == 200
    sent = [each for each, id, _ in rig.backends.sent if id == "d1"]
    assert sent in ([kind], ["hold", "decode"])


def test_a_pause_is_no_ban_at_other_hosts():
    """The replica is overloaded; it has not changed its stage."""
    rig = rigs.Rig(rigs.engine("d1", "decode"), rigs.engine("d2", "decode"))
    rig.backends.on_send = lambda instance, *_: (
        refuse(rig, instance, 0.2)
        if instance.id == "d1"
        else rigs.make_response(b"id: 1\n\n")
    )
    for _ in range(10):
        rig.handle_request()
    assert not rig.board.state(instances.State).changing_until


def test_a_reservation_at_a_leaving_replica_moves():
    rig = rigs.Rig(
        rigs.engine("p1", "prefill"),
        rigs.engine("d1", "decode"),
        rigs.engine("d2", "decode"),
    )
    good = rig.backends.on_prefill
    left = []

    def on_prefill(instance, request):
        if not left:
            left.append(rig.backends.sent[0][1])
            rig.loop.post(instances.LeavingStated(left[0], 0))
        return good(instance, request)

    rig.backends.on_prefill = on_prefill
    assert rig.handle_request().status == 200
    calls = [each for each, id, _ in rig.backends.sent if id == left[0]]
    assert calls == ["hold"]
