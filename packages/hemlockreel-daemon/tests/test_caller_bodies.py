"""The body of a caller's request, in any parts, within its limits."""

import itertools
import socket
import types

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel_daemon import caller_bodies
from hemlockreel_daemon import caller_limits
from hemlockreel_daemon import caller_memory
from hemlockreel_daemon import caller_reader

LIMIT = 1000
LINE_LIMIT = 200
LISTENER = types.SimpleNamespace(timeout=5.0)


class Parts:
    """A socket that receives given parts, then the connection's end."""

    def __init__(self, parts):
        self._parts = list(parts)

    def recv(self, size):
        if not self._parts:
            return b""
        part = self._parts.pop(0)
        if part[size:]:
            self._parts.insert(0, part[size:])
        return part[:size]

    def recv_into(self, room):
        part = self.recv(len(room))
        room[: len(part)] = part
        return len(part)

    def setsockopt(self, *option):
        pass

    def shutdown(self, how):
        pass


def read(parts, length=None):
    """Returns the body, and what follows it."""
    sock = Parts(parts)
    caller = caller_memory.Account().admit(sock, LISTENER)
    caller.begin()
    reader = caller_reader.Reader(sock, caller)
    body = caller_bodies.Body(reader, caller, length, LIMIT, LINE_LIMIT)
    return body.read(), reader.readline(100)


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=90), max_size=9),
    strategies.lists(strategies.integers(0, 2000), max_size=20),
    strategies.sampled_from([b"", b"X-A: 1\r\n", b"X-A: 1\r\nB: 2\r\n"]),
)
def test_chunks_are_read_in_any_parts(chunks, cuts, trailers):
    sent = b"".join(b"%x;a=1\r\n%b\r\n" % (len(e), e) for e in chunks)
    sent += b"0\r\n" + trailers + b"\r\nGET / HTTP/1.1\r\n"
    places = [0, *sorted(cuts), len(sent)]
    parts = [
        sent[begin:end]
        for begin, end in itertools.pairwise(places)
        if sent[begin:end]
    ]
    assert read(parts) == (b"".join(chunks), b"GET / HTTP/1.1\r\n")


def test_body_of_the_longest_length_is_read():
    assert read([b"x" * LIMIT + b"y"], LIMIT) == (b"x" * LIMIT, b"y")
    whole = b"1\r\nx\r\n" * LIMIT + b"0\r\n\r\n"
    assert read([whole]) == (b"x" * LIMIT, b"")


@pytest.mark.parametrize(
    ("sent", "status", "limit"),
    [
        (b"0" * (LINE_LIMIT + 1), 413, "size_line"),
        (b"3e9\r\n", 413, "body"),
        (b"ffffffffffffffff\r\n", 413, "body"),
        (b"1;" + b"a" * 100 + b"\r\nx\r\n", None, None),
        ((b"1;" + b"a" * 100 + b"\r\nx\r\n") * 9, 413, "size_line"),
        (b"0\r\n" + b"X-A: 1\r\n" * 100, 431, "trailers"),
        (b"0\r\nX-A: " + b"x" * 1000, 431, "trailers"),
    ],
)
def test_what_is_too_long_is_refused(sent, status, limit):
    if status is None:
        assert read([sent + b"0\r\n\r\n"])[0] == b"x"
        return
    with pytest.raises(caller_limits.Refused) as found:
        read([sent])
    assert (found.value.status, found.value.limit) == (status, limit)


@pytest.mark.parametrize(
    "sent",
    [b"", b"5", b"-1\r\nx", b"+1\r\nx", b"0x1\r\nx", b"\r\n", b"1\r\nxy\r\n",
     b"2\r\nx", b"0\r\n", b"0\r\nX-A: 1\n\r\n", b"1" * 17 + b"\r\n"],
)  # fmt: skip
def test_malformed_body_is_no_body(sent):
    with pytest.raises(caller_limits.MalformedBody):
        read([sent])


def test_body_that_ends_early_is_no_body():
    with pytest.raises(caller_limits.MalformedBody):
        read([b"x" * 9], 10)


def test_request_that_was_ended_is_refused_and_gives_back_its_memory():
    ours, theirs = socket.socketpair()
    account = caller_memory.Account()
    caller = account.admit(ours, LISTENER)
    caller.begin()
    reader = caller_reader.Reader(ours, caller)
    body = caller_bodies.Body(reader, caller, 10**6, 10**6, LINE_LIMIT)
    with ours, theirs:
        theirs.sendall(b"x" * 50_000)
        caller.resize(100_000)
        caller.end(caller_limits.Refused(503, "memory", "no room"))
        with pytest.raises(caller_limits.Refused, match="no room"):
            body.read()
    assert account.budget.total == 0
