"""The whole path with a real daemon against the platform's stand-ins."""

import contextlib
import signal
import socket
import threading

import pytest

from hemlockreel_standins import platform_replica
from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

MODEL = {"Hemlockreel-Model": "m", "Hemlockreel-Token-Counts": "1460,80"}
# The order of replicas that are equal is random, so a request is sent until
# one has met the replica that breaks off.
MOST_TRIES = 64
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with platform_site.Site(tmp_path_factory.mktemp("site")) as made:
        yield made


@pytest.fixture
def site(shared):
    shared.plain.mode, shared.plain.status = "whole", 200
    shared.prefill.mode = "whole"
    shared.decode.mode = "stream"
    shared.decode.event_gap_s = 0.01
    shared.decode.memory = 100_000
    for each in (shared.plain, shared.prefill, shared.decode):
        each.arrivals.clear()
        each.closed_early.clear()
    return shared


def send(site, method, path, headers=None):
    address = site.daemons[0].listen["frontend"]
    return platform_site.send(address, method, path, headers or {})


def exchange(site, data):
    """Sends raw bytes; returns all that comes back."""
    host, _, port = site.daemons[0].listen["frontend"].rpartition(":")
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.sendall(data)
        found = b""
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                found += part
        return found


HEAD = (
    b"GET /lookups/1 HTTP/1.1\r\nHost: kayak.example\r\n"
    b"Hemlockreel-Request-Id: 9c41\r\nHemlockreel-Deadline-Ms: 2000\r\n"
)


def test_a_plain_request(site):
    status, headers, body = send(site, "GET", "/lookups/1?q=%20x")
    assert (status, body) == (200, b"the answer")
    assert headers["Hemlockreel-Response-Signature"] == (
        platform_replica.SIGNATURE
    )
    (arrival,) = site.plain.runs()
    assert arrival.target == "/lookups/1?q=%20x"
    assert arrival.headers["hemlockreel-target-instance"] == "i-plain"


def test_a_completion_goes_over_both_stages(site):
    status, _, body = send(site, "POST", "/drafts/1", MODEL)
    assert (status, body) == (200, EVENTS)
    assert len(site.prefill.runs()) == 1
    (decode,) = site.decode.runs()
    source = decode.headers["hemlockreel-kv-source"]
    assert source.startswith(f"{site.prefill.address}/handle-")
    assert decode.headers["hemlockreel-kv-hold"].startswith("hold-")


def test_a_completion_without_memory_is_refused_with_a_time(site):
    site.decode.memory = 100
    status, headers, _ = send(site, "POST", "/drafts/1", MODEL)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not site.prefill.runs()


def test_a_stream_that_breaks_goes_on_elsewhere(site):
    site.register("i-other", site.other, "drafter")
    site.other.arrivals.clear()
    site.decode.mode = "cut_stream"
    site.decode.memory = 10**6
    try:
        for number in range(MOST_TRIES):
            status, _, body = send(site, "POST", "/drafts/1", MODEL)
            assert (status, body) == (200, EVENTS)
            if number >= 7 and site.decode.runs():
                break
        resumed = [
            each.headers.get("last-event-id") for each in site.other.runs()
        ]
        assert resumed.count("3") == len(site.decode.runs()) > 0
    finally:
        # An entry that disappears without notice is used for a moment.
        leaving = site.other.entry("drafter", platform_site.ZONE, "draining")
        site.store.put("servers", "i-other", leaving)
        site.store.remove("servers", "i-other")
        processes.await_that(
            lambda: site.daemons[0].lines("replica_gone"), 2.0, "known as gone"
        )


def test_the_end_of_a_caller_ends_its_run(site):
    site.decode.event_gap_s = 0.3
    address = site.daemons[0].listen["frontend"]
    link = processes.connect(address)
    link.request(
        "POST",
        "/drafts/1",
        headers={
            "Host": platform_site.HOST,
            "Hemlockreel-Request-Id": "gone",
            **MODEL,
        },
    )
    assert link.getresponse().read1(10)
    link.close()
    assert site.decode.closed_early.wait(2.0)


def test_an_unsafe_request_that_may_have_run_is_not_sent_again(site):
    site.plain.mode = "no_bytes"
    status, _, _ = send(site, "POST", "/deposits/1")
    assert status == 502
    assert len(site.plain.runs()) == 1


def test_an_unsafe_request_that_did_not_run_is_refused_as_such(site):
    site.plain.mode = "not_run"
    status, headers, _ = send(site, "POST", "/deposits/1")
    assert status == 503
    assert "Retry-After" in headers


