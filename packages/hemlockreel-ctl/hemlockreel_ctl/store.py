"""The client of the platform's object API.

Reads are idempotent and retried a few times. A write is sent once, as it may
have taken effect even if its response was lost; :mod:`.write_outcomes` then
reads the object back.
"""

from collections.abc import Iterable
import json
from typing import Any
from urllib import parse

import urllib3

from . import results

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0
WATCH_MARGIN_S = 2.0  # the store may respond this long after a watch's timeout
READ_ATTEMPTS = 4
BACKOFF_S = 0.2
RETRY_AFTER_MAX_S = 5
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503

# Errors that occur before the first byte of the request is sent, so the store
# can't have executed it.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


class Client:
    """Calls the store at ``address``, which is ``IP:PORT`` or a URL.

    ``read_timeout_s`` is the timeout of a response.
    """

    def __init__(self, address: str, read_timeout_s: float = READ_TIMEOUT_S):
        self._base = address if "://" in address else f"http://{address}"
        self._pool = urllib3.PoolManager(retries=False)
        self._read_timeout_s = read_timeout_s

    @property
    def base(self) -> str:
        """The base URL of all calls."""
        return self._base

    def list(self, kinds: Iterable[str]) -> results.ReadResult:
        """Reads all objects of ``kinds`` as of one revision."""
        query = parse.urlencode({"kinds": ",".join(kinds)}, safe=",")
        response = self._read(f"/v1/objects?{query}")
        if not isinstance(response, urllib3.BaseHTTPResponse):
            return response
        body = response.json()
        items = tuple(_decode_object(item) for item in body["items"])
        return results.Listing(body["revision"], items)

    def get(self, kind: str, name: str) -> results.ReadResult:
        """Reads one object."""
        response = self._read(_object_path(kind, name))
        if not isinstance(response, urllib3.BaseHTTPResponse):
            return response
        return _decode_object(response.json()["object"])

    def watch(
        self, kinds: Iterable[str], after: int, timeout_s: float
    ) -> results.WatchResult:
        """Waits for changes after the revision ``after``.

        The store responds within ``timeout_s``, also without any change. A
        connection that is silent for longer by a margin is closed.
        """
        fields = {
            "kinds": ",".join(kinds),
            "after": after,
            "timeout": f"{timeout_s:g}",
        }
        query = parse.urlencode(fields, safe=",")
        response = self._send(
            "GET",
            f"/v1/watch?{query}",
            read_timeout_s=timeout_s + WATCH_MARGIN_S,
        )
        if not isinstance(response, urllib3.BaseHTTPResponse):
            return response
        if response.status == 410:
            return results.HistoryExpired()
        if response.status != 200:
            return _to_error_result(response)
        body = response.json()
        events = tuple(
            results.ChangeEvent(event["type"], _decode_object(event["object"]))
            for event in body["events"]
        )
        return results.Changes(body["revision"], events)

    def put(
        self, kind: str, name: str, value: Any, expected: int
    ) -> results.WriteResult:
        """Writes ``value`` if the object has the version ``expected``.

        An ``expected`` version of 0 means that the object must not exist.
        """
        body = json.dumps(value).encode()
        headers = {"Content-Type": "application/json"}
        if expected == 0:
            headers["If-None-Match"] = "*"
        else:
            headers["If-Match"] = str(expected)
        response = self._send("PUT", _object_path(kind, name), headers, body)
        return _to_write_result(response)

    def delete(
        self, kind: str, name: str, expected: int
    ) -> results.WriteResult:
        """Deletes the object if it has the version ``expected``."""
        headers = {"If-Match": str(expected)}
        response = self._send("DELETE", _object_path(kind, name), headers)
        return _to_write_result(response)

    def _read(self, path: str) -> Any:
        retries = urllib3.Retry(
            total=READ_ATTEMPTS - 1,
            redirect=False,
            backoff_factor=BACKOFF_S,
            retry_after_max=RETRY_AFTER_MAX_S,
            status_forcelist=(TOO_MANY_REQUESTS, UNAVAILABLE),
            raise_on_status=False,
        )
        response = self._send("GET", path, retries=retries)
        if not isinstance(response, urllib3.BaseHTTPResponse):
            return response
        if response.status == 404:
            return results.NotFound()
        if response.status != 200:
            return _to_error_result(response)
        return response

    def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        retries: urllib3.Retry | bool = False,
        read_timeout_s: float | None = None,
    ) -> Any:
        """Returns the response, or the result for a call without one."""
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S,
            read=read_timeout_s or self._read_timeout_s,
        )
        try:
            response = self._pool.request(
                method,
                self._base + path,
                headers=headers,
                body=body,
                retries=retries,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            return self._to_failure(error)
        if not _is_framed(response):
            # The connection may have ended before the end of the response.
            return results.NoResponse(f"{self._base} answered in part")
        return response

    def _to_failure(
        self, error: urllib3.exceptions.HTTPError
    ) -> results.Unavailable | results.NoResponse:
        if isinstance(error, urllib3.exceptions.MaxRetryError):
            error = error.reason or error
        if isinstance(error, _NOT_SENT_ERRORS):
            return results.Unavailable(f"no connection to {self._base}")
        if isinstance(error, urllib3.exceptions.ReadTimeoutError):
            return results.NoResponse(f"no answer in time from {self._base}")
        return results.NoResponse(f"{self._base} closed the connection")


def _is_framed(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a response states its end, as the store always does."""
    length = response.headers.get("Content-Length", "")
    coding = response.headers.get("Transfer-Encoding", "")
    return length.isdecimal() or coding == "chunked"


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{kind}/{parse.quote(name, safe='')}"


def _decode_object(item: dict[str, Any]) -> results.StoredObject:
    return results.StoredObject(
        item["kind"], item["name"], item["version"], item["value"]
    )


def _to_write_result(response: Any) -> results.WriteResult:
    if not isinstance(response, urllib3.BaseHTTPResponse):
        return response
    if response.status in (200, 201):
        body = response.json()
        item = body.get("object")
        written = _decode_object(item) if item else None
        return results.Written(body["revision"], written)
    if response.status == 404:
        return results.NotFound()
    if response.status == 412:
        item = response.json().get("object")
        return results.Conflict(_decode_object(item) if item else None)
    return _to_error_result(response)


def _to_error_result(
    response: urllib3.BaseHTTPResponse,
) -> results.Rejected | results.Unavailable:
    if response.status in (TOO_MANY_REQUESTS, UNAVAILABLE):
        retry_after = response.headers.get("Retry-After", "")
        retry_after_s = (
            float(retry_after)
            if retry_after.replace(".", "", 1).isdigit()
            else None
        )
        return results.Unavailable(
            f"it answered {response.status}", retry_after_s
        )
    text = response.data.decode(errors="replace").strip()
    return results.Rejected(response.status, text)
