"""Distributes store updates from a few reader hosts to all others.

Each call to the store has a price and counts against its rate limit. In a
large fleet only a few hosts, the readers, watch the store. They broadcast the
changes and confirm periodically that there were no others. A host that
receives no usable confirmation for a while reads the store itself. It needs
no other signal that a reader is dead, unreachable or without access to the
store.

Changes of replicas are applied as received. A new version of the deployment
is only announced, and each host reads it from the store.

After the store was restored from an older copy, its list is read in full by
the readers. They broadcast what it changes for a host that knew what they
knew before; all others read it themselves.
"""

from collections.abc import Iterable
import enum
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from .. import rendezvous
from .. import store_era
from . import active_deployment
from . import instance_updates
from . import instances

# Up to this many hosts each host reads for itself: in a small fleet the
# broadcasts cost as much as the calls that they save.
MAX_SMALL_FLEET_HOSTS = 32
READER_COUNT = 4  # one confirmation is likely in time while some fail
READER_WATCH_S = 1.0  # bounds the age of what a reader confirms
CONFIRM_PERIOD_S = 0.5
# After this time without a confirmation a host reads the store itself. The
# timeout and the call after it stay within the platform's stability_ms of 4 s.
CONFIRMATION_TIMEOUT_S = 2.2


class ObjectKind(enum.Enum):
    """The kinds of objects that are read from the store."""

    DEPLOYMENT = "deployment"
    INSTANCES = "instances"


_KINDS_BY_VALUE = {kind.value: kind for kind in ObjectKind}


class StoreRead(NamedTuple):
    """The store has responded with the objects up to ``revision`` of ``era``.

    ``changed`` and ``removed`` are the replicas that were changed or removed
    since the last response. If ``is_complete``, all objects were read and
    ``changed`` holds all replicas.
    """

    kind: ObjectKind
    revision: int
    is_complete: bool
    changed: tuple[instances.Instance, ...] = ()
    removed: tuple[str, ...] = ()
    era: int = 0


class ReadPlan(NamedTuple):
    """What the thread that reads one kind does next.

    It watches from ``from_revision``, unless it has read further itself in
    the same ``era``. With the revision 0, nothing of that era is known and a
    full read comes first. ``watch_s`` is the length of a watch, ``None`` for
    the default of a host that reads only for itself.
    """

    reads_store: bool = True
    from_revision: int = 0
    watch_s: float | None = None
    era: int = 0


class Position(NamedTuple):
    """How far the objects were known in an earlier era.

    The fields are those of :class:`ReadState`.
    """

    era: int
    revision: int
    last_change_revision: int


class ReadState(NamedTuple):
    """How far this host knows one kind of objects.

    Everything up to ``revision`` of ``era`` is known; the revision is 0 if
    nothing is. ``earlier`` is what was known in the era before, until
    something is known in this one. Nothing has changed after
    ``last_change_revision``. ``read_at`` is the time of the store's last
    response to this host, ``confirmed_at`` that of the last response to a
    reader that confirmed the objects known here. ``is_behind`` is set when a
    newer version was announced that is not read yet.
    """

    revision: int = 0
    last_change_revision: int = 0
    read_at: float = -math.inf
    confirmed_at: float = -math.inf
    is_behind: bool = False
    era: int = 0
    earlier: Position | None = None


class State:
    """The read state of each kind and the time of the next confirmation.

    ``is_large`` and ``readers`` are derived from the member table at
    ``members_version``. ``reads_store`` holds the last logged plan by kind.
    """

    def __init__(self):
        self.read_states = {kind: ReadState() for kind in ObjectKind}
        self.next_confirmation_at = 0.0
        self.is_large = False
        self.readers: tuple[str, ...] = ()
        self.members_version = -1
        self.reads_store = dict.fromkeys(ObjectKind, True)


def is_reader(board: boards.Board) -> bool:
    """Returns whether this host reads the store for others."""
    state = _refresh(board)
    return state.is_large and board.identity.host in state.readers


def _refresh(board: boards.Board) -> State:
    """Returns the state, updated if the member table has changed."""
    state = board.state(State)
    version = membership.table(board).version
    if state.members_version != version:
        state.members_version = version
        reachable = membership.reachable_members(board)
        usable = [each.host for each in reachable if not each.draining]
        state.is_large = len(reachable) > MAX_SMALL_FLEET_HOSTS
        state.readers = tuple(rendezvous.rank("store", usable)[:READER_COUNT])
    return state


