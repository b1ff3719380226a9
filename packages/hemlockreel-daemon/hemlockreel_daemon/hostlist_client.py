"""The client of the platform's host list."""

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import replicas

from . import http_calls


def read(address: str, action: actions.ListHosts) -> events.HostsListed:
    """Reads the list once on a fresh connection."""
    answer = http_calls.call_json(
        address, "GET", "/v1/hosts", timeout_s=action.timeout_s
    )
    if isinstance(answer, http_calls.Failed) or answer[0] != 200:
        return events.HostsListed(None)
    hosts = []
    entries = []
    for item in answer[1]["hosts"]:
        if item["role"] == "entry":
            entries.append(item["address"])
        else:
            hosts.append(_replica(item))
    return events.HostsListed(tuple(hosts), tuple(entries))


def _replica(item: dict) -> replicas.Replica:
    return replicas.Replica(
        item["address"],
        item["service"],
        item["zone"],
        item["region"],
        replicas.Role(item["role"]),
        item["state"] == "leaving",
    )
