"""Waits until written objects are in force at all daemons.

The daemons write the accepted document, and a status for each region that
says how many members have it in force.
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


class Force(NamedTuple):
    """Where the accepted document is in force.

    ``missing`` tells in words what is not there yet.
    """

    generation: int
    members: int
    regions: int
    missing: str = ""


def wait(
    client: store.Client, versions: Mapping[str, int], seconds: float
) -> Force:
    """Waits until the objects of ``versions`` are in force everywhere.

    Raises :class:`errors.UserError` when one is rejected, or when it takes
    more than ``seconds``.
    """
    end = time.monotonic() + seconds
    while True:
        found = client.list(["accepted", "status"])
        force = Force(0, 0, 0, "the store can't be read")
        if isinstance(found, results.Listing):
            force = check(found, versions)
        if not force.missing:
            return force
        if time.monotonic() >= end:
            raise errors.UserError(
                f"written, but not in force after {seconds:g} s: "
                f"{force.missing}",
                errors.ExitCode.NOT_IN_FORCE,
            )
        time.sleep(POLL_S)


def check(found: results.Listing, versions: Mapping[str, int]) -> Force:
    """Returns how far the objects of ``versions`` are in force.

    Raises :class:`errors.UserError` when one of them is rejected.
    """
    accepted = references.get_accepted(found.items)
    values = documents.values(accepted)
    for item in values.get(acceptance.REJECTED) or []:
        key = acceptance.object_key(item["kind"], item["name"])
        if key in versions and item["version"] >= versions[key]:
            raise errors.UserError(
                f"{key} was written and is rejected by the daemons, what "
                f"was in force stays: {item['reason']}",
                errors.ExitCode.NOT_IN_FORCE,
            )
    waiting = sorted(
        key
        for key, version in versions.items()
        if values.get(key, {"version": 0})["version"] < version
    )
    if waiting:
        return Force(0, 0, 0, f"not accepted yet: {', '.join(waiting)}")
    regions = [
        item.value
        for item in found.items
        if item.kind == "status" and item.name.startswith(STATUS_PREFIX)
    ]
    behind = [
        _describe(region)
        for region in regions
        if not _has(region, accepted.version)
    ]
    if not regions:
        behind = ["no region has reported"]
    members = sum(region["members"] for region in regions)
    return Force(accepted.version, members, len(regions), ", ".join(behind))


def _has(region: dict[str, Any], generation: int) -> bool:
    return (
        region["generation"] >= generation
        and region["in_force"] == region["members"]
    )


def _describe(region: dict[str, Any]) -> str:
    named = ", ".join(sorted(region["behind"]))
    text = (
        f"{region['region']} has generation {region['generation']} on "
        f"{region['in_force']} of {region['members']} daemons"
    )
    return f"{text}, behind: {named}" if named else text
