"""Requests are recognised when they are sent again, at any host."""

import pytest

from hemlockreel_daemon.forwarding import content_keys
from hemlockreel_daemon.forwarding import interfaces

REQUEST = interfaces.CallerRequest(
    "1", "GET", "/stock/5?lot=7", "/stock/5", "a.example",
    (("X-Trace", "1"),), b"{}", 1.0, None, "", "10.9.0.1 ",
)  # fmt: skip


def shared(**changes):
    """Returns how many keys a changed request shares with ``REQUEST``."""
    found = content_keys.find(REQUEST._replace(**changes))
    assert len(set(found)) == len(found)
    return len({*found} & {*content_keys.find(REQUEST)})


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({"id": "2", "deadline_s": 0.5, "headers": ()}, 3),
        ({"host": "A.example"}, 3),
        ({"caller": "10.9.0.2 "}, 2),
        ({"target": "/stock/5?lot=8"}, 1),
        ({"path": "/stock/6", "target": "/stock/6?lot=7"}, 0),
        ({"body": b"{ }"}, 0),
        ({"method": "POST"}, 0),
        ({"host": "b.example"}, 0),
    ],
)
def test_only_the_content_of_a_request_counts(changes, count):
    assert shared(**changes) == count


def test_prompts_with_other_parts_are_other_requests():
    prompt = interfaces.Demand(1460, 80, 80, ("5c1e07a2",), "e4402b7d")
    asked = REQUEST._replace(demand=prompt)
    other = asked._replace(demand=prompt._replace(own_part="91bd3f06"))
    assert not {*content_keys.find(asked)} & {*content_keys.find(other)}
