"""Tests the store's client against responses that end early."""

import socket
import threading

import pytest

from hemlockreel_ctl import results
from hemlockreel_ctl import store

BODY = b'{"object":null,"revision":5}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)


def serve(*answers):
    """Starts a server that ends each connection after its answer."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        with listener:
            for each in answers:
                sock, _ = listener.accept()
                with sock:
                    # A close with unread bytes would reset the connection.
                    while not sock.recv(65536).endswith(b"{}"):
                        pass
                    sock.sendall(each)

    threading.Thread(target=run, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


# The end of a connection within a head was taken for the end of the head: a
# write without a response for one that was lost to another writer.
@pytest.mark.parametrize("status", [b"200 OK", b"412 Failed", b"404 None"])
def test_write_with_a_cut_response_has_no_known_outcome(status):
    whole = b"HTTP/1.1 " + status + b"\r\nX-A: 1\r\n" + LENGTH + BODY
    cuts = range(len(whole))
    client = store.Client(serve(*(whole[:at] for at in cuts), whole))
    for at in cuts:
        found = client.put("modelpools", "lesar", {}, 4)
        assert isinstance(found, results.NoResponse), whole[:at]
    found = client.put("modelpools", "lesar", {}, 4)
    assert not isinstance(found, results.NoResponse)
