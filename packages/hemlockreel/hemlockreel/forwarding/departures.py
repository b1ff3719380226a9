"""Remembers which runs of replicas have left or say that they will.

A replica's own word and a removal that this host has seen outlast the list: a
store that was restored from an older copy lists replicas that left since.
"""

from collections.abc import Container
import enum
from typing import NamedTuple

# An entry without heartbeats is removed after three of them, some 4 s. So one
# that a restored list still shows after this time belongs to a live replica.
WITHHELD_S = 6.0
RETENTION_S = 60.0  # a copy that is restored is some seconds old


class Departure(NamedTuple):
    """A run of a replica, started at ``born``, that leaves or has left.

    ``has_said_so`` is set if the replica itself stated it in a response.
    """

    born: int
    at: float
    has_said_so: bool = False


class Shown(enum.Enum):
    """How an entry of the list is shown to those who select replicas."""

    AS_LISTED = "as_listed"
    LEAVING = "leaving"
    WITHHELD = "withheld"


def judge(
    departed: Departure | None,
    born: int,
    is_draining: bool,
    was_draining: bool,
    is_restored: bool,
) -> Shown:
    """Returns how to show an entry of the run ``born`` of a replica.

    ``was_draining`` is what this host knew before, and ``is_restored`` is set
    if the entry comes from a copy that may be older than that.
    """
    is_same_run = departed is not None and departed.born == born
    if is_same_run and departed.has_said_so:
        return Shown.LEAVING
    if not is_restored or is_draining:
        return Shown.AS_LISTED
    if was_draining:
        return Shown.LEAVING
    return Shown.WITHHELD if is_same_run else Shown.AS_LISTED


def record(
    departed: dict[str, Departure], id: str, born: int, now: float
) -> None:
    """Records that the run ``born`` of the replica ``id`` is gone."""
    known = departed.get(id)
    has_said_so = (
        known is not None and known.born == born and known.has_said_so
    )
    departed[id] = Departure(born, now, has_said_so)


def forget_old(
    departed: dict[str, Departure], listed: Container[str], now: float
) -> None:
    """Drops records of replicas that are not listed any more.

    By then no restored list can contradict them.
    """
    for id in [
        id
        for id, each in departed.items()
        if now - each.at > RETENTION_S and id not in listed
    ]:
        del departed[id]
