"""Hop-by-hop headers, which apply to one connection and aren't forwarded."""

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
    """Returns a caller's headers for a backend server.

    Headers in ``dropped`` and those that the Connection header names are left
    out. The urllib3 defaults are disabled, so that nothing is added that the
    caller did not send.
    """
    given = tuple(given)
    excluded = {*dropped, *named_in_connection(given)}
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
        if name.lower() not in excluded:
            headers.add(name, value)
    return headers


def named_in_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Returns the header names listed in Connection headers, in lower case."""
    return {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
