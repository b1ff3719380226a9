"""Requests that end within their body are never taken for whole ones."""

import socket

import pytest

from hemlockreel_standins import processes

from hemlockreel_daemon.forwarding import exchanges

BODY = b"two lots"
LINE = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = {
    "length": (LINE + b"Content-Length: 8\r\n\r\n", BODY),
    "chunks": (CHUNKED, b"3\r\ntwo\r\n05;x=1\r\n lots\r\n0\r\n\r\n"),
    "large chunk": (CHUNKED, b"0008\r\ntwo lots\r\n0\r\nX-A: 1\r\n\r\n"),
}


@pytest.fixture
def listener():
    found = []

    def handle(exchange):
        body = exchange.read_body()
        found.append(body)
        exchange.reply(400 if body is None else 200, (), b"")

    address = f"127.0.0.1:{processes.free_port()}"
    server = exchanges.Server(address, handler=handle, threads=4)
    server.set_limits(16384, 2**20, 15.0)
    server.start()
    yield address, found
    server.stop()


def send(address, data):
    """Sends ``data``, ends it, and returns the response."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5.0) as link:
        link.sendall(data)
        link.shutdown(socket.SHUT_WR)
        received = b""
        while part := link.recv(65536):
            received += part
    return received


# UNASKED of issue 33: a part of a booking ran as a whole one.
@pytest.mark.parametrize("shape", WHOLE)
def test_request_that_is_cut_anywhere_has_no_body(listener, shape):
    address, found = listener
    head, body = WHOLE[shape]
    for at in range(len(body)):
        assert send(address, head + body[:at]).startswith(b"HTTP/1.1 400")
    assert set(found) == {None}
    assert len(found) == len(body)


@pytest.mark.parametrize("shape", WHOLE)
def test_whole_requests_follow_each_other_on_a_connection(listener, shape):
    address, found = listener
    head, body = WHOLE[shape]
    received = send(address, 2 * (head + body))
    assert received.count(b"HTTP/1.1 200") == 2
    assert found == [BODY, BODY]
