"""Bytes without end that are no response, in a head or a body.

They may come quickly or one now and then, until the reader closes.
"""

import itertools
import socket
import struct
import threading
import time

import pynng
import pytest

from hemlockreel_daemon import bounded_sockets
from hemlockreel_daemon import http_calls
from hemlockreel_daemon import metrics
from hemlockreel_daemon import peers

TIMEOUT_S = 0.6
MOST_S = 3.0  # far below what an endless response would take
LIMITS = bounded_sockets.ResponseLimits(4096, 2**20, 8192)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# What comes first, and what is then repeated without end.
ENDLESS = {
    "status line": (b"", b"x"),
    "no newline in a header": (OK + b"X-A: ", b"x"),
    "headers": (OK, b"X-A: 1\r\n"),
    "continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body without length": (OK + b"\r\n", b"x"),
    "body of a huge length": (OK + b"Content-Length: 9" + b"9" * 15
                              + b"\r\n\r\n", b"x"),
    "size of a chunk": (CHUNKED, b"0"),
    "one chunk": (CHUNKED + b"ffffffffff\r\n", b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n"),
}  # fmt: skip


@pytest.fixture(autouse=True)
def limits():
    before = http_calls.limits()
    http_calls.set_limits(LIMITS)
    yield
    http_calls.set_limits(before)


class Server:
    """Sends ``first`` and then ``again`` without end on each connection.

    ``closed`` is set when the other side has closed the connection.
    """

    def __init__(self, first, again, gap_s):
        self._parts = first, again, gap_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent = 0
        self.closed = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        first, again, gap_s = self._parts
        sock, _ = self._listener.accept()
        data = again if gap_s else again * (4096 // len(again) + 1)
        try:
            sock.recv(65536)
            for part in itertools.chain([first], itertools.repeat(data)):
                sock.sendall(part)
                self.sent += len(part)
                time.sleep(gap_s)
        except OSError:
            self.closed.set()


@pytest.mark.parametrize("gap_s", [0.0, 0.05])
@pytest.mark.parametrize("kind", ENDLESS)
def test_a_response_without_end_is_given_up(kind, gap_s):
    server = Server(*ENDLESS[kind], gap_s)
    started = time.monotonic()
    failed = http_calls.call_json(
        server.address, "GET", "/", timeout_s=TIMEOUT_S
    )
    assert time.monotonic() - started < MOST_S
    assert isinstance(failed, http_calls.CallFailed)
    assert failed.sent
    assert server.closed.wait(MOST_S)


def test_memory_is_bounded_by_the_limit():
    """Beyond the limit the server's bytes stay in the kernel's buffers."""
    server = Server(*ENDLESS["size of a chunk"], 0.0)
    http_calls.call_json(server.address, "GET", "/", timeout_s=30.0)
    assert server.closed.wait(MOST_S)
    kernel_bytes = 16 * 2**20
    assert server.sent < LIMITS.body_bytes + kernel_bytes


def test_a_slow_but_sound_response_is_whole():
    first = OK + b"Content-Length: 6\r\n\r\n"
    server = Server(first, b"1", 0.05)
    status, body, _ = http_calls.call_json(
        server.address, "GET", "/", timeout_s=5.0
    )
    assert (status, body) == (200, 111111)


def test_a_huge_message_of_a_peer_is_dropped_and_the_next_is_read():
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = f"127.0.0.1:{free.getsockname()[1]}"
    made = peers.Peers(address, metrics.Metrics())
    seen = []
    made.start(seen.append)
    with pynng.Push0(dial=f"tcp://{address}", send_timeout=2000) as outbox:
        outbox.send(b"x" * (peers.MAX_MESSAGE_BYTES + 1))
    before = made._metrics.text()
    with pynng.Push0(dial=f"tcp://{address}", send_timeout=2000) as outbox:
        outbox.send(b"small and no message")
        ends_at = time.monotonic() + MOST_S
        while made._metrics.text() == before and time.monotonic() < ends_at:
            time.sleep(0.02)
    assert b"hemlockreel_broken_messages_total 1.0" in made._metrics.text()
    made.close()


def reset(far):
    far.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    far.close()


def end_and_reset(far):
    far.shutdown(socket.SHUT_WR)
    reset(far)


# MIXED of issue 41: only the system still knows of the reset.
@pytest.mark.parametrize("writes", [False, True])
@pytest.mark.parametrize("end", [reset, end_and_reset])
def test_reset_is_no_end_even_after_one_or_if_a_write_took_it(end, writes):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = bounded_sockets.BoundedSocket(
            socket.create_connection(listener.getsockname())
        )
        far, _ = listener.accept()
    with near:
        near.set_limits(TIMEOUT_S, 100)
        far.sendall(b"part")
        end(far)
        time.sleep(0.1)
        if writes:
            with pytest.raises(ConnectionError):
                near.sendall(b"x")
        assert near.recv_into(bytearray(10)) == 4
        with pytest.raises(ConnectionError):
            near.recv_into(bytearray(10))
