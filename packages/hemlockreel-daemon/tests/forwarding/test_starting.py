"""Pattern: all hosts start again at once while callers know their addresses.

A host has its first lists a second or so after it listens.
"""

import threading
import time

import pytest

from hemlockreel_daemon import daemon as daemons
from hemlockreel_daemon import settings
from hemlockreel_standins import forwarding_rig as rigs

from hemlockreel.forwarding import closing
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import repeat_budget
from hemlockreel_daemon.forwarding import edges
from hemlockreel_daemon.forwarding import forwarder
from hemlockreel_daemon.forwarding import starting

FIRST_LIST_S = 0.3  # from the request to the first list
SOON_S = 1.0  # an answer at once, on a busy machine
FOUND = deployments.Deployment(1, {}, (), deployments.Limits())


class Exchange(rigs.Exchange):
    """A request that no route is for."""

    def head(self):
        """Returns the head of the request."""
        return edges.Head("GET", "/nothing", ())

    def read_body(self):
        """Returns the body."""
        return b""

    def close_after(self):
        """Ends the connection after the answer."""


class Callers:
    """Requests whose callers wait for ``deadline_s``."""

    def __init__(self, deadline_s):
        self.deadline_s = deadline_s

    def decode(self, head, body):
        """Returns the request of ``head``."""
        return edges.Ask(
            "9c41", "GET", "/", "/", "", (), body, self.deadline_s, None, ""
        )

    def refusal(self, ask_id, status, retry_after_s):
        """Returns the headers of a refusal."""
        return ()


@pytest.fixture
def start():
    """Returns a function that builds a host which has read nothing yet."""

    def build(deadline_s=4.0):
        address = "127.0.0.1:0"
        found = settings.Settings(
            zone="z",
            region="r",
            listen=settings.Listen(address, address, address),
            store=address,
            host_list="",
        )
        bound = repeat_budget.Bound(0.2, 0.0, 10.0)
        return forwarder.Forwarder(
            found,
            forwarder.Limits(8.0, bound),
            daemons.ExternalClients(None, None, None),
            None,
            Callers(deadline_s),
            None,
        )

    return build


def answer(host):
    """Returns the answer and the seconds until it came."""
    exchange = Exchange()
    begun = time.monotonic()
    host.answer(exchange)
    return exchange.status, time.monotonic() - begun


def later(act):
    threading.Timer(FIRST_LIST_S, act).start()


def set_lists(host):
    host.deployment = FOUND
    host.listed = True


def test_request_waits_for_the_first_lists(start):
    host = start()
    later(lambda: set_lists(host))
    status, seconds = answer(host)
    # It was looked up in the deployment, which has no route for it.
    assert status == 404
    assert seconds >= FIRST_LIST_S


def test_routes_without_replicas_are_waited_for_too(start):
    host = start()
    host.deployment = FOUND
    later(lambda: set_lists(host))
    _, seconds = answer(host)
    assert seconds >= FIRST_LIST_S


def test_later_requests_do_not_wait(start):
    host = start()
    set_lists(host)
    _, seconds = answer(host)
    assert seconds < SOON_S


def test_store_that_stays_away_is_not_waited_for(start, monkeypatch):
    monkeypatch.setattr(starting, "FIRST_READ_S", 1.5 * SOON_S)
    host = start()
    status, seconds = answer(host)
    assert status == 503
    assert seconds >= SOON_S
    status, seconds = answer(host)
    assert status == 503
    assert seconds < SOON_S


def test_caller_keeps_half_of_its_time(start):
    status, seconds = answer(start(deadline_s=2.0))
    assert status == 503
    assert 1.0 <= seconds < 2.0


def test_host_that_stops_refuses_at_once(start):
    host = start()
    host.phase = closing.Phase(stopping=True, requests=False)
    status, seconds = answer(host)
    assert status == 503
    assert seconds < SOON_S
