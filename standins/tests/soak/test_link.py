"""Tests that a link treats bytes and connections as its mode requires."""

import contextlib
import socket
import threading
import time

import pytest

from hemlockreel_standins.soak import link


@pytest.fixture
def echo():
    """The address of a server that sends back each byte."""
    listener = socket.create_server(("127.0.0.1", 0))

    def echo_back(sock):
        with sock, contextlib.suppress(OSError):
            while data := sock.recv(1024):
                sock.sendall(data)

    def serve():
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(
                    target=echo_back, args=(sock,), daemon=True
                ).start()

    threading.Thread(target=serve, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


@pytest.fixture
def proxy(echo):
    proxy = link.Link(echo)
    yield proxy
    proxy.close()


def connect(proxy, timeout_s=5.0):
    host, _, port = proxy.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout_s)


def echo_byte(sock):
    sock.sendall(b"x")
    return sock.recv(1)


def test_whole_link_passes_both_ways(proxy):
    with connect(proxy) as sock:
        assert echo_byte(sock) == b"x"


def test_delayed_link_delays_both_directions(proxy):
    proxy.set(link.Mode.DELAYED, 0.2)
    with connect(proxy) as sock:
        started = time.monotonic()
        assert echo_byte(sock) == b"x"
        assert time.monotonic() - started >= 0.4


@pytest.mark.parametrize(
    "mode",
    [link.Mode.SILENT, link.Mode.NO_REQUESTS, link.Mode.NO_ANSWERS],
)
def test_held_bytes_arrive_when_the_link_is_whole_again(proxy, mode):
    with connect(proxy, 0.5) as sock:
        assert echo_byte(sock) == b"x"
        proxy.set(mode)
        with pytest.raises(TimeoutError):
            echo_byte(sock)
        proxy.set(link.Mode.WHOLE)
        sock.settimeout(5.0)
        assert sock.recv(1) == b"x"


def test_reset_ends_open_and_new_connections(proxy):
    with connect(proxy) as sock:
        assert echo_byte(sock) == b"x"
        proxy.set(link.Mode.RESET)
        assert sock.recv(1) == b"" or pytest.fail("still open")
    # The reset may arrive while the connection is still being opened.
    with pytest.raises(ConnectionError), connect(proxy) as sock:
        sock.sendall(b"x")
        assert sock.recv(1) == b""
        raise ConnectionResetError


def test_cut_link_makes_connects_hang_and_heals(proxy):
    held = connect(proxy)
    proxy.set(link.Mode.CUT)
    with pytest.raises(TimeoutError):
        connect(proxy, 0.3)
    held.sendall(b"x")
    held.settimeout(0.3)
    with pytest.raises(TimeoutError):
        held.recv(1)
    proxy.set(link.Mode.WHOLE)
    held.settimeout(2.0)
    assert held.recv(1) == b"x"
    with connect(proxy) as later:
        later.sendall(b"y")
        assert later.recv(1) == b"y"


@pytest.mark.parametrize(
    ("mode", "lives_on"),
    [(link.Mode.REFUSED, False), (link.Mode.NEW_REFUSED, True)],
)
def test_refusing_link_refuses_connects_and_heals(proxy, mode, lives_on):
    held = connect(proxy)
    held.sendall(b"x")
    assert held.recv(1) == b"x"
    proxy.set(mode)
    with pytest.raises(ConnectionRefusedError):
        connect(proxy)
    if lives_on:
        held.sendall(b"y")
        assert held.recv(1) == b"y"
    else:
        with contextlib.suppress(ConnectionError):
            assert held.recv(1) == b""
    proxy.set(link.Mode.WHOLE)
    with connect(proxy) as later:
        later.sendall(b"z")
        assert later.recv(1) == b"z"
