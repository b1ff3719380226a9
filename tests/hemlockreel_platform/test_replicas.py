"""Tests the client of replicas against each form of response."""

import socket
import threading

import pytest

from hemlockreel import outcomes
from hemlockreel_daemon import mailbox
from hemlockreel_platform import replicas
from hemlockreel_standins import platform_replica

from hemlockreel.forwarding import instances
from hemlockreel_daemon.forwarding import interfaces

REQUEST = interfaces.CallerRequest(
    id="9c41",
    method="POST",
    target="/a/1?q=%20x",
    path="/a/1",
    host="h.example",
    headers=(
        ("Host", "h.example"),
        ("Hemlockreel-Request-Id", "9c41"),
        ("X-Own", "1"),
        ("Connection", "X-Hop"),
        ("X-Hop", "1"),
    ),
    body=b"\x00body",
    deadline_s=2.0,
    demand=None,
    resume_after="",
)
PLAIN = interfaces.SendOptions()
NOT_RUN, UNKNOWN, NOT_SENT = (
    interfaces.Ran.NOT_RUN,
    interfaces.Ran.UNKNOWN,
    interfaces.Ran.NOT_SENT,
)


@pytest.fixture
def replica():
    started = platform_replica.Replica()
    yield started
    started.close()


def instance(replica):
    return instances.Instance("i-1", "s", replica.address, "z", 6)


def send(replica, options=PLAIN, left_s=1.0):
    return replicas.Replicas().send(
        instance(replica), REQUEST, left_s, options, mailbox.Mailbox()
    )


@pytest.mark.parametrize(
    "mode", ["whole", "chunked", "unframed", "extra", "interim"]
)
@pytest.mark.parametrize("status", [200, 404, 500])
def test_response_is_read_in_each_framing(replica, mode, status):
    replica.mode, replica.status = mode, status
    head = send(replica)
    assert head.status == status
    assert head.opened.response.read() == b"the answer"
    headers = dict(head.headers)
    assert headers["Hemlockreel-Response-Signature"] == (
        platform_replica.SIGNATURE
    )
    assert not {"Content-Length", "Transfer-Encoding"} & headers.keys()


@pytest.mark.parametrize("mode", ["torn", "torn_chunk"])
def test_truncated_response_raises(replica, mode):
    replica.mode = mode
    head = send(replica)
    with pytest.raises(Exception, match=r"(?i)incomplete|broken"):
        head.opened.response.read()


@pytest.mark.parametrize(
    ("mode", "ran"),
    [
        ("not_run", NOT_RUN),
        ("misdirected", NOT_RUN),
        ("wrong_id", UNKNOWN),
        ("unsigned", UNKNOWN),
        ("encoded", UNKNOWN),
        ("no_bytes", UNKNOWN),
        ("torn_head", UNKNOWN),
        ("garbage", UNKNOWN),
        ("silent", UNKNOWN),
    ],
)
def test_failure_states_whether_request_may_have_run(replica, mode, ran):
    replica.mode = mode
    result = send(replica, left_s=0.5)
    assert isinstance(result, interfaces.SendFailure)
    assert result.ran is ran
    assert result.timed_out == (mode == "silent")


@pytest.mark.parametrize("status", [408, 429, 503])
def test_not_run_status_without_header_is_unknown(replica, status):
    replica.status = status
    assert send(replica).ran is UNKNOWN


def test_unreachable_replica_was_not_sent_the_request(replica):
    replica.close()
    assert send(replica).ran is NOT_SENT


def test_forwarded_request_line_headers_and_body(replica):
    options = interfaces.SendOptions("hold-1", "10.0.0.1:80/handle", "7")
    send(replica, options)
    (arrival,) = replica.runs()
    assert (arrival.method, arrival.target) == ("POST", "/a/1?q=%20x")
    assert arrival.body == b"\x00body"
    assert int(arrival.headers.pop("hemlockreel-deadline-ms")) <= 1000
    assert arrival.headers == {
        "host": "h.example",
        "hemlockreel-request-id": "9c41",
        "x-own": "1",
        "content-length": "5",
        "hemlockreel-target-instance": "i-1",
        "hemlockreel-kv-hold": "hold-1",
        "hemlockreel-kv-source": "10.0.0.1:80/handle",
        "last-event-id": "7",
    }


def test_head_timeout_does_not_shorten_deadline(replica):
    replica.mode = "silent"
    result = send(
        replica, interfaces.SendOptions(head_timeout_s=0.2), left_s=5.0
    )
    assert result.timed_out
    (arrival,) = replica.runs()
    assert int(arrival.headers["hemlockreel-deadline-ms"]) > 4000


def test_stopped_request_fails(replica):
    replica.mode = "silent"
    box = mailbox.Mailbox()
    box.stop(outcomes.Reason.CALLER_GONE)
    result = replicas.Replicas().send(
        instance(replica), REQUEST, 5.0, interfaces.SendOptions(), box
    )
    assert isinstance(result, interfaces.SendFailure)


