"""Requests at engines whose entry may be on the far side of a partition."""

from hemlockreel import core
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import takeover
from hemlockreel_standins import helper

ENGINE = "10.1.0.1:80"
PEER = "10.0.0.9:1"
NOW = 100.0


def test_an_undecided_engine_is_listed_after_the_time_for_disputes():
    made = helper.make_board()
    peer = messages.MemberUpdate(
        host=PEER, zone="b", region=helper.REGION, callers="c", epoch=1,
        incarnation=0, state="alive", draining=False, configuration=0,
    )  # fmt: skip
    core.step(made, messages.Gossip(sender=PEER, epoch=1, updates=[peer]), NOW)
    membership.table(made).unreachable.add(PEER)
    state = made.state(takeover.State)
    state.queries[1] = takeover.Query({(ENGINE, "r1")}, {PEER}, NOW)
    assert not list(takeover._finish_query(made, 1, NOW))
    assert state.next_list_at[ENGINE] == NOW + takeover.DISPUTED_RELIST_S
