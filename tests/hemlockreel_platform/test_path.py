"""Tests a real daemon end to end against the platform's stand-ins."""

import contextlib
import signal
import socket
import threading

import pytest

from hemlockreel_standins import platform_replica
from hemlockreel_standins import platform_site
from hemlockreel_standins import processes

MODEL = {"Hemlockreel-Model": "m", "Hemlockreel-Token-Counts": "1460,80"}
# The order of equally good replicas is random, so requests are sent until one
# has reached the replica that breaks its stream.
MAX_ATTEMPTS = 64
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    with platform_site.Site(tmp_path_factory.mktemp("site")) as started:
        yield started


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
    """Sends raw bytes; returns all bytes received until the close."""
    host, _, port = site.daemons[0].listen["frontend"].rpartition(":")
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.sendall(data)
        received = b""
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                received += part
        return received


REQUEST_HEAD = (
    b"GET /lookups/1 HTTP/1.1\r\nHost: kayak.example\r\n"
    b"Hemlockreel-Request-Id: 9c41\r\nHemlockreel-Deadline-Ms: 2000\r\n"
)


def test_plain_request_is_forwarded(site):
    status, headers, body = send(site, "GET", "/lookups/1?q=%20x")
    assert (status, body) == (200, b"the answer")
    assert headers["Hemlockreel-Response-Signature"] == (
        platform_replica.SIGNATURE
    )
    (arrival,) = site.plain.runs()
    assert arrival.target == "/lookups/1?q=%20x"
    assert arrival.headers["hemlockreel-target-instance"] == "i-plain"


def test_completion_runs_prefill_and_decode(site):
    status, _, body = send(site, "POST", "/drafts/1", MODEL)
    assert (status, body) == (200, EVENTS)
    assert len(site.prefill.runs()) == 1
    (decode,) = site.decode.runs()
    source = decode.headers["hemlockreel-kv-source"]
    assert source.startswith(f"{site.prefill.address}/handle-")
    assert decode.headers["hemlockreel-kv-hold"].startswith("hold-")


def test_completion_without_kv_memory_is_refused_with_retry_after(site):
    site.decode.memory = 100
    status, headers, _ = send(site, "POST", "/drafts/1", MODEL)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not site.prefill.runs()


def test_broken_stream_resumes_at_another_replica(site):
    site.register("i-other", site.other, "drafter")
    site.other.arrivals.clear()
    site.decode.mode = "cut_stream"
    site.decode.memory = 10**6
    try:
        for number in range(MAX_ATTEMPTS):
            status, _, body = send(site, "POST", "/drafts/1", MODEL)
            assert (status, body) == (200, EVENTS)
            if number >= 7 and site.decode.runs():
                break
        resumed = [
            each.headers.get("last-event-id") for each in site.other.runs()
        ]
        assert resumed.count("3") == len(site.decode.runs()) > 0
    finally:
        # A removed entry stays in use for a grace time, so the replica
        # drains first and the next test does not meet it.
        leaving = site.other.entry("drafter", platform_site.ZONE, "draining")
        site.store.put("servers", "i-other", leaving)
        site.store.remove("servers", "i-other")
        processes.await_that(
            lambda: site.daemons[0].lines("replica_gone"), 2.0, "known as gone"
        )


def test_disconnect_of_caller_cancels_its_request(site):
    site.decode.event_gap_s = 0.3
    address = site.daemons[0].listen["frontend"]
    connection = processes.connect(address)
    connection.request(
        "POST",
        "/drafts/1",
        headers={
            "Host": platform_site.HOST,
            "Hemlockreel-Request-Id": "gone",
            **MODEL,
        },
    )
    assert connection.getresponse().read1(10)
    connection.close()
    assert site.decode.closed_early.wait(2.0)


def test_non_idempotent_request_that_may_have_run_is_not_retried(site):
    site.plain.mode = "no_bytes"
    status, _, _ = send(site, "POST", "/deposits/1")
    assert status == 502
    assert len(site.plain.runs()) == 1


