"""Unexpected exceptions in clients, and the seeding of a daemon's jitter.

The core waits for an event after each call. If an exception in a client were
lost, it would wait forever.
"""

import queue

import pytest

from hemlockreel import actions
from hemlockreel import events
from hemlockreel_daemon import daemon as daemons
from hemlockreel_daemon import settings
from hemlockreel_standins import processes


def fail(action):
    raise LookupError("unexpected")


def make_daemon():
    addresses = [f"127.0.0.1:{processes.free_port()}" for _ in range(3)]
    found = settings.Settings(
        zone="a",
        region="r",
        listen=settings.Listen(*addresses),
        store="127.0.0.1:1",
        host_list="127.0.0.1:1",
    )
    return daemons.Daemon(found, daemons.ExternalClients(fail, fail, fail))


@pytest.fixture
def daemon():
    made = make_daemon()
    made.posted = queue.Queue()
    made.loop.post = made.posted.put
    yield made
    made.stop()


@pytest.mark.parametrize(
    ("action", "event"),
    [
        (
            actions.CallStore("c", "GET", "/v1/objects/leases/r"),
            events.StoreResponded("c", 0, {}),
        ),
        (
            actions.CallStore("w", "GET", "/v1/watch"),
            events.StoreResponded("w", 0, {}),
        ),
        (
            actions.CallEngine("e", "127.0.0.1:1", "load"),
            events.EngineResponded("e", "127.0.0.1:1", "load", 0, {}),
        ),
        (actions.ReadHostList(), events.HostListRead(None)),
    ],
)
def test_failed_call_still_posts_an_event(daemon, action, event):
    daemons.perform(action, daemon)
    assert daemon.posted.get(timeout=5.0) == event


def test_daemons_that_start_together_have_different_jitter(monkeypatch):
    monkeypatch.setattr(daemons, "_new_epoch", lambda: 1)
    made = [make_daemon() for _ in range(2)]
    for each in made:
        each.stop()
    first, second = made
    assert first.board.rng.random() != second.board.rng.random()
    assert first.rng.random() != second.rng.random()
