"""All hosts restart at once while callers still use their addresses.

A host has its first lists about a second after it starts to listen.
"""

import threading
import time

import pytest

from hemlockreel_daemon import daemon as daemons
from hemlockreel_daemon import settings
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import graceful_shutdown
from hemlockreel.forwarding import retry_budget
from hemlockreel_daemon.forwarding import forwarder
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import startup_wait

FIRST_LIST_S = 0.3  # from the request to the first list
IMMEDIATE_S = 1.0  # for an immediate response on a busy machine
FOUND = deployments.Deployment(1, {}, (), deployments.Limits())


class Exchange(rigs.Exchange):
    """A request without a matching route."""

    def head(self):
        """Returns the head of the request."""
        return interfaces.Head("GET", "/nothing", ())

    def read_body(self):
        """Returns the body."""
        return b""

    def close_after_response(self):
        """Closes the connection after the response."""


class Callers:
    """Requests whose callers wait for ``deadline_s``."""

    def __init__(self, deadline_s):
        self.deadline_s = deadline_s

    def decode(self, head, body):
        """Returns the request of ``head``."""
        return interfaces.CallerRequest(
            "9c41", "GET", "/", "/", "", (), body, self.deadline_s, None, ""
        )

    def refusal_headers(self, request_id, status, retry_after_s):
        """Returns the headers of a refusal."""
        return ()


@pytest.fixture
def start():
    """Returns a function that creates a host without any lists."""

    def build(deadline_s=4.0):
        address = "127.0.0.1:0"
        found = settings.Settings(
            zone="z",
            region="r",
            listen=settings.Listen(address, address, address),
            store=address,
            host_list="",
        )
        limits = retry_budget.RetryLimits(0.2, 0.0, 10.0)
        return forwarder.Forwarder(
            found,
            forwarder.Limits(8.0, limits),
            daemons.ExternalClients(None, None, None),
            rigs.Backends(),
            Callers(deadline_s),
            None,
        )

    return build


def send_request(host):
    """Returns the status of the response and the seconds until then."""
    exchange = Exchange()
    begun = time.monotonic()
    host.respond(exchange)
    return exchange.status, time.monotonic() - begun


def later(act):
    threading.Timer(FIRST_LIST_S, act).start()


def set_lists(host):
    host.deployment = FOUND
    host.listed = True


def test_request_waits_for_the_first_lists(start):
    host = start()
    later(lambda: set_lists(host))
    status, seconds = send_request(host)
    # The status of a request for which the deployment has no route.
    assert status == 404
    assert seconds >= FIRST_LIST_S


def test_request_waits_for_replicas_when_routes_are_known(start):
    host = start()
    host.deployment = FOUND
    later(lambda: set_lists(host))
    _, seconds = send_request(host)
    assert seconds >= FIRST_LIST_S


def test_later_requests_do_not_wait(start):
    host = start()
    set_lists(host)
    _, seconds = send_request(host)
    assert seconds < IMMEDIATE_S


def test_wait_ends_when_the_store_stays_unavailable(start, monkeypatch):
    monkeypatch.setattr(startup_wait, "MAX_STARTUP_WAIT_S", 1.5 * IMMEDIATE_S)
    host = start()
    status, seconds = send_request(host)
    assert status == 503
    assert seconds >= IMMEDIATE_S
    status, seconds = send_request(host)
    assert status == 503
    assert seconds < IMMEDIATE_S


def test_wait_is_limited_to_half_of_the_deadline(start):
    status, seconds = send_request(start(deadline_s=2.0))
    assert status == 503
    assert 1.0 <= seconds < 2.0


def test_host_that_shuts_down_refuses_at_once(start):
    host = start()
    host.phase = graceful_shutdown.Phase(stopping=True, accepts_requests=False)
    status, seconds = send_request(host)
    assert status == 503
    assert seconds < IMMEDIATE_S