def test_non_idempotent_request_that_did_not_run_is_refused_with_retry_after(
    site,
):
    site.plain.mode = "not_run"
    status, headers, _ = send(site, "POST", "/deposits/1")
    assert status == 503
    assert "Retry-After" in headers


def test_unknown_path_is_not_found(site):
    assert send(site, "GET", "/nowhere/1")[0] == 404


def test_head_over_size_limit_is_refused(site):
    received = exchange(
        site, REQUEST_HEAD + b"X-Long: " + b"x" * 20000 + b"\r\n\r\n"
    )
    assert received.startswith(b"HTTP/1.1 413")
    assert not site.plain.runs()


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: no\r\n\r\n",
    ],
)
def test_ambiguous_framing_is_refused_and_connection_closed(site, lines):
    received = exchange(site, REQUEST_HEAD + lines + REQUEST_HEAD + b"\r\n")
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert not site.plain.runs()


def test_pipelined_requests_get_responses_in_order(site):
    other = REQUEST_HEAD.replace(b"9c41", b"9c42")
    closing = b"Connection: close\r\n\r\n"
    received = exchange(site, REQUEST_HEAD + b"\r\n" + other + closing)
    assert received.index(b": 9c41") < received.index(b": 9c42")


def test_new_configuration_takes_effect(site):
    changed = platform_site.configuration(version=5)
    route = {**changed["routes"][2], "path_prefix": "/added/", "name": "add"}
    site.store.put(
        "config", "main", {**changed, "routes": [*changed["routes"], route]}
    )
    processes.await_that(
        lambda: send(site, "GET", "/added/1")[0] == 200, 2.0, "in force"
    )


def test_draining_replica_gets_no_requests(site):
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


def test_directory_returns_addresses(site):
    daemon = site.daemons[0]
    received = processes.get(
        daemon.listen["directory"],
        f"/api/resolve?name=h&region=r&zone={platform_site.ZONE}",
    )
    assert received["addresses"] == [daemon.listen["frontend"]]
    assert received["ttl_s"] == 2.0


def test_metrics_are_served(site):
    send(site, "GET", "/lookups/1")
    text = processes.HTTP.request(
        "GET", f"http://{site.daemons[0].operators}/metrics"
    ).data.decode()
    assert "hemlockreel_request_seconds_bucket" in text
    assert 'hemlockreel_requests_total{kind="forwarded"' in text


def test_status_and_readiness_are_served(site):
    received = processes.get(site.daemons[0].operators, "/status")
    assert received["version"] >= 1
    replicas = {each["id"]: each for each in received["replicas"]}
    assert replicas["i-prefill"]["stage"] == "prefill"
    assert replicas["i-plain"]["usable"]
    assert processes.get_status(site.daemons[0].operators, "/readyz") == 200


def test_each_request_is_logged(site):
    send(site, "GET", "/lookups/1")
    received = site.daemons[0].lines("request_ended")[-1]
    assert received["request_id"] == "9c41d07be2a35f68"
    assert (received["route"], received["outcome"]) == ("lookups", "answered")
    assert received["tried"] == ["i-plain"]


def test_drain_finishes_running_stream(tmp_path):
    with platform_site.Site(tmp_path) as site:
        site.decode.event_gap_s = 0.2
        daemon = site.daemons[0]
        received = []
        caller = threading.Thread(
            target=lambda: received.append(
                send(site, "POST", "/drafts/1", MODEL)
            )
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
        assert received[0][0] == 200
        assert received[0][2] == EVENTS
        assert daemon.process.wait(10.0) == 0
        assert daemon.lines("stopped")


def test_settings_are_reloaded_on_sighup(site):
    daemon = site.daemons[0]
    daemon.process.send_signal(signal.SIGHUP)
    processes.await_that(lambda: daemon.lines("reloaded"), 2.0, "reloaded")
