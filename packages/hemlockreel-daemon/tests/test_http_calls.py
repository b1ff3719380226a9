"""Timeouts, refused connections and interrupted HTTP calls."""

import socket
import threading
import time

import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import http_calls
from hemlockreel_daemon import mailbox
from hemlockreel_standins import server
from hemlockreel_standins import service

LONGER_THAN_CONNECT_S = 1.3  # longer than the connect timeout


@pytest.fixture
def plain():
    made = service.Service()
    made.address = server.start(made)
    yield made
    made.closing.set()


def call(made, timeout_s, box=None):
    return http_calls.call_json(
        made.address, "POST", "/x", {}, None, timeout_s, box
    )


def test_connect_timeout_does_not_limit_the_response(plain):
    plain.faults["delay_s"] = LONGER_THAN_CONNECT_S
    assert call(plain, 5.0)[0] == 200


def test_timeout_is_distinguished_from_a_closed_connection(plain):
    plain.faults["silent"] = True
    failed = call(plain, 0.3)
    assert (failed.sent, failed.timed_out) == (True, True)
    plain.faults.update(silent=False, reset_after=1)
    failed = call(plain, 5.0)
    assert (failed.sent, failed.timed_out) == (True, False)


def test_refused_connection_is_reported_as_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        host, port = closed.getsockname()
    failed = http_calls.call_json(f"{host}:{port}", "GET", "/")
    assert (failed.sent, failed.timed_out) == (False, False)


def test_stop_ends_a_call_at_once(plain):
    plain.faults["silent"] = True
    box = mailbox.Mailbox()
    threading.Timer(0.2, box.stop, (outcomes.Reason.CALLER_GONE,)).start()
    started = time.monotonic()
    assert call(plain, 10.0, box).sent
    assert time.monotonic() - started < 4.0


def test_stop_before_a_call_ends_it(plain):
    box = mailbox.Mailbox()
    box.stop(outcomes.Reason.REVOKED)
    assert isinstance(call(plain, 10.0, box), http_calls.CallFailed)
