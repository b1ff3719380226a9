"""The client of the platform's host list."""

import msgspec

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import replicas

from . import http_calls

PATH = "/v1/hosts"
ENTRY_ROLE = "entry"
READ_FAILED = events.HostsListed(None)


class _Host(msgspec.Struct):
    address: str
    service: str
    zone: str
    region: str
    state: str
    role: str


def read(address: str, action: actions.ListHosts) -> events.HostsListed:
    """Reads the list once on a fresh connection.

    The hosts are ``None`` when the list could not be read.
    """
    answer = http_calls.call_json(
        address, "GET", PATH, timeout_s=action.timeout_s
    )
    if isinstance(answer, http_calls.CallFailed) or answer[0] != 200:
        return READ_FAILED
    try:
        hosts = msgspec.convert(answer[1]["hosts"], list[_Host])
    except (msgspec.ValidationError, KeyError, TypeError):
        return READ_FAILED
    entries = [
        host.address
        for host in hosts
        if host.role == ENTRY_ROLE and host.state == "live"
    ]
    found = [_to_replica(host) for host in hosts if _is_replica(host)]
    return events.HostsListed(tuple(found), tuple(entries))


def _is_replica(host: _Host) -> bool:
    """Tells whether the host has a role that this version knows."""
    return host.role in {role.value for role in replicas.Role}


def _to_replica(host: _Host) -> replicas.Replica:
    return replicas.Replica(
        host.address,
        host.service,
        host.zone,
        host.region,
        replicas.Role(host.role),
        # A state that is not known is taken as leaving: nothing new goes
        # there.
        host.state != "live",
    )
