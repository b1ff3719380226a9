"""The platform's host list: which replicas exist, and which are leaving.

Two daemons of a region (:mod:`readers`) read the list each second, each on
connections of its own, and publish their readings as replicated documents. A
replica counts as live only if all recent readings agree on it. So it is
leaving for every daemon as soon as one reader sees it leaving, even if an
older reading says otherwise.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
from typing import Any

from . import actions
from . import board as boards
from . import documents
from . import events
from . import messages
from . import readers
from . import replicas
from . import replication

DOCUMENT_PREFIX = "hosts/"
READ_PERIOD_S = 1.0
JITTER = 0.3  # share of the period
# Readings that are older than the newest by more than this are ignored.
MAX_READING_LAG_S = 5.0


class State:
    """The replicas of the own region, by address.

    ``replicas`` is replaced, never changed in place. ``confirmed_at`` is the
    time of the newest reading by any daemon. ``own_reading`` is the last
    reading of this daemon itself; ``has_read`` is set after its first attempt.
    """

    def __init__(self):
        self.replicas: dict[str, replicas.Replica] = {}
        self.confirmed_at: float | None = None
        self.own_reading = replication.DocumentCopy()
        self.read_pending = False
        self.has_read = False
        self.started_at: float | None = None
        self.next_read = 0.0


def replicas_of(board: boards.Board, service: str) -> list[replicas.Replica]:
    """Returns the replicas of ``service`` in this daemon's region."""
    region = board.identity.region
    return [
        replica
        for replica in board.state(State).replicas.values()
        if replica.service == service and replica.region == region
    ]


def reading_age_s(board: boards.Board, now: float) -> float:
    """Returns the age of the newest reading in seconds, infinite if none."""
    confirmed_at = board.state(State).confirmed_at
    return float("inf") if confirmed_at is None else now - confirmed_at


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Reads the list and combines readings; ignores all other events."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    _combine_readings(board, now)
    if now < state.next_read or state.read_pending:
        return
    # A new daemon reads once, even if it is not one of the readers.
    if state.has_read and _reader_rank(board, now) is None:
        return
    jitter = JITTER * (board.rng.random() - 1)
    state.next_read = now + READ_PERIOD_S * (1 + jitter)
    state.read_pending = True
    yield actions.ReadHostList()


def _reader_rank(board: boards.Board, now: float) -> int | None:
    """Returns this daemon's rank among the readers, ``None`` if it is none."""
    state = board.state(State)
    known_at = (
        state.started_at if state.confirmed_at is None else state.confirmed_at
    )
    age_s = 0.0 if known_at is None else now - known_at
    return readers.reader_rank(board, DOCUMENT_PREFIX, age_s, now)


@handle.register
def _host_list_read(
    event: events.HostListRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.read_pending = False
    state.has_read = True
    if event.hosts is None:
        yield actions.Count("host_list_failures")
        return
    wanted = {
        replica.address: _to_plain(replica)
        for replica in event.hosts
        if replica.region == board.identity.region
    }
    known = state.own_reading.document
    if not known.version or documents.values(known) != wanted:
        known = documents.with_values(known, wanted, known.version + 1)
        state.own_reading.document = known
    state.own_reading.confirmed_at = now
    if _reader_rank(board, now) is not None:
        identity = board.identity
        name = f"{DOCUMENT_PREFIX}{identity.host}/{identity.epoch}"
        yield from replication.publish(
            board, name, known, now, confirmed_at=now
        )
        next_readers = readers.successors(board, DOCUMENT_PREFIX)
        yield from replication.send_version(board, name, next_readers, now)
    _combine_readings(board, now)


@handle.register
def _document_received(
    event: messages.DocumentUpdate | messages.DocumentOffer,
    board: boards.Board,
    now: float,
) -> Iterable[actions.Action]:
    _combine_readings(board, now)
    return ()


def _to_plain(replica: replicas.Replica) -> dict[str, Any]:
    return {
        "service": replica.service,
        "zone": replica.zone,
        "role": replica.role.value,
        "leaving": replica.leaving,
    }


def _combine_readings(board: boards.Board, now: float) -> None:
    """Rebuilds the replicas from all recent readings."""
    state = board.state(State)
    readings = [
        copy
        for copy in (
            state.own_reading,
            *replication.find_copies(board, DOCUMENT_PREFIX).values(),
        )
        if copy.document.version and copy.confirmed_at is not None
    ]
    if not readings:
        return
    newest = max(copy.confirmed_at or 0.0 for copy in readings)
    counted = [
        documents.values(copy.document)
        for copy in readings
        if (copy.confirmed_at or 0.0) >= newest - MAX_READING_LAG_S
    ]
    state.confirmed_at = max(newest, state.confirmed_at or newest)
    found = combine(counted, board.identity.region)
    if found != state.replicas:
        state.replicas = found


def combine(
    readings: list[dict[str, Any]], region: str
) -> dict[str, replicas.Replica]:
    """Returns the replicas, by address, that any of ``readings`` lists.

    A replica counts as leaving if any reading lacks it or lists it as
    leaving, or if the readings differ on it.
    """
    found = {}
    for address in sorted({name for reading in readings for name in reading}):
        values = [reading.get(address) for reading in readings]
        known = next(value for value in values if value is not None)
        readings_agree = all(value == known for value in values)
        found[address] = _replica(address, region, known, not readings_agree)
    return found


def _replica(
    address: str, region: str, value: Mapping[str, Any], readings_differ: bool
) -> replicas.Replica:
    return replicas.Replica(
        address,
        value["service"],
        value["zone"],
        region,
        replicas.Role(value["role"]),
        readings_differ or value["leaving"],
    )
