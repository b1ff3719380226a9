"""A client of hemlockreel that fetches the entry addresses itself."""

from collections.abc import Iterator
import json
import time
from typing import Any
from typing import NamedTuple

import urllib3

TIMEOUT_S = 60.0
DATA = b"data: "
END = b"[DONE]"


class Response(NamedTuple):
    """A response; times are in seconds from the start of the request.

    ``error`` describes a refusal. ``whole`` is true only for a successful
    response that was received to its end.
    """

    status: int
    request_id: str
    hops: dict[str, str]
    text: str
    error: dict[str, Any]
    whole: bool
    token_times: tuple[float, ...]
    duration_s: float

    @property
    def first_token_s(self) -> float:
        """The time to the first token, infinite when there was none."""
        return self.token_times[0] if self.token_times else float("inf")

    @property
    def widest_gap_s(self) -> float:
        """The longest time between two tokens."""
        pairs = zip(self.token_times, self.token_times[1:], strict=False)
        return max((after - before for before, after in pairs), default=0.0)


class Caller:
    """A caller of a deployment, with a one-way network delay ``delay_s``.

    ``known`` is the address of the entry that lists the addresses to use.
    """

    def __init__(self, organisation: str, known: str, delay_s: float = 0.0):
        self._organisation = organisation
        self._known = known
        self._delay_s = delay_s
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._addresses: list[str] = []
        self._fresh_until = 0.0

    def addresses(self) -> list[str]:
        """Returns the addresses to use, cached for their time to live."""
        if time.monotonic() >= self._fresh_until:
            caller = self._organisation
            url = f"http://{self._known}/v1/addresses?caller={caller}"
            found = self._pool.request("GET", url).json()
            self._addresses = found["addresses"]
            self._fresh_until = time.monotonic() + found["ttl_s"]
        return self._addresses

    def complete(
        self, body: dict[str, Any], address: str | None = None
    ) -> Response:
        """Requests a completion, streamed if ``body["stream"]`` is true."""
        started = time.monotonic()
        response = self._post(address, "/v1/completions", body, {})
        if response.status != 200 or not body.get("stream"):
            return _plain(response, started)
        return _read_stream(response, started)

    def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        key: str = "",
    ) -> Response:
        """Makes a plain call, with an idempotency key if there is one."""
        started = time.monotonic()
        headers = {"Idempotency-Key": key} if key else {}
        response = self._post(None, path, body, headers, method)
        return _plain(response, started)

    def _post(
        self,
        address: str | None,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        method: str = "POST",
    ) -> urllib3.BaseHTTPResponse:
        time.sleep(2 * self._delay_s)
        address = address or self.addresses()[0]
        return self._pool.request(
            method,
            f"http://{address}{path}",
            body=None if body is None else json.dumps(body).encode(),
            headers={
                "Content-Type": "application/json",
                "X-Organisation": self._organisation,
                **headers,
            },
            preload_content=False,
        )


def _plain(response: urllib3.BaseHTTPResponse, started: float) -> Response:
    """Reads a response that is not streamed."""
    data = response.read()
    response.release_conn()
    body = json.loads(data) if data else {}
    if not isinstance(body, dict):
        body = {"body": body}
    error = body.get("error", {}) if response.status >= 400 else {}
    choices = body.get("choices") or [{}]
    hops = body.get("hops") or {
        name.removeprefix("X-Hop-").lower(): value
        for name, value in response.headers.items()
        if name.startswith("X-Hop-")
    }
    return Response(
        response.status,
        response.headers.get("X-Request-Id", ""),
        hops,
        choices[0].get("text", data.decode(errors="replace")),
        error,
        response.status < 400,
        (),
        time.monotonic() - started,
    )


def _read_stream(
    response: urllib3.BaseHTTPResponse, started: float
) -> Response:
    """Reads server-sent events until the end marker or a disconnect."""
    hops: dict[str, str] = {}
    text: list[str] = []
    times: list[float] = []
    error: dict[str, Any] = {}
    whole = False
    for data in _events(response):
        if data == END:
            whole = True
            break
        event = json.loads(data)
        hops = event.get("hops", hops)
        error = event.get("error", error)
        for choice in event.get("choices", ()):
            if choice["text"]:
                text.append(choice["text"])
                times.append(time.monotonic() - started)
    if whole:
        response.drain_conn()
        response.release_conn()
    else:
        response.close()
    return Response(
        response.status,
        response.headers.get("X-Request-Id", ""),
        hops,
        "".join(text),
        error,
        whole and not error,
        tuple(times),
        time.monotonic() - started,
    )


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yields the data of each event; stops when the connection breaks."""
    rest = b""
    try:
        for part in response.stream(65536):
            *lines, rest = (rest + part).split(b"\n")
            for line in lines:
                if line.startswith(DATA):
                    yield line.removeprefix(DATA)
    except urllib3.exceptions.HTTPError:
        return
