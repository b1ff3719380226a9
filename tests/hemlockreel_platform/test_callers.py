"""Tests the decoding of callers' requests and the headers of refusals."""

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


def test_request_is_decoded():
    request = decode(("X-Own", "1"))
    assert (request.id, request.host) == ("9c41", "h.example:80")
    assert (request.path, request.target) == ("/a/b", "/a/b?c=%2F")
    assert request.deadline_s == pytest.approx(1.001)
    assert ("X-Own", "1") in request.headers
    assert request.demand is None


def test_token_counts_and_length_hint_are_decoded():
    request = decode(
        ("Hemlockreel-Token-Counts", "1460,80"),
        ("Hemlockreel-Length-Hint", "30"),
    )
    assert request.demand == interfaces.Demand(1460, 80, 30)


def test_shared_parts_are_all_but_the_last():
    request = decode(
        ("Hemlockreel-Token-Counts", "1460,80"),
        ("Hemlockreel-Prompt-Prefix", "5C1E07a2:800, 91bd3f06:410,e4402b7d:2"),
    )
    assert request.demand.shared_parts == ("5c1e07a2", "91bd3f06")
    assert request.demand.own_part == "e4402b7d"


def test_the_address_and_credentials_tell_callers_apart():
    head = interfaces.Head("GET", "/a", LINES, "10.9.0.1")
    named = head._replace(lines=(*LINES, ("Authorization", "Bearer 7")))
    other = head._replace(peer="10.9.0.2")
    decoder = callers.Callers()
    found = [decoder.decode(each, b"").caller for each in (head, named, other)]
    assert len(set(found)) == 3
    assert decoder.decode(head, b"x").caller == found[0]


def test_output_estimate_defaults_to_the_maximum():
    request = decode(("Hemlockreel-Token-Counts", "1460,80"))
    assert request.demand.estimated_output == 80


def test_a_resumed_stream_names_the_request_that_began_it():
    request = decode(("Last-Event-Id", "4"), ("Resumes", "8a11"))
    assert (request.resume_after, request.resumes) == ("4", "8a11")
    assert ("Resumes", "8a11") in request.headers


@pytest.mark.parametrize("name", sorted(wire_names.SYSTEM_HEADERS))
def test_headers_that_only_the_system_may_set_are_dropped(name):
    request = decode((name.upper(), "5"))
    assert name not in [each.lower() for each, _ in request.headers]


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
def test_malformed_request_is_invalid(lines):
    result = decode(*lines)
    assert isinstance(result, interfaces.InvalidRequest)
    assert result.status == 400


def test_request_without_id_is_invalid():
    head = interfaces.Head("GET", "/", (("Host", "h"),))
    assert callers.Callers().decode(head, b"").status == 400


def test_refusal_has_retry_after_and_request_id():
    headers = dict(callers.Callers().refusal_headers("9c41", 503, 1.5))
    assert headers["Retry-After"] == "1.500"
    assert headers["Hemlockreel-Request-Id"] == "9c41"
