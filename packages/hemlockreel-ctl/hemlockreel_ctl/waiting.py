"""Waits until written objects are in force at all daemons.

The daemons merge the objects into the accepted document, and write for each
region a status with the number of its members that have the document in force.
"""

from collections.abc import Mapping
import time
from typing import Any
from typing import NamedTuple

from hemlockreel import acceptance
from hemlockreel import documents

from . import errors
from . import references
from . import results
from . import store

POLL_S = 0.2
STATUS_PREFIX = "configuration-"


class InForceStatus(NamedTuple):
    """Where the accepted document is in force.

    ``members`` counts the daemons of the ``regions`` that have reported.
    ``pending`` describes what is not in force yet, and is empty if all is.
    """

    generation: int
    members: int
    regions: int
    pending: str = ""


def wait_until_in_force(
    client: store.Client, versions: Mapping[str, int], timeout_s: float
) -> InForceStatus:
    """Waits until the objects of ``versions`` are in force everywhere.

    Raises :class:`errors.UserError` if an object is rejected or if they are
    not in force after ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        listing = client.list(["accepted", "status"])
        status = InForceStatus(0, 0, 0, "the store can't be read")
        if isinstance(listing, results.Listing):
            status = check_in_force(listing, versions)
        if not status.pending:
            return status
        if time.monotonic() >= deadline:
            raise errors.UserError(
                f"written, but not in force after {timeout_s:g} s: "
                f"{status.pending}",
                errors.ExitCode.NOT_IN_FORCE,
            )
        time.sleep(POLL_S)


def check_in_force(
    listing: results.Listing, versions: Mapping[str, int]
) -> InForceStatus:
    """Returns where the objects of ``versions`` are in force.

    ``versions`` maps an object's key to its written version.

    Raises :class:`errors.UserError` if one of them is rejected.
    """
    accepted = references.get_accepted(listing.items)
    values = documents.values(accepted)
    for item in values.get(acceptance.REJECTED) or []:
        key = acceptance.object_key(item["kind"], item["name"])
        if key in versions and item["version"] >= versions[key]:
            raise errors.UserError(
                f"{key} was written and is rejected by the daemons, what "
                f"was in force stays: {item['reason']}",
                errors.ExitCode.NOT_IN_FORCE,
            )
    not_accepted = sorted(
        key
        for key, version in versions.items()
        if values.get(key, {"version": 0})["version"] < version
    )
    if not_accepted:
        return InForceStatus(
            0, 0, 0, f"not accepted yet: {', '.join(not_accepted)}"
        )
    regions = [
        item.value
        for item in listing.items
        if item.kind == "status" and item.name.startswith(STATUS_PREFIX)
    ]
    behind = [
        _describe_lag(region)
        for region in regions
        if not _is_in_force(region, accepted.version)
    ]
    if not regions:
        behind = ["no region has reported"]
    members = sum(region["members"] for region in regions)
    return InForceStatus(
        accepted.version, members, len(regions), ", ".join(behind)
    )


def _is_in_force(region: dict[str, Any], generation: int) -> bool:
    return (
        region["generation"] >= generation
        and region["in_force"] == region["members"]
    )


def _describe_lag(region: dict[str, Any]) -> str:
    hosts_behind = ", ".join(sorted(region["behind"]))
    text = (
        f"{region['region']} has generation {region['generation']} on "
        f"{region['in_force']} of {region['members']} daemons"
    )
    return f"{text}, behind: {hosts_behind}" if hosts_behind else text
