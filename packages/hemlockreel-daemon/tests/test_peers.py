"""Connections between daemons that stall, and idle ones.

A device in between may drop an old connection without closing it, while new
connections work.
"""

import queue
import socket
import threading

import pytest

from hemlockreel import messages
from hemlockreel_daemon import peers
from hemlockreel_standins import processes


class Metrics:
    def count(self, name, amount=1, labels=()):
        pass


class Relay:
    """Forwards bytes; its current connections can be stalled."""

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self):
        self.generation += 1

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            host, _, port = self.target.rpartition(":")
            far = socket.create_connection((host, int(port)))
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass, args=(*pair, self.generation)
                ).start()

    def _pass(self, one, other, generation):
        try:
            while data := one.recv(65536):
                if generation == self.generation:
                    other.sendall(data)
        except OSError:
            return
        finally:
            other.close()


@pytest.fixture
def inbox():
    address = f"127.0.0.1:{processes.free_port()}"
    receiver = peers.Peers(address, Metrics())
    received = queue.Queue()
    receiver.start(received.put)
    yield address, received
    receiver.close()


def heartbeat(count):
    return messages.Heartbeat(
        sender="10.0.0.1:1", epoch=1, count=count, digest=0
    )


def test_reconnect_replaces_a_stalled_connection(inbox, monkeypatch):
    monkeypatch.setattr(peers, "MIN_RECONNECT_INTERVAL_S", 0.0)
    address, received = inbox
    relay = Relay(address)
    sender = peers.Peers(f"127.0.0.1:{processes.free_port()}", Metrics())
    sender.send(relay.address, heartbeat(1))
    assert received.get(timeout=5.0).count == 1
    relay.stall()
    sender.send(relay.address, heartbeat(2))
    with pytest.raises(queue.Empty):
        received.get(timeout=0.5)
    sender.reconnect(relay.address)
    sender.send(relay.address, heartbeat(3))
    assert received.get(timeout=5.0).count == 3
    sender.close()


def test_idle_connections_are_closed(inbox, monkeypatch):
    monkeypatch.setattr(peers, "IDLE_TIMEOUT_S", -1.0)
    address, received = inbox
    sender = peers.Peers(f"127.0.0.1:{processes.free_port()}", Metrics())
    sender.send(address, heartbeat(1))
    assert received.get(timeout=5.0).count == 1
    relay = Relay(address)
    sender.send(relay.address, heartbeat(2))
    assert received.get(timeout=5.0).count == 2
    assert list(sender._outboxes) == [relay.address]
    sender.close()
