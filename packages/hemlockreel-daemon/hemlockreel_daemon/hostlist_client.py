"""The client of the platform's host list."""

import msgspec

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import replicas

from . import http_calls

PATH = "/v1/hosts"
ENTRY_ROLE = "entry"
READ_FAILED = events.HostListRead(None)


class _Host(msgspec.Struct):
    address: str
    service: str
    zone: str
    region: str
    state: str
    role: str


def read(address: str, action: actions.ReadHostList) -> events.HostListRead:
    """Reads the list once on a new connection.

    The event's hosts are ``None`` if the list could not be read.
    """
    result = http_calls.call_json(
        address, "GET", PATH, timeout_s=action.timeout_s
    )
    if isinstance(result, http_calls.CallFailed) or result[0] != 200:
        return READ_FAILED
    try:
        hosts = msgspec.convert(result[1]["hosts"], list[_Host])
    except (msgspec.ValidationError, KeyError, TypeError):
        return READ_FAILED
    entries = [
        host.address
        for host in hosts
        if host.role == ENTRY_ROLE and host.state == "live"
    ]
    backend_servers = [
        _to_replica(host) for host in hosts if _is_replica(host)
    ]
    return events.HostListRead(tuple(backend_servers), tuple(entries))


def _is_replica(host: _Host) -> bool:
    """Returns whether the host's role is one that this version supports."""
    return host.role in {role.value for role in replicas.Role}


def _to_replica(host: _Host) -> replicas.Replica:
    return replicas.Replica(
        host.address,
        host.service,
        host.zone,
        host.region,
        replicas.Role(host.role),
        # An unknown state counts as leaving, so that the host receives no
        # new requests.
        host.state != "live",
    )
