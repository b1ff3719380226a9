"""Decoders of what others write: any bytes yield a value or a known error."""

import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel import messages
from hemlockreel_daemon import json_documents
from hemlockreel_daemon import path_sockets
from hemlockreel_platform import callers
from hemlockreel_platform import documents
from hemlockreel_platform import replicas
from hemlockreel_standins import platform_site

from hemlockreel.forwarding import block_records
from hemlockreel_daemon.forwarding import interfaces

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(-(10**40), 10**40)
    | strategies.floats()
    | strategies.text(strategies.characters()),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
ENTRY = {
    "service": "s", "address": "10.0.0.1:80", "state": "ready", "zone": "z",
    "slots": 4, "stage": "decode", "born": 17, "version": "v1",
}  # fmt: skip
CONFIGURATION = platform_site.configuration()


@hypothesis.given(
    strategies.binary()
    | strategies.builds(lambda value: json.dumps(value).encode(), VALUES)
)
def test_bytes_yield_a_value_or_a_known_error(data):
    with contextlib.suppress(ValueError):
        json_documents.loads(data)
    messages.decode(data)
    path_sockets.decode_request(data)
    path_sockets.decode_reply(data)


@hypothesis.given(strategies.sampled_from(sorted(ENTRY)), VALUES)
def test_entry_is_refused_or_fits_into_messages(field, value):
    try:
        found = documents.decode_instance("i-1", {**ENTRY, field: value})
    except documents.MalformedObject:
        return
    passed_on = messages.ListRead(
        sender="10.0.0.1:9", epoch=1, kind="instances", at=1, base=0,
        age_s=0.0, changed=[found],
    )  # fmt: skip
    assert messages.decode(messages.encode(passed_on)) == passed_on


@hypothesis.given(strategies.sampled_from(sorted(CONFIGURATION)), VALUES)
def test_configuration_is_refused_or_taken(field, value):
    with contextlib.suppress(documents.MalformedObject):
        documents.decode_deployment({**CONFIGURATION, field: value})


@hypothesis.given(
    strategies.sampled_from(["service", "part", "for_s", "times"]), VALUES
)
def test_blocks_in_the_store_are_left_out_or_taken(field, value):
    block = {"service": "s", "part": "p", "for_s": 1.0, "times": 1}
    found = block_records._decode({"parts": [{**block, field: value}]})
    judged = messages.PartsJudged(sender="10.0.0.1:9", epoch=1, blocked=found)
    assert messages.encode(judged)


@hypothesis.given(VALUES)
def test_load_reports_and_reservations_of_any_form(value):
    replicas._reservation_id(value)
    with contextlib.suppress(KeyError, TypeError):
        replicas._decode_load(value)


@hypothesis.given(
    strategies.sampled_from(
        [
            "Hemlockreel-Deadline-Ms",
            "Hemlockreel-Token-Counts",
            "Hemlockreel-Length-Hint",
            "Hemlockreel-Prompt-Prefix",
        ]
    ),
    strategies.text()
    | strategies.sampled_from(["nan", "inf", "1e999", "9" * 5000, "8_6"]),
)
def test_headers_of_callers_are_refused_or_taken(name, value):
    lines = {
        "Hemlockreel-Request-Id": "r",
        "Hemlockreel-Token-Counts": "10,10",
        name: value,
    }
    head = interfaces.Head("POST", "/x", tuple(lines.items()))
    found = callers.Callers().decode(head, b"")
    assert isinstance(
        found, interfaces.CallerRequest | interfaces.InvalidRequest
    )


@pytest.mark.parametrize("depth", [33, 100_000])
def test_deep_values_are_replaced_and_the_rest_is_kept(depth):
    data = b'{"a":%b%b,"b":"[[","c":[1]}' % (b"[" * depth, b"]" * depth)
    found = json_documents.loads(data)
    assert (found["b"], found["c"]) == ("[[", [1])


def test_halves_of_surrogate_pairs_are_replaced():
    data = b'[{"\\uD800x":"\\udc00"},"\\ud83d\\ude00"]'
    found = json_documents.loads(data)
    assert found[1] == "\U0001f600"
    assert json.dumps(found, ensure_ascii=False).encode()


@pytest.mark.parametrize("data", [b"[" * 10**6, b'{"a":' * 10**5, b'["'])
def test_documents_that_end_early_are_refused(data):
    with pytest.raises(
        ValueError, match=r"Expecting|Unterminated|the document ends"
    ):
        json_documents.loads(data)
