"""What the store answers about an object of a region, in any form."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel import board as boards
from hemlockreel import events

from hemlockreel.forwarding import region_records

BODIES = [
    {},
    {"object": None},
    {"object": {}},
    {"object": {"version": "x", "value": 1}},
    {"object": {"version": 7, "value": {"a": 1}}},
]


def make_board():
    identity = boards.Identity(
        host="10.0.0.1:9", zone="z", region="r", epoch=1, callers=""
    )
    return boards.Board(identity, (), random.Random(1))


def respond(record, board, call, status, body):
    return record.take_response(
        events.StoreResponded(call.call_id, status, body, era=2), board, 1.0
    )


def write(record, board):
    return record.write(board, 0.0, frozenset("a"), lambda: {"a": 1})


# LOST of issue 33: a KeyError on such an answer ended the process.
def test_write_of_an_object_that_a_restore_lost_is_made_anew():
    board, record = make_board(), region_records.Record("blocks")
    record.version, record.era = 5, 1
    assert respond(record, board, write(record, board), 404, {}) is None
    assert record.era is None
    assert respond(record, board, record.read(board, 2.0), 404, {}) == {}
    assert write(record, board).expected == 0


@pytest.mark.parametrize("body", BODIES)
@hypothesis.given(
    is_write=strategies.booleans(), status=strategies.integers(0, 599)
)
def test_no_answer_raises(body, is_write, status):
    board, record = make_board(), region_records.Record("blocks")
    call = write(record, board) if is_write else record.read(board, 0.0)
    found = respond(record, board, call, status, body)
    assert found is None or isinstance(found, dict)
    assert isinstance(record.version, int)
