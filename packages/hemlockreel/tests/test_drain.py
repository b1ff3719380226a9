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
def board():
    """The board of a daemon, draining since 0, with one other member."""
    board = helper.make_board()
    update = messages.MemberUpdate(
        host=OTHER,
        zone=helper.ZONE,
        region=helper.REGION,
        callers=OTHER,
        epoch=1,
        incarnation=0,
        state=precedence.ALIVE,
    )
    list(membership.merge_update(board, update, 0.0))
    core.step(board, events.DrainRequested(), 0.0)
    return board


def has_exit(found):
    return bool(helper.of_type(found, actions.Exit))


def gossiped_states(found):
    return [
        (action.to, update.state, update.draining)
        for action in helper.of_type(found, actions.Send)
        if isinstance(action.message, messages.Gossip)
        for update in action.message.updates
        if update.host == helper.HOST
    ]


def test_draining_daemon_is_not_returned_to_callers(board):
    assert addresses.rank_for_caller(board, "me") == (
        [OTHER],
        drain.ADDRESS_TTL_S,
    )


def test_members_are_notified_at_the_start_and_at_the_end(board):
    tick = core.step(board, events.Tick(), 0.1)
    assert gossiped_states(tick) == [(OTHER, precedence.ALIVE, True)]
    end = core.step(board, events.CallersCounted(0), CLOSES_AT)
    assert gossiped_states(end) == [(OTHER, precedence.LEFT, True)]
    assert has_exit(end)


def test_accepts_requests_until_cached_addresses_expire(board):
    assert not drain.is_closed(board, CLOSES_AT - 0.1)
    found = core.step(board, events.CallersCounted(0), CLOSES_AT - 0.1)
    assert not has_exit(found)
    assert drain.is_closed(board, CLOSES_AT)


def test_repeated_drain_request_changes_nothing(board):
    assert not core.step(board, events.DrainRequested(), 3.0)
    assert drain.is_closed(board, CLOSES_AT)


def test_waits_for_the_last_caller(board):
    for now in (CLOSES_AT, CLOSES_AT + 100):
        assert not has_exit(core.step(board, events.CallersCounted(1), now))
    end = core.step(board, events.CallersCounted(0), CLOSES_AT + 101)
    assert has_exit(end)


def test_waits_a_limited_time_for_unconfirmed_cancels(board):
    list(cancels.start(board, "127.0.0.1:9100", "r1", 1, CLOSES_AT))
    idle = CLOSES_AT + 1
    counted = events.CallersCounted(0)
    assert not has_exit(core.step(board, counted, idle))
    late = idle + drain.MAX_SETTLE_S
    assert not has_exit(core.step(board, counted, late - 0.1))
    assert has_exit(core.step(board, counted, late))
    assert not has_exit(core.step(board, counted, late + 1))


def test_never_closes_without_a_drain_request():
    board = helper.make_board()
    assert not drain.is_closed(board, 1e9)
    assert not has_exit(core.step(board, events.CallersCounted(0), 1e9))
