"""Which hosts read the store, and how the others learn what was read.

Each call to the store has a price and counts against its rate. In a large
fleet some hosts watch the store and pass on what changes, and confirm now and
then that nothing else has. A host that hears no confirmation that it can use
reads for itself, whatever the reason: no message is needed to find out that a
reader is dead, cut off, or has a store that does not answer.

What is passed on of the replicas is applied as it is. A new deployment is
only announced, and each host reads it from the store.
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
from . import active_deployment
from . import instance_updates
from . import instances

# Up to so many hosts each reads for itself: the messages to all others cost
# as much as the calls that they save.
MAX_SMALL_FLEET_HOSTS = 32
READER_COUNT = 4  # so that one confirmation in time is likely while some fail
READER_WATCH_S = (
    1.0  # of a reader in a large fleet; what it confirms is no older
)
CONFIRM_PERIOD_S = 0.5
# Since the last confirmation. With the time of a call after it, it is within
# the platform's stability_ms of 4 s.
CONFIRMATION_TIMEOUT_S = 2.2


class ObjectKind(enum.Enum):
    """What is read from the store."""

    DEPLOYMENT = "deployment"
    INSTANCES = "instances"


_KINDS_BY_VALUE = {kind.value: kind for kind in ObjectKind}


class StoreRead(NamedTuple):
    """The store has answered: all is read up to the revision ``at``.

    ``changed`` and ``gone`` are the replicas that have changed since the last
    answer. With ``whole`` all objects were read, and ``changed`` holds all
    replicas among them.
    """

    kind: ObjectKind
    revision: int
    is_complete: bool
    changed: tuple[instances.Instance, ...] = ()
    removed: tuple[str, ...] = ()


class ReadPlan(NamedTuple):
    """What the thread that reads a kind is to do.

    It goes on from the revision ``at``, if that is further than it has read
    itself. ``watch_s`` is ``None`` for as long as it would watch alone.
    """

    reads_store: bool = True
    from_revision: int = 0
    watch_s: float | None = None


class ReadState(NamedTuple):
    """How far a kind is known here.

    ``last_change_revision`` is a revision up to which it is read, and after which
    nothing has changed up to ``at``. ``read_at`` is the time of the
    store's last answer to this host, ``confirmed_at`` that of the last answer to
    another one that confirmed what is known here. ``behind`` says that there
    is more to read.
    """

    revision: int = 0
    last_change_revision: int = 0
    read_at: float = -math.inf
    confirmed_at: float = -math.inf
    is_behind: bool = False


class State:
    """What is known of each kind, and when it is next confirmed to others.

    ``large`` and ``readers`` follow from the members at ``table_version``.
    """

    def __init__(self):
        self.read_states = {kind: ReadState() for kind in ObjectKind}
        self.next_confirmation_at = 0.0
        self.is_large = False
        self.readers: tuple[str, ...] = ()
        self.members_version = -1
        self.reads_store = dict.fromkeys(ObjectKind, True)


def is_reader(board: boards.Board) -> bool:
    """Returns whether this host reads for others."""
    state = _refresh(board)
    return state.is_large and board.identity.host in state.readers


def _refresh(board: boards.Board) -> State:
    """Returns the state, brought up to date with the members."""
    state = board.state(State)
    version = membership.table(board).version
    if state.members_version != version:
        state.members_version = version
        reachable = membership.reachable(board)
        usable = [each.host for each in reachable if not each.draining]
        state.is_large = len(reachable) > MAX_SMALL_FLEET_HOSTS
        state.readers = tuple(rendezvous.rank("store", usable)[:READER_COUNT])
    return state


def read_plan(board: boards.Board, kind: ObjectKind, now: float) -> ReadPlan:
    """Returns what the thread that reads ``kind`` is to do."""
    state = _refresh(board)
    known = state.read_states[kind]
    if not state.is_large:
        return ReadPlan(True, known.revision)
    if is_reader(board):
        return ReadPlan(True, known.revision, READER_WATCH_S)
    is_unconfirmed = now - known.confirmed_at > CONFIRMATION_TIMEOUT_S
    return ReadPlan(is_unconfirmed or known.is_behind, known.revision)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles answers of the store and what others read."""
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
    for kind, known in state.read_states.items():
        if now - known.read_at <= CONFIRMATION_TIMEOUT_S:
            yield from _broadcast(board, kind, known.last_change_revision, now)


def _log_read_plan(
    board: boards.Board, kind: ObjectKind, reads: bool, now: float
) -> actions.Log:
    known = board.state(State).read_states[kind]
    fields = {
        "kind": kind.value,
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
    state = board.state(State)
    before = state.read_states[event.kind]
    changed, gone = event.changed, event.removed
    if event.kind is ObjectKind.INSTANCES:
        if event.revision < before.revision:
            # It was on its way while another host told of newer changes.
            return
        if event.is_complete:
            changed, gone = _diff_with_list(board, changed)
            yield from instance_updates.handle(
                instances.InstancesListed(event.changed), board, now
            )
        elif changed or gone:
            changes = instances.InstancesChanged(changed, gone)
            yield from instance_updates.handle(changes, board, now)
    has_changes = event.is_complete or changed or gone
    known = before._replace(
        revision=max(before.revision, event.revision),
        read_at=now,
        is_behind=False,
    )
    if has_changes:
        known = known._replace(last_change_revision=event.revision)
    state.read_states[event.kind] = known
    if not has_changes or not is_reader(board):
        return
    # Who has read all up to the change before misses nothing but this one.
    base = before.last_change_revision or known.last_change_revision
    yield from _broadcast(board, event.kind, base, now, changed, gone)


def _diff_with_list(
    board: boards.Board, listed: tuple[instances.Instance, ...]
) -> tuple[tuple[instances.Instance, ...], tuple[str, ...]]:
    """Returns what a whole list changes here, and which ids it lacks."""
    known = board.state(instances.State).instances
    ids = {each.id for each in listed}
    changed = tuple(each for each in listed if known.get(each.id) != each)
    return changed, tuple(id for id in known if id not in ids)


def _broadcast(
    board: boards.Board,
    kind: ObjectKind,
    base: int,
    now: float,
    changed: tuple[instances.Instance, ...] = (),
    gone: tuple[str, ...] = (),
) -> Iterable[actions.Action]:
    known = board.state(State).read_states[kind]
    message = messages.ListRead(
        **board.signature,
        kind=kind.value,
        at=known.revision,
        base=base,
        age_s=now - known.read_at,
        version=membership.table(board).configuration,
        changed=list(changed),
        gone=list(gone),
    )
    yield from membership.send_all(board, message)


@handle.register
def _list_read_by_other(
    event: messages.ListRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Takes over what another host has read, if nothing before is missing."""
    state = board.state(State)
    kind = _KINDS_BY_VALUE.get(event.kind)
    if kind is None or is_reader(board):
        return
    known = state.read_states[kind]
    if not known.revision:
        return
    if kind is ObjectKind.DEPLOYMENT:
        found = active_deployment.current(board)
        own = found.version if found else 0
        if event.version != own:
            is_behind = known.is_behind or event.version > own
            state.read_states[kind] = known._replace(is_behind=is_behind)
            return
    elif known.revision < event.base:
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
    state.read_states[kind] = known._replace(
        revision=max(known.revision, event.at),
        last_change_revision=max(
            known.last_change_revision, last_change_revision
        ),
        confirmed_at=max(known.confirmed_at, now - event.age_s),
    )
