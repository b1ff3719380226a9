"""Replicas that state that they leave, or ask one host for a pause."""

import pytest

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import helper
from hemlockreel_standins import stage_rig

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_pauses

D1 = rigs.engine("d1", "decode")._replace(born=5)
D2 = rigs.engine("d2", "decode")._replace(born=5)


class Host:
    """One host with two decode replicas."""

    def __init__(self):
        self.board = helper.make_board()
        self.post(instances.InstancesListed((D1, D2)))

    def post(self, event, now=0.0):
        return core.step(self.board, event, now, core.FORWARDING_CONTROLLERS)

    def reply(self, now=0.0):
        """Returns the ids of the candidates, or a refusal."""
        asked = ranking.CandidatesRequested(
            "key", "lesar", instances.Stage.DECODE
        )
        (found,) = [
            each.value
            for each in self.post(asked, now)
            if isinstance(each, actions.Reply)
        ]
        if isinstance(found, outcomes.Refused):
            return found
        return {each.id for each in found.instances}

    def pause(self, seconds, now=0.0, replica=D1):
        return self.post(
            replica_pauses.PauseAsked(replica.id, replica.born, seconds), now
        )


@pytest.fixture
def host():
    return Host()


def leave(replica=D1):
    return instances.LeavingStated(replica.id, replica.born)


def told(replica=D1):
    return messages.ReplicaLeaving(
        sender="10.0.0.9:1", epoch=1, replica=replica.id, born=replica.born
    )


@pytest.mark.parametrize("event", [leave(), told()])
def test_a_leaving_replica_gets_nothing_at_once(host, event):
    host.post(event)
    assert host.reply() == {"d2"}


@pytest.mark.parametrize(
    "entry",
    [
        instances.InstancesListed((D1, D2)),
        instances.InstancesListed((D1, D2), True),
        instances.InstancesChanged((D1,), ()),
        instances.InstancesChanged((D1,), (), True),
    ],
)
def test_the_list_does_not_bring_a_leaving_run_back(host, entry):
    """A replica may say that it leaves before its entry does."""
    host.post(leave())
    host.post(entry)
    assert host.reply() == {"d2"}
    host.post(instances.InstancesChanged((), ("d1",)), 1.0)
    host.post(entry, 2.0)
    assert host.reply(70.0) == {"d2"}


def test_it_ends_with_another_run_of_the_replica(host):
    host.post(leave())
    host.post(instances.InstancesChanged((D1._replace(born=6),), ()))
    assert host.reply() == {"d1", "d2"}


def test_a_statement_of_an_earlier_run_is_ignored(host):
    host.post(instances.InstancesChanged((D1._replace(born=6),), ()))
    host.post(leave())
    assert host.reply() == {"d1", "d2"}


def test_the_first_host_that_learns_it_tells_the_others():
    host = Host()
    peer = messages.MemberUpdate(
        host="10.0.0.9:1", zone="b", region=host.board.identity.region,
        callers="c", epoch=1, incarnation=0, state="alive", draining=False,
        configuration=0,
    )  # fmt: skip
    host.post(messages.Gossip(sender="10.0.0.9:1", epoch=1, updates=[peer]))
    sent = [
        each
        for each in host.post(leave())
        if isinstance(each, actions.Send)
        and isinstance(each.message, messages.ReplicaLeaving)
    ]
    assert [each.to for each in sent] == ["10.0.0.9:1"]
    again = [e for e in host.post(leave()) if isinstance(e, actions.Send)]
    assert not again


def test_a_paused_replica_gets_nothing_until_the_end(host):
    host.pause(2.0, now=10.0)
    assert host.reply(10.0) == {"d2"}
    assert host.reply(11.99) == {"d2"}
    assert host.reply(12.01) == {"d1", "d2"}


def test_a_pause_is_not_told_to_others(host):
    assert not [e for e in host.pause(2.0) if isinstance(e, actions.Send)]


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_a_pause_of_no_length_is_none(host, seconds):
    host.pause(seconds)
    assert host.reply() == {"d1", "d2"}


def test_a_huge_pause_is_limited(host):
    host.pause(1e300)
    assert host.reply(replica_pauses.MAX_PAUSE_S - 1) == {"d2"}
    assert host.reply(replica_pauses.MAX_PAUSE_S + 1) == {"d1", "d2"}


def test_a_late_response_does_not_shorten_a_pause(host):
    host.pause(5.0, now=0.0)
    host.pause(1.0, now=0.5)
    assert host.reply(4.0) == {"d2"}


def test_a_pause_ends_with_another_run_of_the_replica(host):
    host.pause(50.0)
    host.post(instances.InstancesChanged((D1._replace(born=6),), ()))
    assert host.reply() == {"d1", "d2"}


def test_callers_return_after_the_earliest_end_but_not_all_at_once(host):
    host.pause(3.0, replica=D1)
    host.pause(1.5, replica=D2)
    found = [host.reply(0.5) for _ in range(200)]
    assert {each.reason for each in found} == {outcomes.Reason.BACKEND_PAUSED}
    assert {each.ran for each in found} == {outcomes.Ran.NOT_RUN}
    waits = [each.retry_after_s for each in found]
    assert min(waits) >= 1.0
    assert max(waits) <= 1.0 + replica_pauses.SPREAD_S
    assert max(waits) - min(waits) > replica_pauses.SPREAD_S / 2


@pytest.mark.parametrize(
    "event",
    [
        leave(rigs.engine("p1", "prefill")),
        replica_pauses.PauseAsked("p1", 0, 100.0),
    ],
)
def test_engines_that_leave_or_pause_get_no_order(event):
    p1 = rigs.engine("p1", "prefill")
    holder = stage_rig.Holder(p1, D1._replace(stage=p1.stage), D2)
    holder.post(event)
    holder.pass_time(12)
    assert "p1" not in [id for id, _ in holder.orders()]
