"""The replicas that register themselves in the platform's store.

An entry disappears when its replica has left, or when it expires because the
store was unavailable and missed heartbeats. The entry of a running replica
then returns shortly after the store. Until then the replica stays in use, for
less time than the platform lets a replica serve after its entry is removed.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

# According to the platform, expired entries are back about 2 s after the store
# returns, and nothing may be sent to a replica 2 s after its departure is
# known.
LAPSE_GRACE_S = 1.8
# The rest of the 2 s is for a request whose replica was selected just before.
REMOVAL_GRACE_S = 1.2


class Stage(enum.Enum):
    """What a replica does for a model request; ``PLAIN`` has no model."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Instance(NamedTuple):
    """One run of a replica process.

    ``address`` is ``IP:PORT``. ``born`` is the start of the process in Unix
    milliseconds and distinguishes two runs with the same ``id``. A
    ``draining`` replica finishes its requests and gets no new ones.
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
    """The full list of replicas was read."""

    instances: tuple[Instance, ...]


class InstancesChanged(NamedTuple):
    """Some entries have changed, and those in ``removed`` were removed."""

    instances: tuple[Instance, ...]
    removed: tuple[str, ...]


class StoreUnavailable(NamedTuple):
    """The store doesn't respond, so the known list may be outdated."""


class State:
    """The known replicas by id.

    ``has_list`` is set by the first full list. ``lapsed_until`` maps the ids
    of removed entries to the time until which their replicas stay in use,
    ``changing_until`` those of replicas that change their stage to the time
    until which they get no new requests. ``store_returned_at`` is the time of
    the first response after the last outage of the store.
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
    """Returns the replicas of ``service`` that may get new requests."""
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
    """Returns whether the replica ``id`` may get new requests."""
    known = state.instances.get(id)
    return known is not None and known in usable(state, known.service, now)


def mark_changing(state: State, id: str, until: float) -> None:
    """Excludes a replica until ``until`` or until its new stage is listed."""
    state.changing_until[id] = until


def apply_list(state: State, event: InstancesListed, now: float) -> list[str]:
    """Applies a full list; returns the ids that are no longer in use."""
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
    """Applies changes; returns the ids that are no longer in use."""
    _mark_store_returned(state, now)
    gone = _remove(state, event.removed, now)
    _upsert(state, event.instances)
    return gone


def mark_store_unavailable(state: State) -> None:
    """Records that the store doesn't respond."""
    state.is_store_unavailable = True


def remove_expired(state: State, now: float) -> list[str]:
    """Removes the entries whose grace has ended; returns their ids."""
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
    """Removes entries, after a grace where they may have expired.

    A draining replica has left for good and is removed at once.
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
