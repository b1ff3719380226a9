"""The accepted configuration that this daemon has in force.

It is a copy of the accepted document in the store (:mod:`acceptance`), and is
only replaced by a higher generation. :mod:`configuration_reader` reads it from
the store, and :mod:`replication` distributes it among the daemons.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from . import acceptance
from . import actions
from . import board as boards
from . import declared_objects
from . import documents
from . import membership
from . import replication

DOCUMENT_NAME = "configuration"
PEER_WAIT_S = 1.5  # a new daemon waits this long for a peer's version


class Configuration(NamedTuple):
    """All declared objects in force, by name."""

    generation: int
    modelpools: Mapping[str, declared_objects.ModelPool]
    routes: Mapping[str, declared_objects.Route]
    rollouts: Mapping[str, declared_objects.Rollout]
    quotas: Mapping[str, declared_objects.Quota]
    rejected: tuple[declared_objects.Invalid, ...] = ()


class State:
    """The configuration in force, ``None`` before the first.

    ``started_at`` is the time of the first event. ``store_tried`` is set once
    a read from the store has succeeded or failed.
    """

    def __init__(self):
        self.current: Configuration | None = None
        self.started_at: float | None = None
        self.store_tried = False


def current(board: boards.Board) -> Configuration | None:
    """Returns the configuration in force, ``None`` before the first."""
    return board.state(State).current


def is_ready(board: boards.Board) -> bool:
    """Returns whether this daemon may serve requests.

    A new daemon first reads from the store and from a peer and takes the
    higher generation, so that it never serves by an older one than the daemon
    that it replaces.
    """
    return current(board) is not None


def find_pool(
    board: boards.Board, model: str
) -> tuple[str, declared_objects.ModelPool] | None:
    """Returns the pool that serves ``model`` and its name, if there is one."""
    found = current(board)
    if found is None:
        return None
    for name, pool in found.modelpools.items():
        if pool.model == model:
            return name, pool
    return None


def match_route(
    found: Configuration, path: str
) -> declared_objects.Route | None:
    """Returns the route with the longest prefix that matches ``path``."""
    matches = [
        route
        for route in found.routes.values()
        if path == route.prefix
        or path.startswith(route.prefix.rstrip("/") + "/")
    ]
    return max(matches, key=lambda route: len(route.prefix), default=None)


def install(
    board: boards.Board, document: documents.Document
) -> Iterable[actions.Action]:
    """Puts ``document`` in force if its generation is higher."""
    state = board.state(State)
    known = state.current
    if known is not None and document.version <= known.generation:
        return
    kinds: dict[str, dict[str, Any]] = {
        kind: {} for kind in declared_objects.DECLARED_KINDS
    }
    for key, parsed in acceptance.parse_accepted(document).items():
        kind, _, name = key.partition("/")
        kinds[kind][name] = parsed
    rejected = acceptance.rejected_objects(document)
    state.current = Configuration(document.version, **kinds, rejected=rejected)
    membership.table(board).configuration = document.version
    yield actions.Count("configuration_changes")
    fields = {"generation": document.version, "rejected": len(rejected)}
    yield actions.Log("configuration_in_force", fields)


def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Puts a newer generation in force, if there is one, on any event."""
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    document = replication.get_document(board, DOCUMENT_NAME)
    if document.version and _may_serve(board, now):
        yield from install(board, document)


def _may_serve(board: boards.Board, now: float) -> bool:
    """Returns whether the copy may be put in force.

    It may once there is a configuration in force. Before, the store must have
    been tried, and a peer must have responded, unless this daemon has no peers
    or has waited for PEER_WAIT_S.
    """
    state = board.state(State)
    if state.current is not None:
        return True
    if not state.store_tried:
        return False
    has_peers = bool(board.seeds) or len(membership.live_members(board)) > 1
    peer_responded = bool(board.state(replication.State).heard_from)
    waited = now - (state.started_at or 0.0) >= PEER_WAIT_S
    return not has_peers or peer_responded or waited