def test_an_unknown_path(site):
    assert send(site, "GET", "/nowhere/1")[0] == 404


def test_a_head_over_the_limit(site):
    found = exchange(site, HEAD + b"X-Long: " + b"x" * 20000 + b"\r\n\r\n")
    assert found.startswith(b"HTTP/1.1 413")
    assert not site.plain.runs()


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: no\r\n\r\n",
    ],
)
def test_a_smuggled_request_is_refused_and_nothing_after_it_is_read(
    site, lines
):
    found = exchange(site, HEAD + lines + HEAD + b"\r\n")
    assert found.startswith(b"HTTP/1.1 400")
    assert found.count(b"HTTP/1.1") == 1
    assert not site.plain.runs()


def test_two_requests_on_one_connection_get_their_own_answers(site):
    other = HEAD.replace(b"9c41", b"9c42")
    closing = b"Connection: close\r\n\r\n"
    found = exchange(site, HEAD + b"\r\n" + other + closing)
    assert found.index(b": 9c41") < found.index(b": 9c42")


def test_a_new_configuration_is_in_force_soon(site):
    changed = platform_site.configuration(version=5)
    route = {**changed["routes"][2], "path_prefix": "/added/", "name": "add"}
    site.store.put(
        "config", "main", {**changed, "routes": [*changed["routes"], route]}
    )
    processes.await_that(
        lambda: send(site, "GET", "/added/1")[0] == 200, 2.0, "in force"
    )


def test_a_draining_replica_gets_nothing(site):
    site.store.put(
        "servers",
        "i-plain",
        site.plain.entry("bookings", platform_site.ZONE, "draining"),
    )
    processes.await_that(
        lambda: send(site, "GET", "/lookups/1")[0] == 503, 2.0, "left out"
    )
    site.register("i-plain", site.plain, "bookings")
    processes.await_that(
        lambda: send(site, "GET", "/lookups/1")[0] == 200, 2.0, "back"
    )


def test_addresses(site):
    daemon = site.daemons[0]
    found = processes.get(
        daemon.listen["directory"],
        f"/api/resolve?name=h&region=r&zone={platform_site.ZONE}",
    )
    assert found["addresses"] == [daemon.listen["frontend"]]
    assert found["ttl_s"] == 2.0


def test_metrics(site):
    send(site, "GET", "/lookups/1")
    text = processes.HTTP.request(
        "GET", f"http://{site.daemons[0].operators}/metrics"
    ).data.decode()
    assert "hemlockreel_request_seconds_bucket" in text
    assert 'hemlockreel_requests_total{kind="forwarded"' in text


def test_status(site):
    found = processes.get(site.daemons[0].operators, "/status")
    assert found["version"] >= 1
    replicas = {each["id"]: each for each in found["replicas"]}
    assert replicas["i-prefill"]["stage"] == "prefill"
    assert replicas["i-plain"]["usable"]
    assert processes.get_status(site.daemons[0].operators, "/readyz") == 200


def test_each_request_has_a_line_in_the_log(site):
    send(site, "GET", "/lookups/1")
    found = site.daemons[0].lines("request_ended")[-1]
    assert found["request_id"] == "9c41d07be2a35f68"
    assert (found["route"], found["outcome"]) == ("lookups", "answered")
    assert found["tried"] == ["i-plain"]


def test_a_planned_stop_cuts_nothing(tmp_path):
    with platform_site.Site(tmp_path) as site:
        site.decode.event_gap_s = 0.2
        daemon = site.daemons[0]
        found = []
        caller = threading.Thread(
            target=lambda: found.append(send(site, "POST", "/drafts/1", MODEL))
        )
        caller.start()
        processes.await_that(site.decode.runs, 5.0, "the stream runs")
        daemon.process.send_signal(signal.SIGTERM)
        processes.await_that(
            lambda: not daemon.is_ready(), 2.0, "no longer ready"
        )
        status, headers, _ = send(site, "GET", "/lookups/1")
        assert (status, headers["Connection"]) == (200, "close")
        caller.join()
        assert found[0][0] == 200
        assert found[0][2] == EVENTS
        assert daemon.process.wait(10.0) == 0
        assert daemon.lines("stopped")


def test_settings_are_read_again(site):
    daemon = site.daemons[0]
    daemon.process.send_signal(signal.SIGHUP)
    processes.await_that(lambda: daemon.lines("reloaded"), 2.0, "reloaded")
