"""Responses whose connection ends early, at every byte and in two ways.

A message is whole only if its own framing says so; the end of a connection is
an end only where the framing says that the body lasts until then.
"""

import socket
import struct
import threading
import time

import pytest

from hemlockreel_daemon import bounded_sockets
from hemlockreel_daemon import http_calls
from hemlockreel_daemon import kept_connections
from hemlockreel_daemon import response_framing

HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07\r\n"
LENGTH = b"Content-Length: 12\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)
BODY = b"hello, world"
WHOLE = {
    "length": HEAD + LENGTH + BODY,
    "chunks": HEAD + CHUNKED + b"2\r\nhe\r\n0a;x=1\r\nllo, world\r\n0\r\n\r\n",
    "trailers": HEAD + CHUNKED + b"C\r\n" + BODY + b"\r\n0\r\nX-A: 1\r\n\r\n",
    "interim heads": INTERIM + HEAD + LENGTH + BODY,
    "until close": HEAD + b"\r\n" + BODY,
}
# The body that lasts until the end of its connection may end anywhere.
ENDS_ANYWHERE = len(HEAD) + 2
CUTS = [
    (shape, at, how)
    for shape, whole in WHOLE.items()
    for how in ("close", "reset")
    for at in range(
        ENDS_ANYWHERE
        if (shape, how) == ("until close", "close")
        else len(whole)
    )
]


class Server:
    """Answers each connection with the next of ``answers`` and ends it."""

    def __init__(self, *answers):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._answers = answers
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        with self._listener:
            for data, how in self._answers:
                sock, _ = self._listener.accept()
                with sock:
                    sock.recv(65536)
                    sock.sendall(data)
                    if how == "reset":
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )


def read(server):
    """Returns the body of the next answer, or the failure to read it."""
    opened = http_calls.open_call(server.address, "GET", "/", timeout_s=2.0)
    if isinstance(opened, http_calls.CallFailed):
        return opened
    try:
        return opened.response.status, opened.read_body()
    except http_calls.CALL_ERRORS as error:
        return http_calls.to_failure(error)
    finally:
        opened.close()


# MIXED of issue 36: the end of the connection was taken for that of the head.
def test_response_that_is_cut_anywhere_is_a_failure():
    server = Server(*((WHOLE[shape][:at], how) for shape, at, how in CUTS))
    taken = [
        (shape, at, how, found)
        for shape, at, how in CUTS
        if not isinstance(found := read(server), http_calls.CallFailed)
        or not found.sent
    ]
    assert len(CUTS) > 700
    assert not taken


@pytest.mark.parametrize("shape", WHOLE)
def test_whole_response_is_read(shape):
    assert read(Server((WHOLE[shape], "close"))) == (200, BODY)


CONTRADICTIONS = {
    "two lengths": HEAD + b"Content-Length: 5\r\n" + LENGTH + BODY,
    "list of lengths": HEAD + b"Content-Length: 12, 12\r\n\r\n" + BODY,
    "no number": HEAD + b"Content-Length: +12\r\n\r\n" + BODY,
    "length and chunks": HEAD + b"Content-Length: 5\r\n" + CHUNKED,
    "unknown coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n" + BODY,
    "no header line": HEAD + b"Content-Le\r\n" + LENGTH + BODY,
    "body of a 204": b"HTTP/1.1 204 No Content\r\n" + LENGTH + BODY,
    "switch": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "negative chunk": HEAD + CHUNKED + b"-1\r\nhello\r\n0\r\n\r\n",
    "size with a sign": HEAD + CHUNKED + b"+5\r\nhello\r\n0\r\n\r\n",
    "size without digits": HEAD + CHUNKED + b"\r\nhello\r\n0\r\n\r\n",
}  # fmt: skip


@pytest.mark.parametrize("kind", CONTRADICTIONS)
def test_contradictory_framing_is_a_failure(kind):
    found = read(Server((CONTRADICTIONS[kind], "close")))
    assert isinstance(found, http_calls.CallFailed)


@pytest.mark.parametrize(
    "head, is_empty",
    [
        (HEAD + b"\r\n", False),
        (HEAD + b"Content-Length: 0\r\n\r\n", True),
        (HEAD + CHUNKED + b"0\r\n\r\n", True),
        (b"HTTP/1.1 204 No Content\r\n\r\n", True),
    ],
)
def test_empty_body_is_an_object_only_if_framing_says_so(head, is_empty):
    server = Server((head, "close"), (head, "close"))
    kept = kept_connections.Pool(lambda _: "")
    first = http_calls.call_json(server.address, "GET", "/")
    second = kept.call_json("key", server.address, "GET", "/", None, {}, 1.0)
    for found in (first, second):
        assert isinstance(found, http_calls.CallFailed) is not is_empty
        assert not is_empty or found[1] == {}


@pytest.mark.parametrize(
    "part, data",
    [
        ("head", HEAD[:-1]),
        ("head", HEAD),
        ("chunks", HEAD + CHUNKED + b"1"),
        ("trailers", HEAD + CHUNKED + b"0\r\n"),
    ],
)
def test_failure_names_the_part_that_was_cut(part, data):
    failed = read(Server((data, "close")))
    assert f"the connection ended within the {part}" in failed.detail


def test_reads_that_this_process_ends_are_no_end_of_a_response():
    """The body lasts until the end of the connection, which is ours here."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def answer():
            sock, _ = listener.accept()
            sock.recv(65536)
            sock.sendall(HEAD + b"\r\nhello")
            sock.recv(1)  # until the other side has closed
            sock.close()

        threading.Thread(target=answer, daemon=True).start()
        opened = http_calls.open_call(address, "GET", "/", timeout_s=5.0)
        threading.Timer(0.2, opened.sock.shutdown, (socket.SHUT_RDWR,)).start()
        with pytest.raises(http_calls.CALL_ERRORS):
            opened.read_body()
        opened.close()


# MIXED of issue 41: an interim head hid that the next one came early, too.
@pytest.mark.parametrize(
    ("early", "late", "is_whole"),
    [
        (b"", INTERIM + HEAD, True),
        (INTERIM, HEAD, True),
        (INTERIM + HEAD, b"", False),
        (INTERIM + HEAD[:5], HEAD[5:], False),
        (HEAD, b"", False),
    ],
)
def test_head_that_came_before_the_end_of_its_request_is_early(
    early, late, is_whole
):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = bounded_sockets.BoundedSocket(
            socket.create_connection(listener.getsockname())
        )
        far, _ = listener.accept()
    with near, far:
        near.set_limits(2.0, 10**6)
        near.begin_request()
        near.sendall(b"the first part")
        far.sendall(early)
        time.sleep(0.05)
        near.sendall(b"the last part")
        time.sleep(0.05)
        far.recv(100)
        far.sendall(late + b"\r\n" + BODY)
        far.shutdown(socket.SHUT_WR)
        response = response_framing.Response(near, method="POST")
        response.begin()
        if is_whole:
            assert response.read() == BODY
            return
        with pytest.raises(OSError, match="before its request"):
            response.read()
