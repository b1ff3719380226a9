"""Replicas that answer a long request before they read it, to a real daemon.

They write a part without a length and end in order, with the request unread.
"""

import contextlib
import http.client
import socket

import pytest

from hemlockreel_daemon import http_calls
from hemlockreel_daemon import mailbox
from hemlockreel_platform import replicas
from hemlockreel_standins import platform_replica
from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

from hemlockreel.forwarding import instances
from hemlockreel_daemon.forwarding import interfaces

LONG = b"x" * 400_000
MODEL = {"Hemlockreel-Model": "m", "Hemlockreel-Token-Counts": "1460,80"}
REQUEST = interfaces.CallerRequest(
    id="9c41",
    method="POST",
    target="/a/1",
    path="/a/1",
    host="h.example",
    headers=(),
    body=LONG,
    deadline_s=2.0,
    demand=None,
    resume_after="",
)
HEAD = f"{platform_replica.SIGNED}: {platform_replica.SIGNATURE}\r\n".encode()
PREFILLED = b'{"kv_handle":"h","tokens":1}'
EVENT = b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n"


class Early(platform_replica.Replica):
    """Answers callers' requests with ``answer`` after reading their head."""

    answer = b""

    def _serve(self, sock):
        file = sock.makefile("rb", buffering=0)
        with sock, contextlib.suppress(OSError):
            target = file.readline().split()[1].decode()
            headers = http.client.parse_headers(file)
            if target.startswith("/api/"):
                body = file.read(int(headers.get("Content-Length", "0")))
                arrival = platform_replica.Arrival("", target, headers, body)
                sock.sendall(self._control(arrival))
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\n" + HEAD + self.answer)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(1)  # has arrived already


@pytest.fixture
def early():
    started = Early()
    yield started
    started.close()


# MIXED of issue 41
def test_client_of_replicas_takes_no_part_for_an_answer(early):
    client = replicas.Replicas()
    instance = instances.Instance("i-1", "s", early.address, "z", 6)
    early.answer = b"\r\n" + PREFILLED
    box = mailbox.Mailbox()
    assert client.prefill(instance, REQUEST, 1.0, box).ran is (
        interfaces.Ran.UNKNOWN
    )
    head = client.send(instance, REQUEST, 1.0, interfaces.SendOptions(), box)
    with pytest.raises(http_calls.CALL_ERRORS, match="before its request"):
        head.opened.read_body()
    head.opened.close()


@pytest.fixture
def site(tmp_path):
    with platform_site.Site(tmp_path) as started:
        yield started


def send_long(site, path, headers):
    """Returns status and body, of which ``None`` is one that broke off."""
    link = processes.connect(site.daemons[0].listen["frontend"])
    named = {
        "Host": platform_site.HOST,
        "Hemlockreel-Request-Id": "9c41",
        "Hemlockreel-Deadline-Ms": "2000",
    }
    try:
        link.request("POST", path, LONG, {**named, **headers})
        response = link.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        link.close()


@pytest.mark.parametrize(
    ("replica", "path", "headers", "answer"),
    [
        ("plain", "/lookups/1", {}, b"\r\na part"),
        ("plain", "/deposits/1", {}, b"\r\na part"),
        ("decode", "/drafts/1", MODEL, EVENT),
    ],
)
def test_callers_get_no_part_for_an_answer(
    site, replica, path, headers, answer
):
    harmed = getattr(site, replica)
    harmed.answer = answer
    harmed._serve = lambda sock: Early._serve(harmed, sock)
    status, body = send_long(site, path, headers)
    assert status != 200 or body is None
