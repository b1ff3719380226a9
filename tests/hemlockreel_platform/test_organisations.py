"""Tests of organisations and keys: what is decoded, told and left out."""

import pytest

from hemlockreel_platform import callers
from hemlockreel_platform import documents

from hemlockreel.forwarding import organisations
from hemlockreel_daemon.forwarding import interfaces

ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/a/",
    "kind": "idempotent",
    "timeout_ms": 1000,
    "service": "s",
}
TENANT = {
    "name": "huka270",
    "api_keys": ["first-key", "second-key"],
    "priority": 1,
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 1000,
    "burst_size": 500,
}


def decode(*tenants, **route):
    return documents.decode_deployment(
        {
            "version": 7,
            "routes": [{**ROUTE, **route}],
            "services": [{"name": "s"}],
            "tenants": list(tenants),
        }
    )


def test_tenants_are_decoded_without_their_keys():
    found = decode(TENANT, public_access=True)
    (held,) = found.organisations
    assert (held.name, held.priority) == ("huka270", 1)
    assert held.cap == organisations.UsageCap(
        1000.0, 500.0, organisations.Unit.TOKENS, 200
    )
    assert held.key_digests[1] == organisations.digest("second-key")
    assert found.routes[0].is_open
    assert "first-key" not in repr(found)


def test_cap_may_be_left_out():
    found = decode({"name": "a", "api_keys": ["k"]}).organisations[0]
    assert not found.cap.is_limited
    assert found.priority is None


@pytest.mark.parametrize(
    "tenants, place",
    [
        ([TENANT, {**TENANT, "name": "b"}], "$.tenants[1].api_keys[0]"),
        ([TENANT, {"name": "huka270"}], "$.tenants[1].name"),
        ([{**TENANT, "name": "a\nb"}], "$.tenants[0].name"),
        ([{**TENANT, "api_keys": [" "]}], "$.tenants[0].api_keys[0]"),
        ([{**TENANT, "unit": "bytes"}], "$.tenants[0].unit"),
        ([{**TENANT, "rate_per_s": -1}], "$.tenants[0].rate_per_s"),
        ([{**TENANT, "burst_size": -1}], "$.tenants[0].burst_size"),
    ],
)
def test_wrong_tenant_is_named_without_its_key(tenants, place):
    with pytest.raises(documents.MalformedObject) as error:
        decode(*tenants)
    assert place in str(error.value)
    assert "first-key" not in str(error.value)


def decode_request(*lines):
    head = interfaces.Head(
        "GET",
        "/a/b",
        (("Host", "h.example"), ("Hemlockreel-Request-Id", "9c"), *lines),
    )
    return callers.Callers().decode(head, b"")


def test_key_and_tenant_of_a_caller_are_not_forwarded():
    request = decode_request(
        ("Hemlockreel-Credential", "first-key"),
        ("hemlockreel-tenant-id", "other"),
    )
    assert request.key_digest == organisations.digest("first-key")
    assert "first-key" not in repr(request)
    assert [name for name, _ in request.headers] == [
        "Host",
        "Hemlockreel-Request-Id",
    ]
    assert decode_request().key_digest == b""


def test_two_different_keys_are_refused():
    found = decode_request(
        ("Hemlockreel-Credential", "first-key"),
        ("Hemlockreel-Credential", "second-key"),
    )
    assert found.status == 400
    assert "first-key" not in found.message
