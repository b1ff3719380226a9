"""Keeps the versions in service, and who began which stream, in the store.

The recorders of :mod:`stream_versions` keep them, see :mod:`region_records`.
While one version serves, the object is written only as versions come and go.
"""

from collections.abc import Iterable
import functools
from typing import Any

from .. import actions
from .. import board as boards
from .. import events
from . import region_records
from . import stream_versions

KIND = "stream-versions"
# Streams that began in this time before all hosts ended are not known then.
PERIOD_S = 0.5


class State:
    """The record; its content are versions of services, and ids of streams."""

    def __init__(self):
        self.record = region_records.Record(KIND, PERIOD_S)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles responses of the store; all other events yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    record = board.state(State).record
    known = board.state(stream_versions.State)
    known.is_read = record.is_read(board)
    if not record.is_due(now):
        return
    versions = frozenset(known.seen_at)
    streams = _streams_to_keep(known)
    saved_versions = {each for each in record.saved if isinstance(each, tuple)}
    # Streams that have ended are dropped with the next change.
    if (
        known.is_read
        and versions == saved_versions
        and record.saved.issuperset(streams)
    ):
        return
    recorders = stream_versions.recorders(board)
    if board.identity.host not in recorders:
        return
    if not known.is_read:
        yield record.read(board, now)
    elif recorders[0] == board.identity.host:
        yield record.write(
            board, now, versions | streams, lambda: _encode(known, now)
        )


def _streams_to_keep(known: stream_versions.State) -> frozenset[str]:
    """Returns the ids of the streams of services with several versions."""
    services = [service for service, _ in known.seen_at]
    mixed = {each for each in services if services.count(each) > 1}
    return frozenset(
        id for id, each in known.reported.items() if each.service in mixed
    )


def _encode(known: stream_versions.State, now: float) -> dict[str, Any]:
    kept = _streams_to_keep(known)
    return {
        "versions": [
            [service, software, round(now - at, 1)]
            for (service, software), at in known.seen_at.items()
        ],
        "streams": [
            [id, each.service, each.software, round(now - each.at, 1)]
            for id, each in known.reported.items()
            if id in kept
        ],
    }


@handle.register
def _responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    record = board.state(State).record
    value = record.take_response(event, board, now)
    if value is None:
        return ()
    known = board.state(stream_versions.State)
    saved: set[Any] = set()
    for row in _rows(value, "versions", 3):
        service, software, age_s = row
        # Its age when all hosts ended isn't known, so it is taken for recent.
        stream_versions.note_version(known, service, software, now - age_s)
        saved.add((service, software))
    for id, service, software, age_s in _rows(value, "streams", 4):
        begun = stream_versions.Begun(service, software, now - age_s)
        stream_versions.add(known.reported, id, begun)
        saved.add(id)
    record.saved = frozenset(saved)
    return ()


def _rows(value: dict[str, Any], name: str, width: int) -> list[Any]:
    """Returns the rows of a list; what is no row is left out.

    A row ends with its age in seconds, and has texts before that.
    """
    listed = value.get(name)
    return [
        row
        for row in (listed if isinstance(listed, list) else ())
        if isinstance(row, list)
        and len(row) == width
        and all(isinstance(each, str) for each in row[:-1])
        and isinstance(row[-1], int | float)
        and row[-1] >= 0
    ]
