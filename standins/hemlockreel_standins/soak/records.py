"""The records of a soak. All times are of ``time.monotonic``."""

import re
import threading
from typing import Any
from typing import NamedTuple

EVENTS_PER_STREAM = 8
EVENT = re.compile(rb"id: (\d+)\ndata: [^/\n]+/\d+/(\w+)\n\n")


class Sent(NamedTuple):
    """A request that a caller sent, and its response.

    ``status`` is 0 if there was no response. ``whole`` tells whether the
    response ended as its framing requires. ``left_at`` is when the caller
    abandoned the request. ``part`` is what crashes replicas in it, a part of
    its prompt or its own path and query; empty if it is sound. An attempt
    that ``resumes`` the stream of an earlier one goes on ``after`` an event.
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
    part: str = ""
    resumes: str = ""
    after: int = 0


class Run(NamedTuple):
    """A request that a replica began to run.

    ``ended_at`` is when the run stopped, and ``finished`` whether it was
    complete.
    """

    id: str
    method: str
    target: str
    replica: str
    began_at: float
    ended_at: float
    finished: bool


class Lapse(NamedTuple):
    """A reservation or prefill result that expired unused at a replica.

    ``what`` is "hold" or "handle".
    """

    replica: str
    what: str
    taken_at: float
    at: float


class PartArrival(NamedTuple):
    """A request whose prompt has a crashing part reached a replica."""

    id: str
    part: str
    replica: str
    at: float


class PartCrash(NamedTuple):
    """A replica crashed as it began to write an answer on ``part``."""

    part: str
    replica: str
    at: float


class Limit(NamedTuple):
    """A replica named a limit of ``rate`` requests a second meanwhile."""

    replica: str
    rate: float
    began_at: float
    ended_at: float


class Span(NamedTuple):
    """A fault or operation applied to ``target``, and its duration."""

    kind: str
    target: str
    began_at: float
    ended_at: float


class CutOff(NamedTuple):
    """The hosts ``hosts`` reached no replica by themselves meanwhile."""

    hosts: tuple[str, ...]
    began_at: float
    ended_at: float


class Log:
    """The records of one run, by type; safe to add to from many threads."""

    def __init__(self):
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.lapses: list[Lapse] = []
        self.spans: list[Span] = []
        self.limits: list[Limit] = []
        self.part_arrivals: list[PartArrival] = []
        self.part_crashes: list[PartCrash] = []
        self.cut_offs: list[CutOff] = []
        self._lock = threading.Lock()

    def add(self, record: Any) -> None:
        """Appends a record to the list of its type."""
        lists = {
            Sent: self.sent,
            Run: self.runs,
            Lapse: self.lapses,
            Span: self.spans,
            Limit: self.limits,
            PartArrival: self.part_arrivals,
            PartCrash: self.part_crashes,
            CutOff: self.cut_offs,
        }
        with self._lock:
            lists[type(record)].append(record)


def is_request(part: str) -> bool:
    """Returns whether ``part`` is a whole request, given by its path."""
    return part.startswith("/")


def response_body(id: str) -> bytes:
    """Returns the response body of a plain service to the request ``id``."""
    return f"answer to {id}\n".encode() * 20


def stream_name(target: str) -> str:
    """Returns what all attempts at one stream have in common."""
    return target.partition("?")[0].rpartition("/")[2]


def stream_events(
    name: str, first: int = 1, software: str = "v1"
) -> list[bytes]:
    """Returns the events of a stream, as ``software`` encodes them."""
    return [
        f"id: {number}\ndata: {name}/{number}/{software}\n\n".encode()
        for number in range(first, EVENTS_PER_STREAM + 1)
    ]


def parse_events(body: bytes) -> list[tuple[int, str]]:
    """Returns the numbers of the whole events, and who wrote them."""
    return [
        (int(number), software.decode())
        for number, software in EVENT.findall(body)
    ]
