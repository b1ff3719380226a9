"""Queries of other threads, which the loop answers between events."""

import threading

import pytest

from hemlockreel import events
from hemlockreel_daemon import loop as loops
from hemlockreel_standins import helper


@pytest.fixture
def loop():
    failed = threading.Event()
    made = loops.Loop(helper.make_board(), lambda action: None, failed.set)
    made.start()
    made.failed = failed
    yield made
    made.stop()


def test_a_query_returns_its_value(loop):
    assert loop.query(lambda board: board.identity.zone) == helper.ZONE


def test_a_query_that_fails_raises_at_its_caller_only(loop):
    with pytest.raises(ZeroDivisionError):
        loop.query(lambda board: 1 / 0)
    loop.post(events.Tick())
    assert loop.query(lambda board: 5) == 5
    assert not loop.failed.is_set()
