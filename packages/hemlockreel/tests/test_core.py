from hemlockreel import actions
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import replicas
from hemlockreel_standins import helper

POOLS = {"lesar": {"service": "lesar", "model": "lesar-7b"}}


def test_generation_is_granted():
    board = helper.make_board()
    helper.configure(board, modelpools=POOLS)
    hosts = helper.make_host_list(replicas.Role.PREFILL, replicas.Role.DECODE)
    helper.run(board, hosts, 0.0)
    request = events.CompletionRequested(
        "r1", 1, "lesar-7b", "acme", "", 100, 50, (), 0.0
    )
    replies = helper.of_type(helper.run(board, request, 0.1), actions.Reply)
    assert [type(reply.value) for reply in replies] == [messages.Grant]
    assert replies[0].value.replica == "127.0.0.1:9101"
    assert replies[0].value.prefill == "127.0.0.1:9100"


def test_message_survives_the_codec():
    ping = messages.Ping(sender=helper.HOST, epoch=7, seq=3)
    assert messages.decode(messages.encode(ping)) == ping
    assert messages.decode(b"\x93no message") is None
