"""What carrying completions and plain calls needs of backend servers.

An edge decodes a protocol into the types below and encodes them again. It
decides nothing and keeps no state of a request.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple
from typing import Protocol

from hemlockreel import outcomes

from . import http_calls
from . import mailbox


class PrefillRequest(NamedTuple):
    """A prompt that one attempt of a request has read."""

    request_id: str
    attempt: int
    text: str
    priority: int


class Prefilled(NamedTuple):
    """A prompt that an engine has read and keeps under ``handle``."""

    handle: str
    prompt_tokens: int
    cached_tokens: int


class PrefillFailure(NamedTuple):
    """A prompt that was not read.

    ``sent`` tells whether any byte may have reached the engine, ``mismatched``
    that it answered another request.
    """

    sent: bool
    detail: str
    mismatched: bool = False


class DecodeRequest(NamedTuple):
    """The decode of a prompt that was read at ``source``.

    It begins with the token number ``offset`` of the answer.
    """

    request_id: str
    attempt: int
    handle: str
    source: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    offset: int = 0


class Token(NamedTuple):
    """One token of an answer; ``offset`` counts from 0."""

    request_id: str
    attempt: int
    offset: int
    text: str
    done: bool


class StreamFailure(NamedTuple):
    """The end of a stream in an error; a stream may also just end early."""

    detail: str


class Cause(enum.Enum):
    """Why a decode gave no stream of tokens."""

    UNREACHED = "unreached"  # no byte was sent
    LOST = "lost"  # it may run, its answer did not come
    EVICTED = "evicted"  # the engine does not have the prompt any more
    MEMORY_FULL = "memory_full"
    REFUSED = "refused"
    FAILED = "failed"


class DecodeFailure(NamedTuple):
    """A decode without a stream of tokens."""

    cause: Cause
    detail: str


class Engines(Protocol):
    """Engines of models."""

    def prefill(
        self,
        address: str,
        prompt: PrefillRequest,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox,
    ) -> Prefilled | PrefillFailure:
        """Has a prompt read."""
        ...

    def decode(
        self,
        address: str,
        request: DecodeRequest,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox,
    ) -> http_calls.OpenResponse | DecodeFailure:
        """Begins a stream of tokens, or goes on with it."""
        ...

    def tokens(
        self,
        opened: http_calls.OpenResponse,
        idle_timeout_s: float,
        box: mailbox.Mailbox,
    ) -> Iterator[Token | StreamFailure]:
        """Yields the tokens of a stream, and why it ended early.

        ``idle_timeout_s`` is the longest wait for the next bytes.
        """
        ...

    def cancel(self, address: str, request_id: str, timeout_s: float) -> bool:
        """Cancels a request; true if the engine holds nothing of it."""
        ...


class Call(NamedTuple):
    """One sending of a plain call; ``target`` is path and query."""

    request_id: str
    attempt: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallFailure(NamedTuple):
    """A sending without an answer of its own.

    ``sent`` tells whether any byte may have arrived, ``silent`` that the time
    passed without an answer, ``mismatched`` that another request was answered.
    """

    sent: bool
    detail: str
    timed_out: bool = False
    mismatched: bool = False


class Services(Protocol):
    """Plain services."""

    def call(
        self,
        address: str,
        call: Call,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox | None,
    ) -> outcomes.Answered | CallFailure:
        """Sends a call once and returns its whole answer.

        Without a ``box`` nothing ends the call before its time.
        """
        ...
