"""Splitting of event streams at any byte boundary."""

import itertools

from hypothesis import given
from hypothesis import strategies

from hemlockreel_daemon.forwarding import event_stream

EVENTS = [f"id: {n}\ndata: {'x' * n}\n\n".encode() for n in range(1, 9)]


@given(
    strategies.lists(strategies.integers(0, 200), max_size=20),
    strategies.integers(0, 200),
)
def test_only_complete_events_are_returned_for_any_chunks(cuts, end):
    stream = b"".join(EVENTS)[:end]
    splitter = event_stream.Splitter()
    offsets = [0, *sorted(min(cut, end) for cut in cuts), len(stream)]
    sent = b"".join(
        splitter.feed(stream[start:stop])
        for start, stop in itertools.pairwise(offsets)
    )
    assert sent + splitter.rest == stream
    count = sum(
        sent.startswith(b"".join(EVENTS[: n + 1])) for n in range(len(EVENTS))
    )
    assert sent == b"".join(EVENTS[:count])
    assert splitter.count == count
    assert splitter.last_id == (str(count) if count else "")


def test_lines_that_end_with_carriage_returns():
    splitter = event_stream.Splitter()
    assert splitter.feed(b"id: 7\r\ndata: a\r\n\r\nid") == (
        b"id: 7\r\ndata: a\r\n\r\n"
    )
    assert (splitter.last_id, splitter.count) == ("7", 1)
