"""What a soak writes down; all times are of the one steady clock."""

import threading
from typing import Any
from typing import NamedTuple

EVENTS_PER_STREAM = 8  # in each stream


class Sent(NamedTuple):
    """One request of a caller and what came back.

    ``status`` is 0 without an answer. ``whole`` tells whether the answer ended
    as its framing says, ``left_at`` when the caller gave the request up.
    """

    id: str
    method: str
    target: str
    host: str
    began_at: float
    ended_at: float
    status: int = 0
    signed: bool = False
    body: bytes = b""
    whole: bool = False
    left_at: float | None = None
    error: str = ""


class Run(NamedTuple):
    """One request that a replica began to work on.

    ``ended_at`` is when it stopped, ``finished`` whether it got to the end.
    """

    id: str
    method: str
    target: str
    replica: str
    began_at: float
    ended_at: float
    finished: bool


class Lapse(NamedTuple):
    """Memory that a replica had to take back by itself."""

    replica: str
    what: str
    taken_at: float
    at: float


class Span(NamedTuple):
    """Something that was done to ``target``, and for how long."""

    kind: str
    target: str
    began_at: float
    ended_at: float


class Log:
    """Lists that many threads append to."""

    def __init__(self):
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.lapses: list[Lapse] = []
        self.spans: list[Span] = []
        self._lock = threading.Lock()

    def add(self, record: Any) -> None:
        """Appends a record to the list of its kind."""
        lists = {
            Sent: self.sent,
            Run: self.runs,
            Lapse: self.lapses,
            Span: self.spans,
        }
        with self._lock:
            lists[type(record)].append(record)


def response_body(id: str) -> bytes:
    """Returns the body that a plain service sends for the request ``id``."""
    return f"answer to {id}\n".encode() * 20


def stream_events(
    id: str, first: int = 1, last: int = EVENTS_PER_STREAM
) -> list[bytes]:
    """Returns the events of the stream for the request ``id``."""
    return [
        f"id: {number}\ndata: {id}/{number}\n\n".encode()
        for number in range(first, last + 1)
    ]