def read_plan(board: boards.Board, kind: ObjectKind, now: float) -> ReadPlan:
    """Returns what the thread that reads ``kind`` does next."""
    state = _refresh(board)
    known = _known(board, kind)
    plan = ReadPlan(from_revision=known.revision, era=known.era)
    if not state.is_large:
        return plan
    if is_reader(board):
        return plan._replace(watch_s=READER_WATCH_S)
    is_unconfirmed = now - known.confirmed_at > CONFIRMATION_TIMEOUT_S
    return plan._replace(reads_store=is_unconfirmed or known.is_behind)


def _known(board: boards.Board, kind: ObjectKind) -> ReadState:
    """Returns how far ``kind`` is known in the current era of the store."""
    state = board.state(State)
    known = state.read_states[kind]
    era = store_era.current(board)
    if known.era == era:
        return known
    earlier = known.earlier
    if known.revision:
        earlier = Position(
            known.era, known.revision, known.last_change_revision
        )
    # The last confirmation still counts, so that a host gives the readers
    # time to read the restored list before it does so itself.
    state.read_states[kind] = ReadState(
        confirmed_at=known.confirmed_at, era=era, earlier=earlier
    )
    return state.read_states[kind]


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles responses of the store and broadcasts of readers."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for kind in ObjectKind:
        reads = read_plan(board, kind, now).reads_store
        if reads != state.reads_store[kind]:
            state.reads_store[kind] = reads
            yield _log_read_plan(board, kind, reads, now)
    if now < state.next_confirmation_at:
        return
    state.next_confirmation_at = now + CONFIRM_PERIOD_S
    if not is_reader(board):
        return
    for kind in ObjectKind:
        known = _known(board, kind)
        if now - known.read_at <= CONFIRMATION_TIMEOUT_S:
            yield from _broadcast(board, kind, known.last_change_revision, now)


def _log_read_plan(
    board: boards.Board, kind: ObjectKind, reads: bool, now: float
) -> actions.Log:
    known = _known(board, kind)
    fields = {
        "kind": kind.value,
        "era": known.era,
        "at": known.revision,
        "behind": known.is_behind,
        "heard_s": round(now - max(known.confirmed_at, 0.0), 2),
    }
    return actions.Log(
        "store_read_here" if reads else "store_read_by_others", fields
    )


