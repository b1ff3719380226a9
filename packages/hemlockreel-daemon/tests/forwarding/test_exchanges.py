"""The listener under many concurrent streams and all kinds of requests."""

import socket
import threading
import time

import pytest

from hemlockreel_standins import processes

from hemlockreel_daemon.forwarding import exchanges


@pytest.fixture
def start():
    """Starts servers and stops them after the test, as their threads go on."""
    opened = []

    def begin(handler, threads=4, most=64):
        address = f"127.0.0.1:{processes.free_port()}"
        server = exchanges.Server(address, handler, threads, most)
        server.set_limits(16384, 4 * 2**20, 15.0)
        server.start()
        opened.append(server)
        return server, address

    yield begin
    for server in opened:
        server.stop()


def get(address, found):
    link = processes.connect(address)
    link.request("GET", "/")
    found.append(link.getresponse().read())
    link.close()


def test_threads_are_added_for_concurrent_requests(start):
    together = threading.Barrier(20)

    def wait(exchange):
        together.wait(10.0)
        exchange.reply(200, (), b"ok")

    server, address = start(wait)
    found = []
    callers = [
        threading.Thread(target=get, args=(address, found)) for _ in range(20)
    ]
    for caller in callers:
        caller.start()
    for _ in range(50):
        server.grow_if_busy()
        time.sleep(0.05)
        if len(found) == 20:
            break
    for caller in callers:
        caller.join(10.0)
    assert found == [b"ok"] * 20


def test_the_number_of_threads_is_bounded(start):
    release = threading.Event()

    def wait(exchange):
        release.wait(10.0)
        exchange.reply(200, (), b"ok")

    server, address = start(wait, threads=4, most=8)
    callers = [
        threading.Thread(target=get, args=(address, [])) for _ in range(20)
    ]
    for caller in callers:
        caller.start()
    for _ in range(10):
        server.grow_if_busy()
        time.sleep(0.02)
    assert server.threads == 8
    release.set()
    for caller in callers:
        caller.join(10.0)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_body_is_read_in_each_framing(start, framing):
    def echo(exchange):
        exchange.reply(200, (), exchange.read_body())

    _, address = start(echo)
    link = processes.connect(address)
    body = b"abc" if framing == "length" else iter([b"a", b"bc"])
    link.request("POST", "/", body, encode_chunked=framing == "chunks")
    assert link.getresponse().read() == b"abc"


def test_an_aborted_response_does_not_look_complete(start):
    def cut(exchange):
        exchange.start(200, ())
        exchange.send(b"part")
        exchange.abort()

    _, address = start(cut)
    link = processes.connect(address)
    link.request("GET", "/")
    with pytest.raises(Exception, match="IncompleteRead"):
        link.getresponse().read()


def read_raw(address, version):
    """Returns the raw response, and whether its connection was reset."""
    host, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), 5.0) as link:
        link.sendall(b"GET / HTTP/%b\r\nHost: a\r\n\r\n" % version)
        try:
            while part := link.recv(65536):
                received += part
        except ConnectionResetError:
            return received, True
    return received, False


# MIXED and ORDER of issue 36: what ends early must not look complete.
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_response_that_is_aborted_does_not_look_complete(start, version):
    sent = threading.Event()

    def handle(exchange):
        exchange.start(200, (("Content-Type", "text/event-stream"),))
        exchange.send(b"id: 1\n\n")
        sent.wait(5.0)
        assert not exchange.reply(502, (), b"an error")
        exchange.abort()

    _, address = start(handle)
    threading.Timer(0.2, sent.set).start()
    received, was_reset = read_raw(address, version)
    assert received.count(b"id: 1\n\n") == 1
    assert b"error" not in received
    assert b"\r\n0\r\n\r\n" not in received
    assert was_reset or b"Transfer-Encoding: chunked" in received
