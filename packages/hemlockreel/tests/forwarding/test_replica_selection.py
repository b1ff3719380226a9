"""One host detects a wrong list entry that other hosts still use."""

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import precedence
from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import helper

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_selection

OTHER = "127.0.0.1:9001"


def make_board():
    board = helper.make_board()
    step(board, instances.InstancesListed((rigs.engine("d1", "decode"),)), 1.0)
    member = messages.MemberUpdate(
        host=OTHER,
        zone="a",
        region="midt-norge",
        callers="c",
        epoch=1,
        incarnation=0,
        state=precedence.ALIVE,
        draining=False,
    )
    step(board, messages.Gossip(sender=OTHER, epoch=1, updates=[member]), 1.0)
    assert [each.host for each in membership.live_members(board)].count(
        OTHER
    ) == 1
    return board


def step(board, event, now):
    return core.step(board, event, now, core.FORWARDING_CONTROLLERS)


def sent_changes(found):
    return [
        (action.to, action.message.replica)
        for action in found
        if isinstance(action, actions.Send)
    ]


def test_a_mismatch_is_broadcast_once():
    board = make_board()
    assert sent_changes(
        step(board, replica_selection.InstanceMismatch("d1"), 2.0)
    ) == [(OTHER, "d1")]
    assert (
        sent_changes(
            step(board, replica_selection.InstanceMismatch("d1"), 2.5)
        )
        == []
    )


def test_a_mismatched_replica_is_used_again_after_the_exclusion():
    board = make_board()
    step(board, replica_selection.InstanceMismatch("d1"), 2.0)
    state = board.state(instances.State)
    assert not instances.is_usable(state, "d1", 2.1)
    assert instances.is_usable(
        state, "d1", 2.1 + replica_selection.MISMATCH_EXCLUSION_S
    )


def test_a_mismatched_replica_is_used_once_the_list_is_updated():
    board = make_board()
    step(board, replica_selection.InstanceMismatch("d1"), 2.0)
    right = rigs.engine("d1", "prefill")
    step(board, instances.InstancesChanged((right,), ()), 2.5)
    assert instances.is_usable(board.state(instances.State), "d1", 2.5)
