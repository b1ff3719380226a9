"""A body that arrives in parts of any size comes out as it was sent."""

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel_daemon import body_buffer


@hypothesis.given(
    strategies.lists(strategies.integers(1, 200_000), max_size=8),
    strategies.booleans(),
)
def test_body_is_put_together(sizes, is_announced):
    body = bytes(each % 251 for each in range(997)) * (sum(sizes) // 997 + 1)
    body = body[: sum(sizes)]
    buffer = body_buffer.BodyBuffer(len(body) if is_announced else None)
    for size in sizes:
        end = buffer.size + size
        while buffer.size < end:
            with buffer.room(end - buffer.size) as room:
                count = len(room)
                room[:] = body[buffer.size : buffer.size + count]
            buffer.add(count)
    assert buffer.take() == body


@pytest.mark.parametrize("length", [None, 100, 2**22])
def test_next_segment_is_known_before_it_is_allocated(length):
    buffer = body_buffer.BodyBuffer(length)
    allocated = 0
    for _ in range(3):
        assert buffer.is_full
        allocated += buffer.next_bytes
        with buffer.room(2**22) as room:
            count = len(room)
        buffer.add(count)
        assert buffer.size == allocated


def test_short_body_needs_no_more_than_its_length():
    assert body_buffer.BodyBuffer(100).next_bytes == 100
