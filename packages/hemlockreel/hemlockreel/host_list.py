"""The platform's host list: which replicas live, and which are leaving.

Two daemons of a region read the list each second, each on connections of
its own, and pass what changes on as a feed. A replica counts as live only
if all recent readings agree on it, so one reader that sees it leaving is
enough everywhere, whatever an older reading said.
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

FEED_PREFIX = "hosts/"
READ_PERIOD_S = 1.0
JITTER = 0.3  # share of the period
SPREAD_S = 5.0  # a reading so much older than the newest does not count


class State:
    """The replicas of the own region, and when a source agreed with them.

    ``replicas`` is replaced, never changed. ``own`` is the last reading of
    this daemon itself.
    """

    def __init__(self):
        self.replicas: dict[str, replicas.Replica] = {}
        self.read_at: float | None = None
        self.own = replication.Feed()
        self.reading = False
        self.tried = False
        self.started_at: float | None = None
        self.next_read = 0.0


def get(board: boards.Board, service: str) -> list[replicas.Replica]:
    """Returns the known replicas of ``service`` in this daemon's region."""
    region = board.identity.region
    return [
        replica
        for replica in board.state(State).replicas.values()
        if replica.service == service and replica.region == region
    ]


def age(board: boards.Board, now: float) -> float:
    """Returns the age of the list in seconds, infinite before the first."""
    read_at = board.state(State).read_at
    return float("inf") if read_at is None else now - read_at


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Takes over what feeds have brought; all other events do nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    _refresh(board, now)
    if now < state.next_read or state.reading:
        return
    # A new daemon reads once for itself, whoever else does.
    if state.tried and _rank(board, now) is None:
        return
    jitter = JITTER * (board.rng.random() - 1)
    state.next_read = now + READ_PERIOD_S * (1 + jitter)
    state.reading = True
    yield actions.ReadHostList()


def _rank(board: boards.Board, now: float) -> int | None:
    """Returns this daemon's place among the readers of the list."""
    state = board.state(State)
    known_at = state.started_at if state.read_at is None else state.read_at
    age_s = 0.0 if known_at is None else now - known_at
    return readers.rank(board, FEED_PREFIX, age_s, now)


@handle.register
def _listed(
    event: events.HostListRead, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.reading = False
    state.tried = True
    if event.hosts is None:
        yield actions.Count("host_list_failures")
        return
    wanted = {
        replica.address: _plain(replica)
        for replica in event.hosts
        if replica.region == board.identity.region
    }
    known = state.own.document
    if not known.version or documents.values(known) != wanted:
        known = documents.change(known, wanted, known.version + 1)
        state.own.document = known
    state.own.read_at = now
    if _rank(board, now) is not None:
        identity = board.identity
        name = f"{FEED_PREFIX}{identity.host}/{identity.epoch}"
        yield from replication.publish(board, name, known, now, read_at=now)
        next_readers = readers.successors(board, FEED_PREFIX)
        yield from replication.tell(board, name, next_readers, now)
    _refresh(board, now)


@handle.register
def _updated(
    event: messages.FeedUpdate | messages.FeedOffer,
    board: boards.Board,
    now: float,
) -> Iterable[actions.Action]:
    _refresh(board, now)
    return ()


def _plain(replica: replicas.Replica) -> dict[str, Any]:
    return {
        "service": replica.service,
        "zone": replica.zone,
        "role": replica.role.value,
        "leaving": replica.leaving,
    }


def _refresh(board: boards.Board, now: float) -> None:
    """Makes the list anew from the readings that count."""
    state = board.state(State)
    readings = [
        feed
        for feed in (state.own, *replication.find(board, FEED_PREFIX).values())
        if feed.document.version and feed.read_at is not None
    ]
    if not readings:
        return
    newest = max(feed.read_at or 0.0 for feed in readings)
    counted = [
        documents.values(feed.document)
        for feed in readings
        if (feed.read_at or 0.0) >= newest - SPREAD_S
    ]
    state.read_at = max(newest, state.read_at or newest)
    found = combine(counted, board.identity.region)
    if found != state.replicas:
        state.replicas = found


def combine(
    readings: list[dict[str, Any]], region: str
) -> dict[str, replicas.Replica]:
    """Returns the replicas of several readings of the list.

    One that is missing or leaving in any reading, or differs between them,
    is leaving.
    """
    found = {}
    for address in sorted({name for reading in readings for name in reading}):
        told = [reading.get(address) for reading in readings]
        known = next(value for value in told if value is not None)
        agreed = all(value == known for value in told)
        found[address] = _replica(address, region, known, not agreed)
    return found


def _replica(
    address: str, region: str, value: Mapping[str, Any], doubtful: bool
) -> replicas.Replica:
    return replicas.Replica(
        address,
        value["service"],
        value["zone"],
        region,
        replicas.Role(value["role"]),
        doubtful or value["leaving"],
    )
