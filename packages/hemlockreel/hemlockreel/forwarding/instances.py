"""The replicas that register themselves in the platform's store.

An entry disappears when its replica has left, or when it expires because the
store was unavailable and missed heartbeats. The entry of a running replica
then returns shortly after the store. Until then the replica stays in use, for
less time than the platform lets a replica serve after its entry is removed.

A store that was restored from an older copy shows the entries of replicas that
have left since. So this host remembers who left, and :mod:`departures` decides
what a restored list may bring back.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

from . import departures

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
    ``software`` is the version of its software.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    stage: Stage = Stage.PLAIN
    born: int = 0
    software: str = ""


class InstancesListed(NamedTuple):
    """The full list of replicas was read.

    ``is_restored`` is set for the first list of a store that was restored.
    """

    instances: tuple[Instance, ...]
    is_restored: bool = False


class InstancesChanged(NamedTuple):
    """Some entries have changed, and those in ``removed`` were removed.

    ``is_restored`` is set for the differences of a restored list to the one
    before the restore.
    """

    instances: tuple[Instance, ...]
    removed: tuple[str, ...]
    is_restored: bool = False


class LeavingStated(NamedTuple):
    """The run ``born`` of the replica ``id`` has stated that it leaves."""

    id: str
    born: int


class StoreUnavailable(NamedTuple):
    """The store doesn't respond, so the known list may be outdated."""


class State:
    """The known replicas by id.

    ``has_list`` is set by the first full list. ``lapsed_until`` maps the ids
    of removed entries to the time until which their replicas stay in use,
    ``changing_until`` those of replicas that change their stage to the time
    until which they get no new requests. ``store_returned_at`` is the time of
    the first response after the last outage of the store, or after it was
    restored. ``departed`` holds the replicas that have left or say that they
    will, ``withheld`` the entries of a restored list that are not believed
    yet and the time at which they will be.
    """

    def __init__(self):
        self.has_list = False
        self.instances: dict[str, Instance] = {}
        self.lapsed_until: dict[str, float] = {}
        self.changing_until: dict[str, float] = {}
        self.is_store_unavailable = False
        self.store_returned_at: float | None = None
        self.departed: dict[str, departures.Departure] = {}
        self.withheld: dict[str, tuple[Instance, float]] = {}


def remaining(state: State, service: str, now: float) -> list[Instance]:
    """Returns the replicas of ``service`` that don't leave.

    Some of them may be changing their stage.
    """
    return [
        each
        for each in state.instances.values()
        if each.service == service
        and not each.draining
        and state.lapsed_until.get(each.id, now) >= now
    ]


def usable(
    state: State, service: str, now: float, stage: Stage | None = None
) -> list[Instance]:
    """Returns the replicas of ``service`` that may get new requests."""
    return [
        each
        for each in remaining(state, service, now)
        if (stage is None or each.stage is stage)
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
    _mark_store_returned(state, event.is_restored, now)
    state.has_list = True
    listed = {each.id: each for each in event.instances}
    missing = [id for id in state.instances if id not in listed]
    state.withheld = {
        id: each for id, each in state.withheld.items() if id in listed
    }
    gone = _remove(state, missing, now)
    _upsert(state, listed.values(), event.is_restored, now)
    return gone


def apply_changes(
    state: State, event: InstancesChanged, now: float
) -> list[str]:
    """Applies changes; returns the ids that are no longer in use."""
    _mark_store_returned(state, event.is_restored, now)
    gone = _remove(state, event.removed, now)
    _upsert(state, event.instances, event.is_restored, now)
    return gone


def has_said_so(state: State, instance: Instance) -> bool:
    """Returns whether this run of a replica has stated that it leaves."""
    known = state.departed.get(instance.id)
    return (
        known is not None and known.has_said_so and known.born == instance.born
    )


def mark_leaving(state: State, id: str, born: int, now: float) -> bool:
    """Records that a run of a replica says that it leaves.

    Returns whether that is news. The run gets no new requests from now on,
    whatever the list shows.
    """
    known = state.departed.get(id)
    if known is not None and known.has_said_so and known.born >= born:
        return False
    state.departed[id] = departures.Departure(born, now, has_said_so=True)
    found = state.instances.get(id)
    if found is not None and found.born == born:
        state.instances[id] = found._replace(draining=True)
    return True


def mark_store_unavailable(state: State) -> None:
    """Records that the store doesn't respond."""
    state.is_store_unavailable = True


def remove_expired(state: State, now: float) -> list[str]:
    """Removes the entries whose grace has ended; returns their ids.

    Entries of a restored list are added once they were withheld long enough.
    """
    gone = [id for id, until in state.lapsed_until.items() if until < now]
    for id in gone:
        del state.lapsed_until[id]
        _drop(state, id, now)
    believed = [id for id, (_, at) in state.withheld.items() if at <= now]
    _upsert(state, [state.withheld.pop(id)[0] for id in believed], False, now)
    departures.forget_old(state.departed, state.instances, now)
    return gone


def _mark_store_returned(state: State, is_restored: bool, now: float) -> None:
    if state.is_store_unavailable or is_restored:
        state.is_store_unavailable = False
        state.store_returned_at = now


def _drop(state: State, id: str, now: float) -> None:
    """Removes a replica and remembers that its run has left."""
    state.changing_until.pop(id, None)
    known = state.instances.pop(id, None)
    if known is not None:
        departures.record(state.departed, id, known.born, now)


def _upsert(
    state: State, found: Iterable[Instance], is_restored: bool, now: float
) -> None:
    for each in found:
        known = state.instances.get(each.id)
        departed = state.departed.get(each.id)
        was_draining = (
            known is not None and known.draining and known.born == each.born
        )
        shown = departures.judge(
            departed, each.born, each.draining, was_draining, is_restored
        )
        if shown is departures.Shown.WITHHELD:
            state.withheld[each.id] = (each, now + departures.WITHHELD_S)
            continue
        state.withheld.pop(each.id, None)
        if shown is departures.Shown.AS_LISTED:
            state.departed.pop(each.id, None)
        if known is None or known.stage is not each.stage:
            state.changing_until.pop(each.id, None)
        is_leaving = shown is departures.Shown.LEAVING
        state.instances[each.id] = each._replace(
            draining=each.draining or is_leaving
        )
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
        state.withheld.pop(id, None)
        known = state.instances.get(id)
        if known is None:
            continue
        if not known.draining:
            state.lapsed_until.setdefault(id, until)
            continue
        _drop(state, id, now)
        state.lapsed_until.pop(id, None)
        gone.append(id)
    return gone
