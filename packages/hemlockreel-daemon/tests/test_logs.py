"""Logs that are not read, and more lines than the rate limit allows.

They guard against a thread that blocks on a full log pipe.
"""

import io
import json
import os
import threading
import time

import pytest

from hemlockreel_daemon import logs


@pytest.fixture(autouse=True)
def ended():
    yield
    logs.stop()


def lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_line_is_one_json_object():
    stream = io.StringIO()
    logs.configure("INFO", stream)
    logs.write("started", {"host": "a"})
    logs.stop()
    (found,) = lines(stream)
    assert (found["message"], found["host"]) == ("started", "a")


def test_a_field_may_have_any_name():
    stream = io.StringIO()
    logs.configure("INFO", stream)
    logs.write("refused", {"message": "no", "name": "x", "args": 1})
    logs.stop()
    (found,) = lines(stream)
    assert found["message"] == "refused"
    assert found["field_message"] == "no"
    assert found["field_args"] == 1


def test_log_that_is_not_read_does_not_block():
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w", buffering=1)
    logs.configure("INFO", stream)
    started = time.monotonic()

    def write():
        for number in range(3 * logs.MAX_QUEUED_LINES):
            logs.write("line", {"number": number, "text": "x" * 200})

    writer = threading.Thread(target=write, daemon=True)
    writer.start()
    writer.join(10.0)
    assert not writer.is_alive()
    assert time.monotonic() - started < 10.0
    os.close(read_end)


def test_lines_over_the_rate_are_dropped_and_counted():
    stream = io.StringIO()
    logs.configure("INFO", stream)
    for number in range(logs.BURST_LINES + 500):
        logs.write("line", {"number": number})
    time.sleep(1.1)
    logs.write("line", {"number": -1})
    logs.stop()
    found = lines(stream)
    dropped = [each for each in found if each["message"] == "lines_dropped"]
    written = sum(each["message"] == "line" for each in found)
    assert written <= logs.BURST_LINES + 2 * logs.LINES_PER_S
    assert written + sum(each["count"] for each in dropped) == (
        logs.BURST_LINES + 501
    )


def test_exempt_lines_are_written_over_the_rate():
    stream = io.StringIO()
    logs.configure("INFO", stream)
    for number in range(2 * logs.BURST_LINES):
        logs.write("request_ended", {"number": number})
    logs.write("stopped", {})
    logs.stop()
    assert lines(stream)[-1]["message"] == "stopped"


def test_lines_about_the_process_find_room_in_a_full_queue(monkeypatch):
    """The log is not read while the daemon writes many lines."""
    monkeypatch.setattr(logs, "BURST_LINES", 4 * logs.MAX_QUEUED_LINES)
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w", buffering=1)
    logs.configure("INFO", stream)
    for number in range(3 * logs.MAX_QUEUED_LINES):
        logs.write("line", {"number": number, "text": "x" * 200})
    logs.write("store_lost", {"kind": "instances"})
    found = []

    def read():
        with os.fdopen(read_end) as pipe:
            found.extend(json.loads(line)["message"] for line in pipe)

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    logs.stop()
    stream.close()
    reader.join(10.0)
    assert "store_lost" in found
