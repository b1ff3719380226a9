"""Stand-in for the platform's replicas, with malformed responses on demand.

One class stands in for replicas of plain services and for engines. It encodes
its responses itself instead of using an HTTP server, because most of its
faults are errors of HTTP framing.
"""

from collections.abc import Iterable
import contextlib
import http.client
import io
import itertools
import json
import socket
import struct
import threading
import time
from typing import Any
from typing import NamedTuple

SIGNED = "Hemlockreel-Response-Signature"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
READ_TIMEOUT_S = 5.0
SILENCE_S = 3.0
STREAM_EVENTS = 5


class Arrival(NamedTuple):
    """A received request; the names of ``headers`` are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Replica:
    """A replica that is served by threads of this process.

    ``mode`` selects the response to the following requests: ``whole`` is the
    correct one, and each mode has a method named ``_answer_<mode>``.
    ``status`` and ``body`` are the content of the response, ``bodies`` holds
    other bodies by the target of the request, ``event_gap_s`` is
    the time between the events of a stream, ``work_s`` the time of a slow
    response. ``stage`` is the serving stage of
    an engine, ``None`` for a plain service; ``memory`` is the number of tokens
    for which an engine has free memory. ``extra_headers`` are added to all
    responses. ``closed_early`` is set when a
    connection fails or times out before its response is sent.
    """

    def __init__(self, stage: str | None = None, listen: str = "127.0.0.1:0"):
        host, _, port = listen.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.stage = stage
        self.mode = "whole"
        self.status = 200
        self.body = b"the answer"
        self.bodies: dict[str, bytes] = {}
        self.event_gap_s = 0.01
        self.work_s = 1.0
        self.memory = 100_000
        self.orders = 0
        self.extra_headers: tuple[tuple[str, str], ...] = ()
        self.arrivals: list[Arrival] = []
        self.closed_early = threading.Event()
        self._handles: set[str] = set()
        self._holds: dict[str, int] = {}
        self._name_numbers = itertools.count(1)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, service: str, zone: str, state: str = "ready") -> Any:
        """Returns the object with which the replica registers itself."""
        found = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "slots": 16,
            "state": state,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        if self.stage is not None:
            found["stage"] = self.stage
        return found

    def runs(self) -> list[Arrival]:
        """Returns the received requests of callers, without control calls."""
        return [
            each
            for each in self.arrivals
            if not each.target.startswith("/api/")
        ]

    def close(self) -> None:
        """Stops accepting connections; open ones are still served."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(READ_TIMEOUT_S)
        with sock:
            try:
                arrival = _read_request(sock.makefile("rb"))
                if arrival is None:
                    return
                self.arrivals.append(arrival)
                self._note_arrival(arrival)
                if arrival.target.startswith("/api/"):
                    sock.sendall(self._add_headers(self._control(arrival)))
                elif arrival.headers.get("hemlockreel-serving-stage"):
                    sock.sendall(self._add_headers(self._prefill()))
                else:
                    self._answer(sock, arrival)
            except ConnectionResetError:
                self.closed_early.set()
                # The system then sends a reset when the socket is closed.
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            except OSError:
                self.closed_early.set()

    def _note_arrival(self, arrival: Arrival) -> None:
        """Does nothing; a subclass may record the request."""

    # Control calls

    def _control(self, arrival: Arrival) -> bytes:
        if arrival.target == "/api/hold-take":
            return self._reserve_memory(json.loads(arrival.body)["tokens"])
        if arrival.target == "/api/report":
            return encode_json(
                200, {"busy": False, "sequence": self.orders, "queued": 0}
            )
        if arrival.target == "/api/order":
            self.orders += 1
            return encode_json(202, {})
        name = arrival.target.rpartition("/")[2]
        self._handles.discard(name)
        self.memory += self._holds.pop(name, 0)
        return encode_json(200, {})

    def _reserve_memory(self, tokens: int) -> bytes:
        if tokens > self.memory:
            return encode_json(503, {"error": "no memory"})
        name = f"hold-{next(self._name_numbers)}"
        self.memory -= tokens
        self._holds[name] = tokens
        return encode_json(200, {"hold": name})

    def _prefill(self) -> bytes:
        if self.mode == "not_run":
            return encode_json(503, {}, (("Hemlockreel-Not-Executed", "1"),))
        port = self.address.rpartition(":")[2]
        name = f"handle-{port}-{next(self._name_numbers)}"
        self._handles.add(name)
        return encode_json(
            200, {"kv_handle": name, "tokens": 1460, "version": 1}
        )

    # Responses to callers' requests

    # ``_answer`` looks up the method of a mode by its name. Each yields the
    # bytes to send; the connection is closed after them.

    def _answer(self, sock: socket.socket, arrival: Arrival) -> None:
        respond = getattr(self, f"_answer_{self.mode}")
        for data in respond(arrival):
            sock.sendall(self._add_headers(data))

    def _add_headers(self, data: bytes) -> bytes:
        """Adds the extra headers to ``data`` if a response begins there."""
        if not self.extra_headers or not data.startswith(b"HTTP/1.1 "):
            return data
        line, _, rest = data.partition(b"\r\n")
        lines = [f"{name}: {value}" for name, value in self.extra_headers]
        return b"\r\n".join([line, *(e.encode() for e in lines), rest])

    def _head(
        self, arrival: Arrival, *lines: str, signed: bool = True
    ) -> bytes:
        reason = http.client.responses[self.status]
        found = [f"HTTP/1.1 {self.status} {reason}"]
        request_id = arrival.headers.get("hemlockreel-request-id", "")
        found.append(f"Hemlockreel-Request-Id: {request_id}")
        if signed:
            found.append(f"{SIGNED}: {SIGNATURE}")
        return "\r\n".join([*found, *lines, "", ""]).encode()

    def _answer_whole(self, arrival: Arrival) -> Iterable[bytes]:
        body = self.bodies.get(arrival.target, self.body)
        length = f"Content-Length: {len(body)}"
        yield self._head(arrival, length) + body

    def _answer_slow(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends the correct response after some work."""
        time.sleep(self.work_s)
        yield from self._answer_whole(arrival)

    def _answer_chunked(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends the body in chunks of four bytes."""
        yield self._head(arrival, "Transfer-Encoding: chunked")
        for start in range(0, len(self.body), 4):
            yield encode_chunk(self.body[start : start + 4])
        yield b"0\r\n\r\n"

    def _answer_unframed(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends neither a length nor chunks: the body ends at the close."""
        yield self._head(arrival, "Connection: close") + self.body

    def _answer_extra(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends a second response that was not requested."""
        whole = b"".join(self._answer_whole(arrival))
        yield whole + whole

    def _answer_torn(self, arrival: Arrival) -> Iterable[bytes]:
        """Omits the last three bytes of a body with a length."""
        length = f"Content-Length: {len(self.body)}"
        yield self._head(arrival, length) + self.body[:-3]

    def _answer_torn_head(self, arrival: Arrival) -> Iterable[bytes]:
        """Ends in the head, after its signature and before its framing."""
        yield self._head(arrival)[: -len(b"\r\n")]

    def _answer_interim(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends two interim heads before the response."""
        yield b"HTTP/1.1 100 Continue\r\n\r\n"
        yield b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        yield from self._answer_whole(arrival)

    def _answer_torn_chunk(self, arrival: Arrival) -> Iterable[bytes]:
        """Ends within a chunk of the body."""
        yield self._head(arrival, "Transfer-Encoding: chunked")
        yield encode_chunk(self.body)[:-4]

    def _answer_wrong_id(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends the id of another request."""
        other = arrival._replace(headers={"hemlockreel-request-id": "other"})
        return self._answer_whole(other)

    def _answer_unsigned(self, arrival: Arrival) -> Iterable[bytes]:
        length = f"Content-Length: {len(self.body)}"
        yield self._head(arrival, length, signed=False) + self.body

    def _answer_encoded(self, arrival: Arrival) -> Iterable[bytes]:
        """Declares an encoding that the body does not have."""
        length = f"Content-Length: {len(self.body)}"
        yield self._head(arrival, length, "Content-Encoding: br") + self.body

    def _answer_not_run(self, arrival: Arrival) -> Iterable[bytes]:
        """States that the request was not executed."""
        yield encode_json(503, {}, (("Hemlockreel-Not-Executed", "1"),))

    def _answer_paused(self, arrival: Arrival) -> Iterable[bytes]:
        """Turns the request away and asks its sender for a pause."""
        headers = (("Hemlockreel-Not-Executed", "1"), ("Retry-After", "1"))
        yield encode_json(503, {}, headers)

    def _answer_endless(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends bytes that are no head until the caller closes."""
        while True:
            yield b"x" * 4096

    def _answer_endless_body(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends a body until the caller closes."""
        yield self._head(arrival)
        yield from self._answer_endless(arrival)

    def _answer_endless_chunks(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends chunks of one byte until the caller closes."""
        yield self._head(arrival, "Transfer-Encoding: chunked")
        while True:
            yield b"1\r\nx\r\n" * 4096

    def _answer_endless_trailers(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends trailers until the caller closes."""
        yield self._head(arrival, "Transfer-Encoding: chunked") + b"0\r\n"
        while True:
            yield b"X-A: 1\r\n" * 4096

    def _answer_endless_event(self, arrival: Arrival) -> Iterable[bytes]:
        """Begins a stream, then sends an event until the caller closes."""
        yield from self._stream_events(arrival, 1)
        while True:
            yield encode_chunk(b"x" * 4096)

    def _answer_dribble(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends a byte of a head now and then until the caller closes."""
        yield b"HTTP/1.1 200 OK\r\nX-A: "
        while True:
            time.sleep(0.05)
            yield b"x"

    def _answer_misdirected(self, arrival: Arrival) -> Iterable[bytes]:
        """States that another instance has this address."""
        yield encode_json(421, {}, (("Hemlockreel-Instance-Id", "i-other"),))

    def _answer_no_bytes(self, arrival: Arrival) -> Iterable[bytes]:
        return ()

    def _answer_garbage(self, arrival: Arrival) -> Iterable[bytes]:
        yield b"\x00\x01 no answer at all\r\n\r\n"

    def _answer_silent(self, arrival: Arrival) -> Iterable[bytes]:
        """Keeps the connection open for a while without a response."""
        time.sleep(SILENCE_S)
        return ()

    def _answer_stream(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends server-sent events, after ``Last-Event-ID`` if given."""
        yield from self._stream_events(arrival, STREAM_EVENTS)
        yield b"0\r\n\r\n"

    def _answer_cut_stream(self, arrival: Arrival) -> Iterable[bytes]:
        """Ends within the fourth event of a stream."""
        yield from self._stream_events(arrival, STREAM_EVENTS - 2)
        yield encode_chunk(b"id: 4\nda")

    def _answer_stalled_stream(self, arrival: Arrival) -> Iterable[bytes]:
        """Sends a byte of the second event now and then, without end."""
        yield from self._stream_events(arrival, 1)
        while True:
            time.sleep(0.05)
            yield encode_chunk(b":")

    def _answer_reset(self, arrival: Arrival) -> Iterable[bytes]:
        """Resets the connection within a body without a length."""
        yield self._head(arrival, "Connection: close") + self.body[:-3]
        raise ConnectionResetError

    def _stream_events(self, arrival: Arrival, last: int) -> Iterable[bytes]:
        yield self._head(
            arrival,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        first = int(arrival.headers.get("last-event-id") or 0) + 1
        for number in range(first, last + 1):
            time.sleep(self.event_gap_s)
            yield encode_chunk(f"id: {number}\ndata: {number}\n\n".encode())


def _read_request(file: io.BufferedReader) -> Arrival | None:
    """Returns the next request, ``None`` at the end of the connection."""
    line = file.readline().decode("latin-1")
    if not line.strip():
        return None
    method, target, _ = line.split(" ", 2)
    message = http.client.parse_headers(file)
    headers = {name.lower(): value for name, value in message.items()}
    size = int(headers.get("content-length") or 0)
    return Arrival(method, target, headers, file.read(size))


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a body in chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_json(
    status: int, body: Any, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Returns a complete response with ``body`` as JSON."""
    data = json.dumps(body).encode()
    lines = [
        f"HTTP/1.1 {status} {http.client.responses[status]}",
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
        *(f"{name}: {value}" for name, value in headers),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + data
