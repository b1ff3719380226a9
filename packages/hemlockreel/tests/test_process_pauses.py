"""A daemon detects that it was paused and then ignores silent peers."""

import random

from hemlockreel import actions
from hemlockreel import board as boards
from hemlockreel import events
from hemlockreel import process_pauses

PERIOD_S = 0.1


def make_board():
    identity = boards.Identity("10.0.0.1:9000", "", "a", "midt", 1)
    return boards.Board(identity, (), random.Random(1))


def tick(board, now):
    return list(process_pauses.handle(events.Tick(), board, now))


def test_regular_ticks_are_no_pause():
    board = make_board()
    for number in range(50):
        assert tick(board, number * PERIOD_S) == []
        assert process_pauses.ended_pause_s(board) == 0
        assert not process_pauses.is_reconnecting(board, number * PERIOD_S)


def test_gap_is_a_pause_and_is_logged():
    board = make_board()
    tick(board, 0.0)
    assert tick(board, 4.0) == [actions.Log("paused", {"seconds": 4.0})]
    assert process_pauses.ended_pause_s(board) == 4.0


def test_pause_is_reported_in_one_tick_only():
    board = make_board()
    tick(board, 0.0)
    tick(board, 4.0)
    tick(board, 4.1)
    assert process_pauses.ended_pause_s(board) == 0


def test_peers_get_time_to_reconnect_after_a_pause():
    board = make_board()
    tick(board, 0.0)
    tick(board, 4.0)
    assert process_pauses.is_reconnecting(
        board, 4.0 + process_pauses.RECONNECT_GRACE_S - 0.1
    )
    assert not process_pauses.is_reconnecting(
        board, 4.0 + process_pauses.RECONNECT_GRACE_S
    )
