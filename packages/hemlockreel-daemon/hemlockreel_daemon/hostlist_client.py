"""Client of the platform's list of hosts."""

from typing import Any

import msgspec
import urllib3

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import replicas

PATH = "/v1/hosts"
ENTRY_ROLE = "entry"
ENTRY_SERVICE = "hemlockreel"
NOT_READ = events.HostsListed(None)


class _Host(msgspec.Struct):
    address: str
    service: str
    zone: str
    region: str
    state: str
    role: str


class _Hosts(msgspec.Struct):
    hosts: list[_Host]


class HostListClient:
    """Reads the host list at ``address`` (``IP:PORT``).

    Each read has a connection of its own, since a kept one may be silent for
    good.
    """

    def __init__(self, address: str):
        self._address = address

    def read(self, action: actions.ListHosts) -> events.HostsListed:
        """Returns the list; blocks for ``timeout_s`` at most.

        The hosts are ``None`` when the list could not be read.
        """
        host, _, port = self._address.rpartition(":")
        pool = urllib3.HTTPConnectionPool(host, int(port), retries=False)
        try:
            response = pool.request(
                "GET",
                PATH,
                timeout=urllib3.Timeout(total=action.timeout_s),
                retries=False,
            )
            if response.status != 200:
                return NOT_READ
            listed = msgspec.json.decode(response.data, type=_Hosts)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.DecodeError,
        ):
            return NOT_READ
        finally:
            pool.close()
        return _convert(listed.hosts)


def _convert(hosts: list[_Host]) -> events.HostsListed:
    entries = []
    found = []
    for host in hosts:
        if host.service == ENTRY_SERVICE or host.role == ENTRY_ROLE:
            if host.state == "live":
                entries.append(host.address)
            continue
        replica = _replica(host)
        if replica is not None:
            found.append(replica)
    return events.HostsListed(tuple(found), tuple(entries))


def _replica(host: _Host) -> replicas.Replica | None:
    """Returns the replica, ``None`` for a role that is not known."""
    fields: dict[str, Any] = {
        "address": host.address,
        "service": host.service,
        "zone": host.zone,
        "region": host.region,
    }
    try:
        role = replicas.Role(host.role)
    except ValueError:
        return None
    # A state that is not known is taken as leaving: no new work goes there.
    return replicas.Replica(**fields, role=role, leaving=host.state != "live")