def test_reservations():
    engine = platform_replica.Replica("decode")
    engine.memory = 1000
    client = replicas.Replicas()
    hold = client.reserve(instance(engine), 900, 2.0)
    assert isinstance(hold, str)
    assert client.reserve(instance(engine), 200, 2.0).ran is NOT_RUN
    client.release_reservation(instance(engine), hold)
    assert isinstance(client.reserve(instance(engine), 200, 2.0), str)


def test_prefill_returns_source_of_kv_cache():
    engine = platform_replica.Replica("prefill")
    result = replicas.Replicas().prefill(
        instance(engine), REQUEST, 1.0, mailbox.Mailbox()
    )
    assert result.source == f"{engine.address}/{result.handle}"
    assert result.instance == "i-1"
    (arrival,) = engine.runs()
    assert arrival.headers["hemlockreel-serving-stage"] == "prefill"


def test_refused_prefill_has_not_run():
    engine = platform_replica.Replica("prefill")
    engine.mode = "not_run"
    result = replicas.Replicas().prefill(
        instance(engine), REQUEST, 1.0, mailbox.Mailbox()
    )
    assert result.ran is NOT_RUN


def observe(backends):
    seen = []
    backends.set_observer(seen.append)
    return seen


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2", 2.0), ("0.25", 0.25), ("0", 0.0), ("-3", 0.0), ("nan", 0.0),
     ("inf", 0.0), ("soon", 0.0), ("Fri, 04 Dec 2026 09:00:00 GMT", 0.0),
     ("1e9", 1e9)],
)  # fmt: skip
def test_a_pause_is_read_from_a_503_only(text, seconds):
    headers = {"Retry-After": text}
    assert replicas._decode_pause(503, headers) == seconds
    assert replicas._decode_pause(429, headers) == 0.0
    assert replicas._decode_pause(200, headers) == 0.0


@pytest.mark.parametrize("call", ["send", "prefill", "reserve", "release"])
def test_every_response_of_a_leaving_replica_is_noticed(call):
    stand_in = platform_replica.Replica("decode")
    stand_in.mode = "stream"
    stand_in.extra_headers = (("Server-Leaving", "1"),)
    backends = replicas.Replicas()
    seen = observe(backends)
    found = instance(stand_in)._replace(born=7)
    box = mailbox.Mailbox()
    if call == "send":
        options = interfaces.SendOptions()
        backends.send(found, REQUEST, 1.0, options, box)
    elif call == "prefill":
        backends.prefill(found, REQUEST, 1.0, box)
    elif call == "reserve":
        backends.reserve(found, 10, 1.0)
    else:
        backends.release_reservation(found, "hold-1")
    is_answer = call in ("send", "prefill")
    assert seen == [
        interfaces.Notice(found.id, 7, True, 0.0, is_answer=is_answer)
    ]


@pytest.mark.parametrize(
    "text, limit",
    [("3.4", 3.4), ("0", 0.0), ("-1", None), ("nan", None), ("inf", None),
     ("1e9", None), ("many", None), ("", None)],
)  # fmt: skip
def test_named_limit_is_decoded(text, limit):
    stand_in = platform_replica.Replica()
    stand_in.extra_headers = (("Server-Limit", text),)
    backends = replicas.Replicas()
    seen = observe(backends)
    options, box = interfaces.SendOptions(), mailbox.Mailbox()
    backends.send(instance(stand_in), REQUEST, 1.0, options, box)
    assert [each.limit for each in seen] == [limit]


def test_a_reservation_that_is_turned_away_states_the_pause():
    stand_in = platform_replica.Replica("decode")
    stand_in.memory = 0
    stand_in.extra_headers = (("Retry-After", "1.5"),)
    backends = replicas.Replicas()
    seen = observe(backends)
    found = backends.reserve(instance(stand_in), 10, 1.0)
    assert found.pause_s == 1.5
    assert [each.pause_s for each in seen] == [1.5]


# REFUSED and TWICE of issue 30: an earlier refusal was written once more.
def test_refusal_that_is_written_twice_answers_no_other_request():
    listener = socket.create_server(("127.0.0.1", 0))
    refusal = platform_replica.encode_json(
        503, {}, (("Hemlockreel-Not-Executed", "1"),)
    )
    served = []

    def serve():
        for number in range(2):
            sock, _ = listener.accept()
            served.append(sock)
            sock.recv(65536)
            answer = b"".join(
                [
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                    b"Hemlockreel-Response-Signature: x\r\n\r\nok",
                ]
            )
            sock.sendall(2 * refusal if number == 0 else answer)

    threading.Thread(target=serve, daemon=True).start()
    port = listener.getsockname()[1]
    found = instances.Instance("i-1", "s", f"127.0.0.1:{port}", "z", 6)
    backends = replicas.Replicas()
    arguments = (found, REQUEST, 1.0, PLAIN, mailbox.Mailbox())
    assert backends.send(*arguments).ran is NOT_RUN
    second = backends.send(*arguments)
    assert (second.status, second.opened.read_body()) == (200, b"ok")
    assert len(served) == 2
    listener.close()
