"""A client that tells complete responses from truncated ones."""

import json
import socket
from typing import Any
from typing import NamedTuple

import urllib3

from . import engine

TIMEOUT_S = 30.0
HTTP = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)


class StreamResult(NamedTuple):
    """The result of a streamed completion.

    ``done`` is true when the stream ended with its end marker, ``clean`` when
    the HTTP body was complete. ``error`` is the refusal that was received.
    """

    status: int
    request_id: str
    text: str
    done: bool
    clean: bool
    error: dict[str, Any] | None = None

    def whole(self, tokens: int) -> bool:
        """Returns whether this is the complete, correct text of ``tokens``."""
        expected = engine.completion_text(self.request_id, tokens)
        return self.done and self.clean and self.text == expected


class Stream:
    """A streamed completion that is being read."""

    def __init__(self, address: str, asked: dict[str, Any]):
        self._response = HTTP.request(
            "POST",
            f"http://{address}/v1/completions",
            body=json.dumps({**asked, "stream": True}).encode(),
            headers={"Content-Type": "application/json"},
            preload_content=False,
        )
        self.status = self._response.status
        self.request_id = self._response.headers.get("X-Request-Id", "")
        self._chunks = self._response.stream(None, decode_content=False)
        self._text: list[str] = []
        self._done = False
        self._error: dict[str, Any] | None = None

    def read_tokens(self, count: int) -> None:
        """Reads until ``count`` text chunks have been received."""
        while len(self._text) < count:
            self._take(next(self._chunks))

    def read_all(self) -> StreamResult:
        """Reads to the end of the body."""
        clean = True
        try:
            for chunk in self._chunks:
                self._take(chunk)
        except (urllib3.exceptions.HTTPError, OSError):
            clean = False
        finally:
            self.close()
        return StreamResult(
            self.status,
            self.request_id,
            "".join(self._text),
            self._done,
            clean,
            self._error,
        )

    def close(self) -> None:
        """Closes the connection without reading the rest."""
        self._response.close()

    def _take(self, chunk: bytes) -> None:
        """Parses the events of one chunk; a chunk never splits an event."""
        if self.status != 200:
            self._error = json.loads(chunk)["error"]
            return
        for event in chunk.decode().split("\n\n"):
            data = event.removeprefix("data: ")
            if data == "[DONE]":
                self._done = True
            elif data:
                self._take_value(json.loads(data))

    def _take_value(self, value: dict[str, Any]) -> None:
        if "error" in value:
            self._error = value["error"]
        for choice in value.get("choices", ()):
            if choice["text"]:
                self._text.append(choice["text"])


def complete(address: str, asked: dict[str, Any]) -> tuple[int, Any]:
    """Requests an unstreamed completion; returns the status and the body."""
    response = HTTP.request(
        "POST",
        f"http://{address}/v1/completions",
        body=json.dumps(asked).encode(),
        headers={"Content-Type": "application/json"},
    )
    return response.status, response.json()


def send(address: str, asked: dict[str, Any]) -> socket.socket:
    """Sends a completion request and returns its open connection."""
    body = json.dumps(asked).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\n"
        f"Host: {address}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return send_raw(address, head.encode() + body)


def send_raw(address: str, data: bytes) -> socket.socket:
    """Sends ``data`` unchanged and returns the open connection."""
    host, _, port = address.rpartition(":")
    found = socket.create_connection((host, int(port)), TIMEOUT_S)
    found.sendall(data)
    return found


def exchange_raw(address: str, data: bytes, half_close: bool = False) -> bytes:
    """Sends ``data``, then returns all bytes received until the end.

    With ``half_close`` the sending side is shut down before reading.
    """
    with send_raw(address, data) as found:
        if half_close:
            found.shutdown(socket.SHUT_WR)
        parts = []
        while part := found.recv(65536):
            parts.append(part)
    return b"".join(parts)
