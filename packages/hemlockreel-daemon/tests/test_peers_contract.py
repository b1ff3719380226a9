"""Malformed messages from peers, which are counted and dropped."""

import time

import pynng
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from hemlockreel import messages
from hemlockreel_daemon import peers
from hemlockreel_standins import processes

scenarios("features/peers.feature")

WAIT_S = 10.0
MESSAGE = messages.encode(messages.Ping(sender="127.0.0.1:1", epoch=1, seq=2))
SENT = {
    "a message": MESSAGE,
    "no bytes": b"",
    "random bytes": bytes(range(128, 255)),
    "half a message": MESSAGE[: len(MESSAGE) // 2],
    "an unknown type": MESSAGE.replace(b"Ping", b"Pong"),
    "a message with a string": MESSAGE[:-2] + b"\xa1x" + MESSAGE[-1:],
}


class Receiver:
    """A daemon's sockets, the received messages and the counter calls."""

    def __init__(self):
        self.address = f"127.0.0.1:{processes.free_port()}"
        self.received = []
        self.counted = []
        self.peers = peers.Peers(self.address, self)
        self.peers.start(self.received.append)

    def count(self, name, amount=1, labels=()):
        self.counted.append(name)


@pytest.fixture
def receiver():
    made = Receiver()
    yield made
    made.peers.close()


@given("a daemon that receives messages")
def receives(receiver):
    assert receiver.received == []


@when(parsers.parse("a peer sends {what}"))
def sends(receiver, what):
    with pynng.Push0(send_timeout=5000) as outbox:
        outbox.dial(f"tcp://{receiver.address}", block=True)
        outbox.send(SENT[what])
        end = time.monotonic() + WAIT_S
        while not receiver.received + receiver.counted:
            assert time.monotonic() < end
            time.sleep(0.01)


@then(
    parsers.parse(
        "it has accepted {accepted:d} and counted {broken:d} broken messages"
    )
)
def has_accepted(receiver, accepted, broken):
    assert len(receiver.received) == accepted
    assert receiver.counted == ["broken_messages"] * broken
