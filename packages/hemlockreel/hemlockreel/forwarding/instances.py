"""The replicas that register themselves in the platform's store.

An entry that disappears is a replica that has left, or one whose heartbeats
did not reach the store: entries lapse then, and those of replicas that live
are back shortly after. Until then they are still used, for less time than the
platform lets a replica serve after its entry has gone.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

# The platform states that lapsed entries are back about two seconds after the
# store's return, and that nothing may be sent 2 s after a departure is known.
LAPSE_GRACE_S = 1.8
# Of those 2 s, the rest is for a request that was given its place just before.
REMOVAL_GRACE_S = 1.2


class Stage(enum.Enum):
    """What a replica does for a generation."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Instance(NamedTuple):
    """One run of a replica process.

    ``address`` is ``IP:PORT``; ``born`` is the start of the process in Unix
    milliseconds and tells two runs under the same ``id`` apart. A
    ``draining`` replica ends what it runs and gets nothing new.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    stage: Stage = Stage.PLAIN
    born: int = 0


class InstancesListed(NamedTuple):
    """The whole list of replicas was read."""

    instances: tuple[Instance, ...]


class InstancesChanged(NamedTuple):
    """Some entries have changed, and those in ``gone`` have disappeared."""

    instances: tuple[Instance, ...]
    gone: tuple[str, ...]


class StoreUnavailable(NamedTuple):
    """The store does not answer; what is known may be outdated."""


class State:
    """The known replicas by id.

    ``lapsed`` maps the ids of entries that disappeared to the time up to
    which they are used. ``changing`` maps those that were ordered to change
    their stage to the time up to which they run nothing new. ``known`` is set
    by the first list.
    """

    def __init__(self):
        self.has_list = False
        self.instances: dict[str, Instance] = {}
        self.lapsed_until: dict[str, float] = {}
        self.changing_until: dict[str, float] = {}
        self.is_store_unavailable = False
        self.store_returned_at: float | None = None


def usable(
    state: State, service: str, now: float, stage: Stage | None = None
) -> list[Instance]:
    """Returns the replicas of ``service`` that may get a new request."""
    return [
        each
        for each in state.instances.values()
        if each.service == service
        and not each.draining
        and (stage is None or each.stage is stage)
        and state.lapsed_until.get(each.id, now) >= now
        and state.changing_until.get(each.id, now) <= now
    ]


def is_usable(state: State, id: str, now: float) -> bool:
    """Returns whether the replica ``id`` may still get a new request."""
    known = state.instances.get(id)
    return known is not None and known in usable(state, known.service, now)


def mark_changing(state: State, id: str, until: float) -> None:
    """Notes that a replica runs nothing new until it has changed its stage."""
    state.changing_until[id] = until


def apply_list(state: State, event: InstancesListed, now: float) -> list[str]:
    """Takes over a whole list; returns the ids that are no longer used."""
    _mark_store_returned(state, now)
    state.has_list = True
    listed = {each.id: each for each in event.instances}
    missing = [id for id in state.instances if id not in listed]
    gone = _remove(state, missing, now)
    _upsert(state, listed.values())
    return gone


def apply_changes(
    state: State, event: InstancesChanged, now: float
) -> list[str]:
    """Takes over changes; returns the ids that are no longer used."""
    _mark_store_returned(state, now)
    gone = _remove(state, event.gone, now)
    _upsert(state, event.instances)
    return gone


def mark_store_unavailable(state: State) -> None:
    """Notes that the store does not answer."""
    state.is_store_unavailable = True


def remove_expired(state: State, now: float) -> list[str]:
    """Forgets the lapsed entries that did not come back in time."""
    gone = [id for id, until in state.lapsed_until.items() if until < now]
    for id in gone:
        del state.lapsed_until[id]
        state.changing_until.pop(id, None)
        state.instances.pop(id, None)
    return gone


def _mark_store_returned(state: State, now: float) -> None:
    if state.is_store_unavailable:
        state.is_store_unavailable = False
        state.store_returned_at = now


def _upsert(state: State, found: Iterable[Instance]) -> None:
    for each in found:
        known = state.instances.get(each.id)
        if known is None or known.stage is not each.stage:
            state.changing_until.pop(each.id, None)
        state.instances[each.id] = each
        state.lapsed_until.pop(each.id, None)


def _remove(state: State, ids: Iterable[str], now: float) -> list[str]:
    """Removes entries, or keeps them a while where they may have lapsed.

    A replica that was draining is not coming back.
    """
    until = now + REMOVAL_GRACE_S
    if state.store_returned_at is not None:
        until = max(until, state.store_returned_at + LAPSE_GRACE_S)
    gone = []
    for id in ids:
        known = state.instances.get(id)
        if known is None:
            continue
        if not known.draining:
            state.lapsed_until.setdefault(id, until)
            continue
        del state.instances[id]
        state.lapsed_until.pop(id, None)
        gone.append(id)
    return gone
