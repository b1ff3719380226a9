import socket

import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import callers_socket
from hemlockreel_daemon import mailbox


@pytest.fixture
def pair():
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname())
        ours, _ = server.accept()
        with ours, theirs:
            yield ours, theirs


@pytest.fixture
def watcher():
    made = callers_socket.Watcher()
    made.start()
    return made


def test_silent_caller_is_not_gone(pair, watcher):
    # The server's sockets have a time-out, which recv() would wait for.
    ours, _ = pair
    ours.settimeout(0.1)
    box = mailbox.Mailbox()
    watcher.watch(ours, box)
    assert box.get(0.5) is None
    assert box.stopped is None


def test_closed_caller_is_gone(pair, watcher):
    ours, theirs = pair
    box = mailbox.Mailbox()
    watcher.watch(ours, box)
    theirs.close()
    assert box.get(4.0) == mailbox.Stopped(outcomes.Reason.CALLER_GONE)
