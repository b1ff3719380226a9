"""Responses that end where their own framing says, and nowhere else.

The HTTP library takes the end of a connection for the end of whatever it
reads: of a line, a head, or the trailers after the last chunk. A response that
its server broke off there looks complete, and one that was broken off within
its head even gets another framing. All reads of responses go through this
module, so that the end of a connection is an end only where the framing says
that the body lasts until then.

Nor is it the end of a response that began before its whole request was
written: a server that breaks off doesn't read on, and may look like one that
ends its response.
"""

from http import client
import io
import re
from typing import Any

from urllib3.util import response as parsed_responses

from . import bounded_sockets

_LENGTH = re.compile(r"[0-9]{1,18}")
_STATUS_LINE = re.compile(
    rb"(HTTP/[0-9.]{1,8})[ \t]+([1-5][0-9]{2})(?:[ \t]+(.*))?\r?\n", re.DOTALL
)
_MAX_LINE_BYTES = 64 * 1024
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?\r?\n", re.DOTALL)

# By which sizes of chunks and trailers may exceed the body. Parsing a line
# costs much more than copying its bytes, and other requests wait meanwhile.
MAX_EXTRA_BYTES = 64 * 1024

HEAD, CHUNKS, TRAILERS = "head", "chunks", "trailers"


class BrokenOff(client.HTTPException):
    """The connection ended within a response."""


class Malformed(client.HTTPException):
    """What was received is no response, or contradicts itself."""


class _Lines(io.BufferedReader):
    """Reads lines that are complete, of the ``part`` of a response.

    It is the only reader of lines of a response: of its head, of the sizes of
    its chunks and of the trailers. ``head_bytes`` are those of all heads.
    """

    part = HEAD
    head_bytes = 0
    _spare_bytes = MAX_EXTRA_BYTES

    def readline(self, size: int | None = -1) -> bytes:
        """Returns the next line, or the first ``size`` bytes of it.

        Raises :class:`BrokenOff` at the end of the connection.
        """
        size = -1 if size is None else size
        line = super().readline(size)
        if not line.endswith(b"\n") and not 0 <= size <= len(line):
            raise BrokenOff(f"the connection ended within the {self.part}")
        if self.part == HEAD:
            self.head_bytes += len(line)
        else:
            self._check_chunk_line(line)
        return line

    def _check_chunk_line(self, line: bytes) -> None:
        size = 0
        if self.part == CHUNKS:
            found = _CHUNK_LINE.fullmatch(line)
            if found is None:
                raise Malformed("a chunk begins without its size")
            size = int(found[1], 16)
            self.part = CHUNKS if size else TRAILERS
        self._spare_bytes += size - len(line)
        if self._spare_bytes < 0:
            raise Malformed("the framing of the chunks outgrows the body")


class Response(client.HTTPResponse):
    """A response whose framing is complete and not contradictory."""

    def __init__(
        self,
        sock: bounded_sockets.BoundedSocket,
        *arguments: Any,
        **named: Any,
    ):
        super().__init__(sock, *arguments, **named)
        self._sock = sock
        self._is_early = False
        self._lines = _Lines(self.fp.detach())
        self.fp = self._lines

    def begin(self) -> None:
        """Reads the head of the final response, after any interim ones."""
        super().begin()
        while self.status < client.OK:
            if self.status == client.SWITCHING_PROTOCOLS:
                raise Malformed("the protocol was switched unasked")
            self.headers = self.msg = None
            super().begin()
        parsed_responses.assert_header_parsing(self.headers)
        check_framing(self.status, self.headers)
        if self.chunked:
            self._lines.part = CHUNKS
        elif self.length is None and self._is_early:
            self._sock.refuse_end()

    def _read_status(self) -> tuple[str, int, str]:
        """Returns version, status and reason from the first line of a head.

        The library takes statuses of any three digits, and whatever else
        Python reads as such a number.
        """
        begins_at = self._lines.head_bytes
        line = self.fp.readline(_MAX_LINE_BYTES)
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise Malformed(f"{line[:40]!r} states no status")
        self._is_early = self._sock.is_early(begins_at)
        version, status, reason = (each or b"" for each in found.groups())
        return version.decode(), int(status), reason.decode("latin-1")


def check_framing(status: int, headers: client.HTTPMessage) -> None:
    """Raises :class:`Malformed` if a head doesn't state one framing."""
    lengths = headers.get_all("Content-Length", [])
    codings = headers.get_all("Transfer-Encoding", [])
    if codings and (lengths or codings[0].strip().lower() != "chunked"):
        raise Malformed(f"the framing is {lengths} and {codings}")
    if len(lengths) + len(codings) > 1:
        raise Malformed(f"the framing is stated twice: {lengths}")
    if lengths and not _LENGTH.fullmatch(lengths[0].strip()):
        raise Malformed(f"{lengths[0][:40]!r} is no length")
    has_body = codings or (lengths and int(lengths[0]) > 0)
    if status == client.NO_CONTENT and has_body:
        raise Malformed("a response without content has a body")


def is_framed(response: Any) -> bool:
    """Returns whether a response states the end of its body.

    Otherwise the body lasts until the end of the connection, and one that was
    broken off can't be told from a complete one.
    """
    return (
        response.status == client.NO_CONTENT
        or "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
    )
