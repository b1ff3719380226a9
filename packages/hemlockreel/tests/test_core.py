import random

from hemlockreel import actions
from hemlockreel import board
from hemlockreel import core
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import replicas

HOST = "127.0.0.1:9000"


def make_board():
    identity = board.Identity(
        HOST, "127.0.0.1:9001", "trondheim-a", "midt-norge", 7
    )
    return board.Board(identity, (), random.Random(1))


def listed(*roles):
    hosts = tuple(
        replicas.Replica(
            f"127.0.0.1:{9100 + index}",
            "lesar",
            "trondheim-a",
            "midt-norge",
            role,
        )
        for index, role in enumerate(roles)
    )
    return events.HostsListed(hosts)


def configured():
    items = [
        {
            "kind": "modelpools",
            "name": "lesar",
            "version": 3,
            "value": {"service": "lesar", "model": "lesar-7b"},
        }
    ]
    body = {"revision": 3, "items": items}
    return events.StoreAnswered("configuration", 200, body)


def run(made, event, now):
    """Steps, and hands messages to the own host back until none is left."""
    rest = [event]
    seen = []
    while rest:
        for action in core.step(made, rest.pop(0), now):
            if isinstance(action, actions.Send) and action.to == HOST:
                rest.append(action.message)
            else:
                seen.append(action)
    return seen


def test_generation_is_granted():
    made = make_board()
    run(made, configured(), 0.0)
    run(made, listed(replicas.Role.PREFILL, replicas.Role.DECODE), 0.0)
    asked = events.GenerationAsked(
        "r1", 1, "lesar-7b", "acme", "", 100, 50, (), 0.0
    )
    told = [
        action.value
        for action in run(made, asked, 0.1)
        if isinstance(action, actions.Tell)
    ]
    assert [type(value) for value in told] == [messages.Grant]
    assert told[0].replica == "127.0.0.1:9101"
    assert told[0].prefill == "127.0.0.1:9100"


def test_message_survives_the_codec():
    ping = messages.Ping(sender=HOST, epoch=7, seq=3)
    assert messages.decode(messages.encode(ping)) == ping
    assert messages.decode(b"\x93no message") is None
