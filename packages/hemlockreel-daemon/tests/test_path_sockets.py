"""Bytes of a replica that another host carries, and how they end."""

import socket
import struct
import threading
import time

import pytest

from hemlockreel_daemon import bounded_sockets
from hemlockreel_daemon import clock
from hemlockreel_daemon import path_sockets

RESET = struct.pack("ii", 1, 0)


@pytest.fixture
def path():
    """The two ends of a path that a thread carries, and the carrier."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    user, _ = listener.accept()
    far = socket.create_connection(listener.getsockname())
    replica, _ = listener.accept()
    carrier = path_sockets.Carrier(user, replica)

    def carry():
        with user, replica:
            carrier.run(clock.now() + 10.0)

    thread = threading.Thread(target=carry, daemon=True)
    thread.start()
    found = path_sockets.PathSocket(near, "10.0.0.1:9")
    found.set_limits(5.0, 10**9)
    far.settimeout(5.0)
    yield found, far, thread
    found.close()
    far.close()
    listener.close()


def read_all(sock):
    data = bytearray()
    buffer = bytearray(1000)
    while count := sock.recv_into(buffer):
        data += buffer[:count]
    return bytes(data)


def test_bytes_pass_both_ways_and_an_ordered_end_is_one(path):
    near, far, thread = path
    sent = bytes(range(256)) * 2000
    near.sendall(b"request")
    assert far.recv(100) == b"request"
    threading.Thread(
        target=lambda: (far.sendall(sent), far.close()), daemon=True
    ).start()
    assert read_all(near) == sent
    thread.join(2.0)
    assert not thread.is_alive()


# MIXED: an answer without a length that was cut must not look complete.
def test_reset_of_the_replica_is_no_end(path):
    near, far, _ = path
    far.sendall(b"half of an answer")
    time.sleep(0.1)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    far.close()
    with pytest.raises(ConnectionResetError):
        read_all(near)


# MIXED of issue 41: the end of a response that began too early was one.
@pytest.mark.parametrize("reads_on", [False, True])
def test_end_of_a_replica_that_answered_early_is_no_end(path, reads_on):
    near, far, _ = path
    request = b"x" * 2**20
    near.sendall(request)
    far.sendall(b"half of an answer")
    assert near.recv_into(bytearray(100)) == 17
    left = len(request) if reads_on else 0
    while left:
        left -= len(far.recv(65536))
    far.shutdown(socket.SHUT_WR)
    with pytest.raises(ConnectionError):
        read_all(near)


@pytest.mark.parametrize("sent", [b"", b"\0\0", b"\0\0\0\5abc"])
def test_end_of_the_path_is_no_end_and_no_crash(sent):
    near, other = socket.socketpair()
    found = path_sockets.PathSocket(near, "10.0.0.1:9")
    found.set_limits(5.0, 10**9)
    other.sendall(sent)
    other.close()
    # As after a time limit, nothing is known of the replica.
    with pytest.raises(TimeoutError):
        read_all(found)


def test_caller_that_closes_ends_the_connection_to_the_replica(path):
    near, far, thread = path
    near.close()
    assert far.recv(1) == b""
    thread.join(2.0)
    assert not thread.is_alive()


def test_slow_reader_slows_the_replica_down(path):
    near, far, _ = path
    far.settimeout(0.5)
    with pytest.raises(TimeoutError):
        far.sendall(b"x" * 64 * 2**20)
    assert near.recv_into(bytearray(10)) == 10


def test_limits_of_responses_hold_on_paths(path):
    near, far, _ = path
    near.set_limits(5.0, 100)
    far.sendall(b"x" * 1000)
    with pytest.raises(bounded_sockets.ResponseTooLarge):
        read_all(near)


@pytest.mark.parametrize(
    "line",
    [b"", b"x", b"{}", b"[1]", b'{"replica":1}', b"[" * 5000, b'{"a":"\xff"}'],
)
def test_lines_that_are_none_are_recognised(line):
    assert path_sockets.decode_request(line) is None
    assert path_sockets.decode_reply(line) is None
