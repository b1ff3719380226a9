"""The memory of all responses: who gives way, and who waits for it."""

import socket
import threading

import pytest

from hemlockreel_daemon import bounded_sockets
from hemlockreel_daemon import response_memory

LIMIT = 1_000_000
SMALL = response_memory.FREE_BYTES


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ours, theirs


def test_largest_response_gives_way_and_its_reader_is_woken(pair):
    ours, theirs = pair
    budget = response_memory.Budget(LIMIT)
    ended = threading.Event()

    def read_large():
        with budget.hold(ours) as large:
            large.resize(700_000)
            ours.recv(1)  # until the socket is shut down
            with pytest.raises(bounded_sockets.ResponseTooLarge):
                large.resize(700_001)
        ended.set()

    thread = threading.Thread(target=read_large)
    thread.start()
    while not budget.total:
        pass
    with budget.hold(theirs) as other:
        other.resize(400_000)
        # The memory is used again only once it is released.
        assert ended.wait(1.0)
        assert budget.total == 400_000
    thread.join()
    assert budget.total == 0


def test_small_responses_are_not_counted(pair):
    budget = response_memory.Budget(LIMIT)
    with budget.hold(pair[0]) as holding:
        holding.resize(SMALL)
        assert budget.total == 0
        holding.resize(SMALL + 1)
        holding.resize(SMALL)
        assert budget.total == SMALL


def test_single_response_over_the_limit_is_given_up(pair):
    budget = response_memory.Budget(LIMIT)
    with (
        budget.hold(pair[0]) as holding,
        pytest.raises(bounded_sockets.ResponseTooLarge),
    ):
        holding.resize(LIMIT + 1)
