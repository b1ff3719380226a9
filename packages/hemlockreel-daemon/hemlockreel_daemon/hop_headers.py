"""Headers that belong to one connection and are not passed on."""

from collections.abc import Iterable

import urllib3
from urllib3 import util

NAMES = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def select_forwarded(
    given: Iterable[tuple[str, str]], dropped: Iterable[str]
) -> urllib3.HTTPHeaderDict:
    """Returns headers for a backend server, without those in ``dropped``.

    Nothing is added that the caller did not send, neither by the library.
    """
    given = tuple(given)
    without = {*dropped, *named_in_connection(given)}
    headers = urllib3.HTTPHeaderDict(
        {
            "User-Agent": util.SKIP_HEADER,
            "Accept-Encoding": util.SKIP_HEADER,
        }
    )
    for name in ("User-Agent", "Accept-Encoding"):
        if any(name.lower() == each.lower() for each, _ in given):
            del headers[name]
    for name, value in given:
        if name.lower() not in without:
            headers.add(name, value)
    return headers


def named_in_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Returns the headers that a Connection header says are its own."""
    return {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
