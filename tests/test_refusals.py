"""Tests promise 2: no request refused as not run has run, for each path."""

import json

import pytest

from hemlockreel_standins import processes
from hemlockreel_standins import raw_caller

POOL = {
    "service": "lesar",
    "model": "lesar-7b",
    "max_output_tokens": 64,
    "max_prompt_tokens": 1000,
}
ROUTES = {
    "orders": {
        "service": "ordrebok",
        "prefix": "/orders",
        "max_body_bytes": 1000,
        "timeout_ms": 500,
    },
    "strict": {
        "service": "ordrebok",
        "prefix": "/strict",
        "key_required": True,
    },
    "nobody": {"service": "nobody", "prefix": "/nobody"},
    "dead": {"service": "dead", "prefix": "/dead"},
}
JSON = "Content-Type: application/json"
GOOD = {"model": "lesar-7b", "prompt": "alloy"}


@pytest.fixture(scope="module")
def hosts():
    with processes.Deployment("midt-norge") as deployment:
        deployment.engines = [
            deployment.add_replica("lesar", "trondheim-a", role)
            for role in ("prefill", "decode")
        ]
        deployment.plain = deployment.add_replica(
            "ordrebok", "trondheim-a", "plain"
        )
        dead = deployment.add_replica("dead", "trondheim-a", "plain")
        deployment.apply("modelpools", "lesar", POOL)
        for name, value in ROUTES.items():
            deployment.apply("routes", name, value)
        deployment.add_daemon("trondheim-a").await_ready()
        dead.kill()
        yield deployment


@pytest.fixture
def faults(hosts):
    def put(**given):
        processes.put(hosts.plain.address, "/_faults", given)

    yield put
    processes.HTTP.request("DELETE", f"http://{hosts.plain.address}/_faults")


def runs(deployment):
    """Returns the ids of all requests in the journals."""
    return {
        run["request_id"]
        for server in (deployment.plain, *deployment.engines)
        for run in processes.get(server.address, "/_journal")["runs"]
    }


def exchange(deployment, line, headers=(), body=b"", half_close=False):
    """Sends a raw request; returns status, header lines and body."""
    given = [line, "Host: x", "Connection: close", *headers]
    data = "\r\n".join(given).encode("latin-1") + b"\r\n\r\n" + body
    daemon = deployment.daemons[0].callers
    response = raw_caller.exchange_raw(daemon, data, half_close)
    head, _, rest = response.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    return int(lines[0].split()[1]), lines[1:], rest


def completion(value, *headers):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    length = f"Content-Length: {len(body)}"
    return ("POST /v1/completions HTTP/1.1", (*headers, length), body)


def post(path, body=b"{}", *headers):
    length = f"Content-Length: {len(body)}"
    return (f"POST {path} HTTP/1.1", (JSON, length, *headers), body)


LONG = "x" * 4001
CHUNKED = "Transfer-Encoding: chunked"
WRONG_REQUESTS = {
    "bad JSON": (completion(b"{", JSON), 400, "truncated"),
    "not UTF-8": (completion(b'{"model": "\xff"}', JSON), 400, ""),
    "no object": (completion([], JSON), 400, "object"),
    "no prompt": (completion({"model": "m"}, JSON), 400, "prompt"),
    "empty prompt": (completion({**GOOD, "prompt": ""}, JSON), 400, "prompt"),
    "wrong type": (
        completion({**GOOD, "max_tokens": "9"}, JSON),
        400,
        "$.max_tokens",
    ),
    "negative length": (
        completion({**GOOD, "max_tokens": -1}, JSON),
        400,
        "$.max_tokens",
    ),
    "unknown class": (completion({**GOOD, "class": "x"}, JSON), 400, "class"),
    "unknown field": (completion({**GOOD, "n": 2}, JSON), 400, "`n`"),
    "unknown model": (
        completion({**GOOD, "model": "other"}, JSON),
        404,
        "other",
    ),
    "prompt too long": (
        completion({**GOOD, "prompt": LONG}, JSON),
        413,
        "1001 tokens",
    ),
    "no content type": (completion(GOOD), 415, "application/json"),
    "wrong content type": (
        completion(GOOD, "Content-Type: text/plain"),
        415,
        "application/json",
    ),
    "completion by GET": (
        ("GET /v1/completions HTTP/1.1",),
        405,
        "POST",
    ),
    "addresses by POST": (post("/v1/addresses"), 405, "GET"),
    "unknown path": (post("/elsewhere"), 404, "/elsewhere"),
    "root path": (("GET / HTTP/1.1",), 404, "/"),
    "near a route": (post("/ordersx"), 404, "/ordersx"),
    "no key": (post("/strict/lots"), 400, "Idempotency-Key"),
    "body over the limit": (post("/orders", b"x" * 1001), 413, "1000"),
    "chunked body over the limit": (
        (
            "POST /orders HTTP/1.1",
            (CHUNKED,),
            b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n",
        ),
        413,
        "1000",
    ),
    "short body": (
        ("POST /orders HTTP/1.1", ("Content-Length: 9",), b"x", True),
        400,
        "shorter",
    ),
    "signed Content-Length": (
        ("POST /orders HTTP/1.1", ("Content-Length: -9",), b"x"),
        400,
        "Content-Length",
    ),
    "broken chunk": (
        ("POST /orders HTTP/1.1", (CHUNKED,), b"zz\r\nx\r\n"),
        400,
        "chunked",
    ),
    "dot segments": (
        ("GET /orders/%2e%2e/strict HTTP/1.1",),
        400,
        "path",
    ),
}


