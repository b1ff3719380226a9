import json

import pytest

from hemlockreel_standins import caller
from hemlockreel_standins import server


def event(value):
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def token(text):
    return event({"choices": [{"index": 0, "text": text}]})


HEAD = event({"hops": {"entry": "e"}, "choices": []})
END = b"data: [DONE]\n\n"
REFUSAL = event({"error": {"reason": "backend_failed", "ran": "unknown"}})


class Daemon(server.StandIn):
    """Streams the given chunks; ``None`` aborts the connection."""

    def __init__(self, chunks):
        super().__init__()
        self.chunks = chunks

    def respond(self, request):
        if request.path == "/v1/addresses":
            found = {"addresses": [self.address], "ttl_s": 5.0}
            return server.Response(200, found)
        return server.Response(200, iter(self.chunks))


@pytest.mark.parametrize(
    ("chunks", "whole", "text"),
    [
        ([HEAD, token("a "), token("b "), END], True, "a b "),
        ([HEAD + token("a ")[:9], token("a ")[9:] + END], True, "a "),
        ([HEAD, token("a ")], False, "a "),
        ([HEAD, token("a "), None], False, "a "),
        ([HEAD, token("a "), REFUSAL], False, "a "),
    ],
    ids=["whole", "split", "no end", "cut", "refused"],
)
def test_stream_is_whole_only_with_its_end_marker(chunks, whole, text):
    daemon = Daemon(chunks)
    daemon.address = server.start(daemon)
    made = caller.Caller("acme", daemon.address)
    response = made.complete({"stream": True})
    assert (response.whole, response.text) == (whole, text)
    assert response.hops == {"entry": "e"}
