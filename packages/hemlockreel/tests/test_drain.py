import pytest

from hemlockreel import actions
from hemlockreel import addresses
from hemlockreel import cancels
from hemlockreel import core
from hemlockreel import drain
from hemlockreel import events
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import precedence
from hemlockreel_standins import helper

OTHER = "127.0.0.1:9001"
CLOSES_AT = drain.ADDRESS_TTL_S + drain.MEMBERSHIP_SPREAD_S


@pytest.fixture
def made():
    """A daemon that was told to stop at 0, with one other member."""
    made = helper.make_board()
    update = messages.MemberUpdate(
        host=OTHER,
        zone=helper.ZONE,
        region=helper.REGION,
        callers=OTHER,
        epoch=1,
        incarnation=0,
        state=precedence.ALIVE,
    )
    list(membership.merge_update(made, update, 0.0))
    core.step(made, events.DrainRequested(), 0.0)
    return made


def exits(found):
    return bool(helper.of_type(found, actions.Exit))


def told(found):
    return [
        (action.to, update.state, update.draining)
        for action in helper.of_type(found, actions.Send)
        if isinstance(action.message, messages.Gossip)
        for update in action.message.updates
        if update.host == helper.HOST
    ]


def test_address_answers_leave_it_out_at_once(made):
    assert addresses.rank_for_caller(made, "me") == (
        [OTHER],
        drain.ADDRESS_TTL_S,
    )


def test_members_are_told_at_the_start_and_at_the_end(made):
    tick = core.step(made, events.Tick(), 0.1)
    assert told(tick) == [(OTHER, precedence.ALIVE, True)]
    end = core.step(made, events.CallersCounted(0), CLOSES_AT)
    assert told(end) == [(OTHER, precedence.LEFT, True)]
    assert exits(end)


def test_stays_open_until_the_last_address_answer_has_aged(made):
    assert not drain.is_closed(made, CLOSES_AT - 0.1)
    found = core.step(made, events.CallersCounted(0), CLOSES_AT - 0.1)
    assert not exits(found)
    assert drain.is_closed(made, CLOSES_AT)


def test_second_order_to_stop_changes_nothing(made):
    assert not core.step(made, events.DrainRequested(), 3.0)
    assert drain.is_closed(made, CLOSES_AT)


def test_waits_for_the_last_caller(made):
    for now in (CLOSES_AT, CLOSES_AT + 100):
        assert not exits(core.step(made, events.CallersCounted(1), now))
    end = core.step(made, events.CallersCounted(0), CLOSES_AT + 101)
    assert exits(end)


def test_waits_a_while_for_cancels_that_no_engine_confirms(made):
    list(cancels.start(made, "127.0.0.1:9100", "r1", 1, CLOSES_AT))
    idle = CLOSES_AT + 1
    counted = events.CallersCounted(0)
    assert not exits(core.step(made, counted, idle))
    late = idle + drain.MAX_SETTLE_S
    assert not exits(core.step(made, counted, late - 0.1))
    assert exits(core.step(made, counted, late))
    assert not exits(core.step(made, counted, late + 1))


def test_never_closes_without_an_order():
    made = helper.make_board()
    assert not drain.is_closed(made, 1e9)
    assert not exits(core.step(made, events.CallersCounted(0), 1e9))
