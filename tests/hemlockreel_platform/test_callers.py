"""The edge to callers: what is a request, and what reaches a replica."""

import pytest

from hemlockreel_platform import callers
from hemlockreel_platform import wire_names

from hemlockreel_daemon.forwarding import interfaces

LINES = (
    ("Host", "h.example:80"),
    ("Hemlockreel-Request-Id", "9c41"),
    ("Hemlockreel-Deadline-Ms", "1001"),
)


def decode(*lines, target="/a/b?c=%2F"):
    head = interfaces.Head("POST", target, (*LINES, *lines))
    return callers.Callers().decode(head, b"body")


def test_a_request():
    ask = decode(("X-Own", "1"))
    assert (ask.id, ask.host) == ("9c41", "h.example:80")
    assert (ask.path, ask.target) == ("/a/b", "/a/b?c=%2F")
    assert ask.deadline_s == pytest.approx(1.001)
    assert ("X-Own", "1") in ask.headers
    assert ask.demand is None


def test_the_size_of_a_model_request():
    ask = decode(
        ("Hemlockreel-Token-Counts", "1460,80"),
        ("Hemlockreel-Length-Hint", "30"),
    )
    assert ask.demand == interfaces.Demand(1460, 80, 30)


def test_without_an_estimate_the_most_is_expected():
    ask = decode(("Hemlockreel-Token-Counts", "1460,80"))
    assert ask.demand.estimated_output == 80


@pytest.mark.parametrize("name", sorted(wire_names.SYSTEM_HEADERS))
def test_headers_that_only_the_system_sets_are_dropped(name):
    ask = decode((name.upper(), "5"))
    assert name not in [each.lower() for each, _ in ask.headers]


@pytest.mark.parametrize(
    "lines",
    [
        (("Content-Length", "4"), ("Content-Length", "5")),
        (("Content-Length", "4"), ("Transfer-Encoding", "chunked")),
        (("Host", "other.example"),),
        (("Hemlockreel-Token-Counts", "many"),),
        (("Hemlockreel-Token-Counts", "5,"),),
    ],
)
def test_what_is_no_request(lines):
    found = decode(*lines)
    assert isinstance(found, interfaces.InvalidRequest)
    assert found.status == 400


def test_a_request_without_an_id():
    head = interfaces.Head("GET", "/", (("Host", "h"),))
    assert callers.Callers().decode(head, b"").status == 400


def test_a_refusal_says_when_to_come_back():
    headers = dict(callers.Callers().refusal_headers("9c41", 503, 1.5))
    assert headers["Retry-After"] == "1.500"
    assert headers["Hemlockreel-Request-Id"] == "9c41"
