"""Detection of callers that disconnect, stop reading or become unreachable."""

import os
import socket
import threading
import time

import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import caller_sockets
from hemlockreel_daemon import mailbox

NO_EVENT_WAIT_S = 0.3


@pytest.fixture
def pair():
    """Both ends of a connection, with a timeout as the HTTP server sets it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    ours.settimeout(10.0)
    with ours, theirs:
        yield ours, theirs


@pytest.fixture
def watched(pair):
    watcher = caller_sockets.Watcher()
    watcher.start()
    box = mailbox.Mailbox()
    watcher.watch(pair[0], box)
    yield watcher, box
    watcher.stop_watching(pair[0])


def test_idle_caller_is_not_disconnected(watched):
    assert watched[1].get(NO_EVENT_WAIT_S) is None


def test_caller_that_sends_data_is_not_disconnected(pair, watched):
    pair[1].sendall(b"GET / HTTP/1.1\r\n")
    assert watched[1].get(NO_EVENT_WAIT_S) is None


def test_closed_connection_stops_the_mailbox(pair, watched):
    pair[1].close()
    gone = mailbox.Stopped(outcomes.Reason.CALLER_GONE)
    assert watched[1].get(5.0) == gone


def test_no_longer_watched_caller_stops_nothing(pair, watched):
    watched[0].stop_watching(pair[0])
    pair[1].close()
    assert watched[1].get(NO_EVENT_WAIT_S) is None


class LateEpoll:
    """An epoll that calls ``act`` before it returns its events."""

    def __init__(self, epoll, act):
        self._epoll = epoll
        self._act = act

    def poll(self):
        """Waits for events and calls ``act`` before it returns them."""
        found = self._epoll.poll()
        self._act()
        return found

    def register(self, *arguments):
        """Calls the real epoll."""
        self._epoll.register(*arguments)

    def unregister(self, descriptor):
        """Calls the real epoll."""
        self._epoll.unregister(descriptor)


def test_late_event_spares_the_next_connection_of_a_descriptor(pair):
    """Guards against stopping the request of a reused file descriptor.

    The kernel reuses the descriptor of a closed connection at once, so a late
    event of the old connection can name the descriptor of the next one.
    """
    watcher = caller_sockets.Watcher()
    first, second = mailbox.Mailbox(), mailbox.Mailbox()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    descriptor = ours.fileno()
    watcher.watch(ours, first)
    late = threading.Event()

    def replace():
        """Ends the first request and starts one that reuses its descriptor."""
        if late.is_set():
            return
        watcher.stop_watching(ours)
        os.dup2(pair[0].fileno(), descriptor)
        watcher.watch(ours, second)
        late.set()

    watcher._epoll = LateEpoll(watcher._epoll, replace)
    watcher.start()
    theirs.close()
    assert late.wait(5.0)
    assert second.get(NO_EVENT_WAIT_S) is None
    # The second connection is still watched.
    pair[1].close()
    gone = mailbox.Stopped(outcomes.Reason.CALLER_GONE)
    assert second.get(5.0) == gone
    watcher.stop_watching(ours)
    ours.close()


def test_stop_interrupts_a_blocked_call(pair):
    box = mailbox.Mailbox()
    watcher = caller_sockets.Watcher()
    watcher.start()
    watcher.watch(pair[0], box)
    with socket.create_server(("127.0.0.1", 0)) as silent:
        call = socket.create_connection(silent.getsockname())
        pair[1].close()
        with call, box.interrupting(call):
            call.settimeout(10.0)
            assert call.recv(1) == b""


def test_write_to_a_caller_that_does_not_read_times_out(pair):
    caller_sockets.configure(pair[0])
    started = time.monotonic()
    with pytest.raises(OSError):
        pair[0].sendall(b"x" * 2**24)
    assert time.monotonic() - started < 2 * caller_sockets.WRITE_TIMEOUT_S


def test_unreachable_caller_is_detected_within_4_s(pair):
    # Loopback can't lose packets, so only the socket options are checked.
    caller_sockets.configure(pair[0])
    found = {
        option: pair[0].getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )
    }
    assert pair[0].getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    idle, period, probes, unacknowledged_ms = found.values()
    assert idle + period * probes < 4
    assert unacknowledged_ms < 4000
