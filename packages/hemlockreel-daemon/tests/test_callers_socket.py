import socket
import time

import pytest

from hemlockreel_daemon import callers_socket


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ours, theirs


def test_silent_caller_is_not_gone(pair, monkeypatch):
    # The server's sockets have a time-out, which recv() would wait for.
    ours, _ = pair
    ours.settimeout(1.0)
    monkeypatch.setattr(callers_socket, "_keep_alive", lambda sock: None)
    begun = time.monotonic()
    assert not callers_socket.watch(ours)()
    assert time.monotonic() - begun < 0.5


def test_closed_caller_is_gone(pair, monkeypatch):
    ours, theirs = pair
    monkeypatch.setattr(callers_socket, "_keep_alive", lambda sock: None)
    gone = callers_socket.watch(ours)
    theirs.close()
    assert gone()
