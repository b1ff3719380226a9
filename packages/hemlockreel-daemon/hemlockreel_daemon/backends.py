"""The interfaces through which request handlers call backend servers.

An implementation translates between the types below and one wire protocol. It
makes no decisions, such as on retries, and keeps no state of a request.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple
from typing import Protocol

from hemlockreel import outcomes

from . import http_calls
from . import mailbox


class PrefillRequest(NamedTuple):
    """The prefill of a prompt for one attempt of a request."""

    request_id: str
    attempt: int
    text: str
    priority: int


class Prefilled(NamedTuple):
    """A completed prefill; the engine keeps its KV cache under ``handle``."""

    handle: str
    prompt_tokens: int
    cached_tokens: int


class PrefillFailure(NamedTuple):
    """A prefill that failed.

    ``sent`` is true if any byte may have reached the engine, ``mismatched`` if
    the response was for another request.
    """

    sent: bool
    detail: str
    mismatched: bool = False


class DecodeRequest(NamedTuple):
    """The decode of a prompt that was prefilled at the engine ``source``.

    It starts with output token number ``offset``, counted from 0.
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
    """One output token; ``offset`` counts from 0."""

    request_id: str
    attempt: int
    offset: int
    text: str
    done: bool


class StreamFailure(NamedTuple):
    """An error that broke a token stream.

    A stream may also end early without an error.
    """

    detail: str


class Cause(enum.Enum):
    """Why a decode did not open a token stream."""

    UNREACHED = "unreached"  # no byte was sent
    LOST = "lost"  # no response; the decode may run
    EVICTED = "evicted"  # the engine no longer has the prefill result
    MEMORY_FULL = "memory_full"
    REFUSED = "refused"
    FAILED = "failed"


class DecodeFailure(NamedTuple):
    """A decode that did not open a token stream."""

    cause: Cause
    detail: str


class Engines(Protocol):
    """The data path of model engines."""

    def prefill(
        self,
        address: str,
        request: PrefillRequest,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox,
    ) -> Prefilled | PrefillFailure:
        """Prefills a prompt."""
        ...

    def decode(
        self,
        address: str,
        request: DecodeRequest,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox,
    ) -> http_calls.OpenResponse | DecodeFailure:
        """Starts or resumes a decode."""
        ...

    def tokens(
        self,
        opened: http_calls.OpenResponse,
        idle_timeout_s: float,
        box: mailbox.Mailbox,
    ) -> Iterator[Token | StreamFailure]:
        """Yields the tokens of a stream, then the failure that broke it.

        ``idle_timeout_s`` is the longest wait for the next bytes.
        """
        ...

    def cancel(self, address: str, request_id: str, timeout_s: float) -> bool:
        """Cancels a request; true if the engine confirms it holds nothing."""
        ...


class Call(NamedTuple):
    """One attempt of a plain call; ``target`` is path and query."""

    request_id: str
    attempt: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallFailure(NamedTuple):
    """An attempt of a plain call without a valid response.

    ``sent`` is true if any byte may have reached the server, ``timed_out`` if
    the timeout passed, ``mismatched`` if the response was for another request.
    """

    sent: bool
    detail: str
    timed_out: bool = False
    mismatched: bool = False


class Services(Protocol):
    """Plain services: backend servers that are not model engines."""

    def call(
        self,
        address: str,
        call: Call,
        traceparent: str,
        timeout_s: float,
        box: mailbox.Mailbox | None,
    ) -> outcomes.Responded | CallFailure:
        """Sends a call once and returns the complete response.

        Without a ``box`` the call can't be interrupted before its timeout.
        """
        ...
