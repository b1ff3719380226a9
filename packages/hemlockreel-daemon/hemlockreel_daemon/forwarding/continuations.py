"""Checks that the events of a run go on where the caller's stream is.

A stream that broke off goes on at another replica. What that one sends becomes
a part of a response that has begun, in which callers can't tell an error from
an event, so anything but the events that follow breaks the stream off.
"""

HEAD_START = b"HTTP/1."


class Continuation:
    """Checks the events of one run.

    ``last_id`` is the id of the last event that the caller has, empty if it
    has none. ``counts_events`` is as in :func:`goes_on`. An unframed response
    lasts until its connection ends, so that another response may follow in it.
    """

    def __init__(self, last_id: str, counts_events: bool, is_framed: bool):
        self._last_id = last_id
        self._counts_events = counts_events
        self._is_framed = is_framed
        self._is_checked = not last_id

    def find_fault(self, events: bytes) -> str:
        """Returns why ``events`` can't follow, empty if they can."""
        if not self._is_framed and _holds_head(events):
            return "another response follows in the stream"
        if self._is_checked or not events:
            return ""
        first_id = find_first_id(events)
        if first_id is None:
            return ""
        self._is_checked = True
        if goes_on(first_id, self._last_id, self._counts_events):
            return ""
        return f"event {first_id[:20]!r} doesn't follow {self._last_id!r}"


def find_first_id(events: bytes) -> str | None:
    """Returns the id of the first event, empty if it has none.

    Returns ``None`` if there are comments only.

    >>> find_first_id(b": comment\\n\\nid: 3\\ndata: c\\n\\n")
    '3'
    """
    has_field = False
    for line in events.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
        if not line and has_field:
            return ""
        has_field = has_field or (bool(line) and not line.startswith(b":"))
    return "" if has_field else None


def goes_on(first_id: str, last_id: str, counts_events: bool) -> bool:
    """Returns whether an event may follow the one with ``last_id``.

    Ids increase. If they have counted the events so far, the next one is one
    more; others may have gaps, such as those that count tokens.

    >>> goes_on("3", "2", True), goes_on("4", "2", True)
    (True, False)
    >>> goes_on("4", "2", False), goes_on("2", "2", False)
    (True, False)
    """
    if not (first_id.isdecimal() and last_id.isdecimal()):
        return first_id not in ("", last_id)
    step = int(first_id) - int(last_id)
    return step == 1 if counts_events else step > 0


def _holds_head(events: bytes) -> bool:
    return events.startswith(HEAD_START) or b"\n" + HEAD_START in events
