from hemlockreel import actions
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import replicas
from hemlockreel_standins import helper

POOLS = {"lesar": {"service": "lesar", "model": "lesar-7b"}}


def test_generation_is_granted():
    made = helper.make_board()
    helper.configure(made, modelpools=POOLS)
    hosts = helper.listed(replicas.Role.PREFILL, replicas.Role.DECODE)
    helper.run(made, hosts, 0.0)
    asked = events.CompletionRequested(
        "r1", 1, "lesar-7b", "acme", "", 100, 50, (), 0.0
    )
    told = helper.of_type(helper.run(made, asked, 0.1), actions.Reply)
    assert [type(tell.value) for tell in told] == [messages.Grant]
    assert told[0].value.replica == "127.0.0.1:9101"
    assert told[0].value.prefill == "127.0.0.1:9100"


def test_message_survives_the_codec():
    ping = messages.Ping(sender=helper.HOST, epoch=7, seq=3)
    assert messages.decode(messages.encode(ping)) == ping
    assert messages.decode(b"\x93no message") is None
