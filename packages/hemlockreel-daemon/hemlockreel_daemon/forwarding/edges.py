"""What carrying needs of the protocols around it.

An edge decodes a protocol into the types below and encodes them again. It
decides nothing and keeps no state of a request.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple
from typing import Protocol

from hemlockreel.forwarding import feeding
from hemlockreel.forwarding import instances

from .. import http_calls
from .. import mailbox


class Head(NamedTuple):
    """The head of a caller's request as it came.

    ``target`` is path and query; ``lines`` are the header fields in order.
    """

    method: str
    target: str
    lines: tuple[tuple[str, str], ...]


class Demand(NamedTuple):
    """The size of a request for a model, in tokens.

    ``output`` is the most that may be written, ``expected`` the caller's own
    estimate, or the most where it gave none.
    """

    prompt: int
    output: int
    expected: int


class Ask(NamedTuple):
    """A caller's request, decoded.

    ``headers`` are passed on, ``deadline_s`` is the time that the caller
    waits, ``None`` if it did not say. ``demand`` is set for a model's
    request. ``resume_after`` is the last event that the caller has.
    """

    id: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float | None
    demand: Demand | None
    resume_after: str


class Wrong(NamedTuple):
    """A request that can't be carried; ``status`` is a 4xx."""

    status: int
    message: str


class Options(NamedTuple):
    """How one sending of a request differs from the caller's request.

    ``hold`` names a reservation, ``source`` where the memory of the prompt
    is, ``resume_after`` the event after which a stream goes on. ``head_s`` is
    how long to wait for the head of the answer, ``None`` for as long as the
    replica may work.
    """

    hold: str = ""
    source: str = ""
    resume_after: str = ""
    head_s: float | None = None


class Ran(enum.Enum):
    """What is known of a request that was sent."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Unanswered(NamedTuple):
    """A sending without an answer for the caller.

    ``silent`` tells that time ran out without a byte, ``misplaced`` that the
    replica is not what the list shows: it has another stage, or is another
    run of the process.
    """

    ran: Ran
    detail: str
    silent: bool = False
    misplaced: bool = False


class Begun(NamedTuple):
    """The head of a replica's answer, which belongs to the request.

    ``headers`` are those for the caller. ``whole`` says that the rest of the
    answer is still to come from ``opened``.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    opened: http_calls.OpenResponse


class Prefilled(NamedTuple):
    """The memory of a prompt waits at ``source`` for one decode.

    ``instance`` is the id of the replica that read it.
    """

    handle: str
    source: str
    tokens: int
    instance: str


class Backends(Protocol):
    """The replicas."""

    def send(
        self,
        instance: instances.Instance,
        ask: Ask,
        left_s: float,
        options: Options,
        box: mailbox.Mailbox,
    ) -> Begun | Unanswered:
        """Sends a request and waits for the head of its answer.

        The replica may work for ``left_s``.
        """
        ...

    def prefill(
        self,
        instance: instances.Instance,
        ask: Ask,
        left_s: float,
        box: mailbox.Mailbox,
    ) -> Prefilled | Unanswered:
        """Has a prompt read."""
        ...

    def hold(
        self, instance: instances.Instance, tokens: int, ttl_s: float
    ) -> str | Unanswered:
        """Reserves memory and a slot; returns the name of the hold."""
        ...

    def drop_hold(self, instance: instances.Instance, hold: str) -> None:
        """Frees a reservation that is not used."""
        ...

    def free(self, instance: instances.Instance, handle: str) -> None:
        """Frees the memory of a prompt that is not used."""
        ...


class Callers(Protocol):
    """The wire format of callers."""

    def decode(self, head: Head, body: bytes) -> Ask | Wrong:
        """Returns a caller's request."""
        ...

    def refusal(
        self, ask_id: str, status: int, retry_after_s: float | None
    ) -> tuple[tuple[str, str], ...]:
        """Returns the headers of an answer of our own."""
        ...


class Listing(NamedTuple):
    """All objects of a kind, or what changed; ``at`` is the revision."""

    found: Iterable[object]
    gone: tuple[str, ...]
    at: int


class HistoryGone(NamedTuple):
    """The store does not know any more what has changed since then."""


class NoAnswer(NamedTuple):
    """The store did not answer; ``retry_after_s`` is 0 if it did not say."""

    detail: str
    retry_after_s: float = 0.0


class Store(Protocol):
    """The platform's store, as far as forwarding reads it."""

    def read(self, kind: feeding.Kind) -> Listing | NoAnswer:
        """Returns everything of a kind."""
        ...

    def watch(
        self, kind: feeding.Kind, since: int, wait_s: float
    ) -> Listing | HistoryGone | NoAnswer:
        """Waits for changes after the revision ``since``."""
        ...