@handle.register
def _store_read(
    event: StoreRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from store_era.observe(board, event.era, now)
    state = board.state(State)
    before = _known(board, event.kind)
    is_restored = before.earlier is not None
    if event.era < before.era or (is_restored and not event.is_complete):
        # Changes since a revision of an earlier era say nothing about a
        # restored list, even if the store accepts that revision.
        yield from _drop_outdated(event.kind, event.era, before, now)
        return
    changed, gone = event.changed, event.removed
    if event.kind is ObjectKind.INSTANCES:
        if event.revision < before.revision:
            # A newer broadcast arrived while this response was in flight.
            return
        if event.is_complete:
            changed, gone = _diff_with_list(board, changed)
            listed = instances.InstancesListed(event.changed, is_restored)
            yield from instance_updates.handle(listed, board, now)
        elif changed or gone:
            changes = instances.InstancesChanged(changed, gone)
            yield from instance_updates.handle(changes, board, now)
    has_changes = event.is_complete or changed or gone
    known = before._replace(
        revision=max(before.revision, event.revision),
        read_at=now,
        is_behind=False,
        earlier=None,
    )
    if has_changes:
        known = known._replace(last_change_revision=event.revision)
    state.read_states[event.kind] = known
    if not has_changes or not is_reader(board):
        return
    # A host that has everything up to the previous change lacks only this
    # one.
    base = before.last_change_revision or known.last_change_revision
    base_era = None
    if before.earlier is not None:
        base = before.earlier.last_change_revision
        base_era = before.earlier.era
    yield from _broadcast(
        board, event.kind, base, now, changed, gone, base_era
    )


def _drop_outdated(
    kind: ObjectKind, era: int, known: ReadState, now: float
) -> Iterable[actions.Action]:
    """Logs that something was read of another era than ``known``."""
    yield actions.Count("store_news_outdated")
    last_s = now - max(known.read_at, known.confirmed_at)
    fields = {"kind": kind.value, "of_era": era, "era": known.era}
    if math.isfinite(last_s):
        fields["known_age_s"] = round(last_s, 2)
    yield actions.Log("store_news_outdated", fields)


def _diff_with_list(
    board: boards.Board, listed: tuple[instances.Instance, ...]
) -> tuple[tuple[instances.Instance, ...], tuple[str, ...]]:
    """Returns the replicas that a full list changes, and the ids it lacks.

    A removed replica that is still in its grace counts as not known.
    """
    state = board.state(instances.State)
    ids = {each.id for each in listed}
    changed = tuple(
        each
        for each in listed
        if state.instances.get(each.id) != each
        or each.id in state.lapsed_until
    )
    return changed, tuple(id for id in state.instances if id not in ids)


def _broadcast(
    board: boards.Board,
    kind: ObjectKind,
    base: int,
    now: float,
    changed: tuple[instances.Instance, ...] = (),
    gone: tuple[str, ...] = (),
    base_era: int | None = None,
) -> Iterable[actions.Action]:
    known = _known(board, kind)
    message = messages.ListRead(
        **board.sender_fields,
        kind=kind.value,
        at=known.revision,
        base=base,
        age_s=now - known.read_at,
        version=membership.table(board).configuration,
        changed=list(changed),
        gone=list(gone),
        era=known.era,
        base_era=base_era,
    )
    yield from membership.broadcast(board, message)


@handle.register
def _list_read_by_other(
    event: messages.ListRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Applies what a reader has read, unless an earlier change is missing."""
    state = board.state(State)
    kind = _KINDS_BY_VALUE.get(event.kind)
    if kind is None or is_reader(board):
        return
    yield from store_era.observe(board, event.era, now)
    known = _known(board, kind)
    if event.era < known.era:
        yield from _drop_outdated(kind, event.era, known, now)
        return
    if known.earlier is not None:
        yield from _apply_restored(event, board, kind, now)
        return
    if not known.revision:
        return
    if kind is ObjectKind.DEPLOYMENT:
        found = active_deployment.current(board)
        own = found.version if found else 0
        if event.version != own:
            is_behind = known.is_behind or event.version > own
            state.read_states[kind] = known._replace(is_behind=is_behind)
            return
    elif event.base_era is not None or known.revision < event.base:
        # The list of another reader right after a restore is relative to the
        # state before it, so here it only confirms what is known.
        if event.at <= known.revision:
            state.read_states[kind] = _confirm(known, event, now)
            return
        yield actions.Count("store_news_missed")
        return
    elif event.at > known.revision and (event.changed or event.gone):
        changes = instances.InstancesChanged(
            tuple(event.changed), tuple(event.gone)
        )
        yield from instance_updates.handle(changes, board, now)
    last_change_revision = (
        event.at if event.changed or event.gone else event.base
    )
    known = _confirm(known, event, now)
    state.read_states[kind] = known._replace(
        revision=max(known.revision, event.at),
        last_change_revision=max(
            known.last_change_revision, last_change_revision
        ),
    )


def _confirm(
    known: ReadState, event: messages.ListRead, now: float
) -> ReadState:
    """Returns ``known``, confirmed by what another host has read."""
    return known._replace(
        confirmed_at=max(known.confirmed_at, now - event.age_s)
    )


def _apply_restored(
    event: messages.ListRead,
    board: boards.Board,
    kind: ObjectKind,
    now: float,
) -> Iterable[actions.Action]:
    """Applies the first list of an era that a reader has read.

    It is usable only if this host knew exactly what the reader knew in the
    era before. Otherwise this host reads the list itself.
    """
    state = board.state(State)
    known = _known(board, kind)
    earlier = known.earlier
    if kind is ObjectKind.DEPLOYMENT:
        # The deployment in force doesn't depend on the era.
        found = active_deployment.current(board)
        if event.version != (found.version if found else 0):
            return
    elif (
        event.base_era != earlier.era
        or not earlier.last_change_revision <= event.base <= earlier.revision
    ):
        yield actions.Count("store_news_missed")
        return
    else:
        changes = instances.InstancesChanged(
            tuple(event.changed), tuple(event.gone), True
        )
        yield from instance_updates.handle(changes, board, now)
    state.read_states[kind] = _confirm(known, event, now)._replace(
        revision=event.at, last_change_revision=event.at, earlier=None
    )
