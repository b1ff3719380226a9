"""Tests of applications that are made late, and of connections' ends."""

import gc
import socket
import weakref

from cheroot import server

from hemlockreel_daemon import servers


def test_late_application_is_made_once_and_not_before_a_request():
    made = []

    def make():
        made.append(True)
        return lambda environ, start_response: [environ["BODY"]]

    application = servers.LateApplication(make)
    assert not made
    assert application({"BODY": b"first"}, None) == [b"first"]
    assert application({"BODY": b"second"}, None) == [b"second"]
    assert len(made) == 1


def test_closed_connection_is_forgotten_without_a_collection():
    found = server.HTTPServer(("127.0.0.1", 0), gateway=server.Gateway)
    servers.configure(found, None)
    ours, theirs = socket.socketpair()
    gc.disable()
    try:
        connection = found.ConnectionClass(found, ours)
        connection.close()
        watched = weakref.ref(connection)
        del connection
        assert watched() is None
    finally:
        gc.enable()
        theirs.close()