@pytest.mark.parametrize("name", WRONG_REQUESTS)
def test_wrong_request_is_refused_before_any_backend_server(hosts, name):
    request, status, detail = WRONG_REQUESTS[name]
    before = runs(hosts)
    found, _, body = exchange(hosts, *request)
    error = json.loads(body)["error"]
    assert (found, error["ran"]) == (status, "not_run"), error
    assert detail in error["message"]
    assert runs(hosts) == before


@pytest.mark.parametrize("length", ["x", "1, 1"])
def test_malformed_content_length_is_refused(hosts, length):
    before = runs(hosts)
    header = f"Content-Length: {length}"
    status, _, body = exchange(hosts, "POST /orders HTTP/1.1", (header,))
    assert (status, b"Content-Length" in body) == (400, True)
    assert runs(hosts) == before


@pytest.mark.parametrize("path", ["/nobody/x", "/dead/x"])
def test_service_without_a_reachable_server_refuses_as_not_run(hosts, path):
    status, _, body = exchange(hosts, *post(path))
    error = json.loads(body)["error"]
    assert (status >= 500, error["ran"]) == (True, "not_run")
    assert "retry_after_s" in error


@pytest.mark.parametrize(
    ("fault", "method", "ran"),
    [
        ({"reset_before": 9}, "GET", "unknown"),
        ({"reset_after": 9}, "GET", "unknown"),
        ({"wrong_id": 9}, "GET", "unknown"),
        ({"silent": True}, "GET", "unknown"),
        ({"reset_before": 1}, "POST", "unknown"),
        ({"reset_after": 1}, "POST", "unknown"),
        ({"wrong_id": 1}, "POST", "unknown"),
        ({"silent": True}, "POST", "unknown"),
    ],
)
def test_call_that_may_have_run_is_not_reported_as_not_run(
    hosts, faults, fault, method, ran
):
    faults(**fault)
    status, _, body = exchange(hosts, f"{method} /orders/1 HTTP/1.1")
    assert (status >= 500, json.loads(body)["error"]["ran"]) == (True, ran)


def test_call_without_a_key_is_sent_once(hosts, faults):
    faults(reset_after=1)
    before = len(runs(hosts))
    status, _, _ = exchange(hosts, *post("/orders/once"))
    assert status == 502
    assert len(runs(hosts)) == before + 1


def test_idempotent_call_is_sent_again(hosts, faults):
    faults(wrong_id=1)
    status, _, _ = exchange(hosts, "GET /orders/again HTTP/1.1")
    # The only server is excluded from the second attempt.
    assert status == 503


@pytest.mark.parametrize(
    "method", ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH", "POST"]
)
def test_method_path_and_query_are_passed_on(hosts, method):
    target = "/orders/a%20b%2Fc/%ff/?q=%C3%A5&self=1&path=2&q=3"
    status, _, _ = exchange(
        hosts, f"{method} {target} HTTP/1.1", ("Content-Length: 0",)
    )
    run = processes.get(hosts.plain.address, "/_journal")["runs"][-1]
    assert (status, run["method"]) == (200, method)
    assert run["target"] == target


def test_headers_including_repeated_ones_are_passed_on(hosts, faults):
    faults(echo_headers=True)
    sent = ["X-A: 1", "X-A: 2", "Accept: a", "Accept: b", "Cookie: c=1; d=2"]
    _, lines, _ = exchange(hosts, "GET /orders HTTP/1.1", sent)
    names = ("x-a", "accept", "cookie", "set-cookie")
    back = [line for line in lines if line.lower().startswith(names)]
    assert sorted(back) == sorted(
        [*sent, "Set-Cookie: a=1", "Set-Cookie: b=2"]
    )
