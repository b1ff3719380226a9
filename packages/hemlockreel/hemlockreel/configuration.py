"""The accepted configuration and how it reaches this daemon."""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards
from . import events
from . import objects

POLL_PERIOD_S = 1.0
CALL_ID = "configuration"


class Configuration(NamedTuple):
    """All declared objects in force, by name."""

    generation: int
    modelpools: Mapping[str, objects.ModelPool]
    routes: Mapping[str, objects.Route]
    rollouts: Mapping[str, objects.Rollout]
    quotas: Mapping[str, objects.Quota]
    rejected: tuple[objects.Invalid, ...] = ()


class State:
    """The configuration in force, ``None`` before the first."""

    def __init__(self):
        self.current: Configuration | None = None
        self.next_poll = 0.0


def current(board: boards.Board) -> Configuration | None:
    """Returns the configuration in force, ``None`` before the first."""
    return board.state(State).current


def find_pool(
    board: boards.Board, model: str
) -> tuple[str, objects.ModelPool] | None:
    """Returns the name and the pool of ``model``."""
    found = current(board)
    if found is None:
        return None
    for name, pool in found.modelpools.items():
        if pool.model == model:
            return name, pool
    return None


def match_route(found: Configuration, path: str) -> objects.Route | None:
    """Returns the route with the longest prefix of ``path``."""
    matches = [
        route
        for route in found.routes.values()
        if path == route.prefix
        or path.startswith(route.prefix.rstrip("/") + "/")
    ]
    return max(matches, key=lambda route: len(route.prefix), default=None)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the configuration; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if now < state.next_poll:
        return
    state.next_poll = now + POLL_PERIOD_S
    kinds = ",".join(objects.DECLARED_KINDS)
    yield actions.CallStore(CALL_ID, "GET", f"/v1/objects?kinds={kinds}")


@handle.register
def _answered(
    event: events.StoreAnswered, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.call_id != CALL_ID or event.status != 200:
        return
    state = board.state(State)
    generation = event.body["revision"]
    if state.current is not None and generation <= state.current.generation:
        return
    state.current = _merge(generation, event.body["items"])
    yield actions.Count("configuration_changes")


def _merge(generation: int, items: list[dict[str, Any]]) -> Configuration:
    """Parses ``items``; objects that are not valid are set aside."""
    kinds: dict[str, dict[str, Any]] = {
        kind: {} for kind in objects.DECLARED_KINDS
    }
    rejected = []
    for item in items:
        parsed = objects.parse(item["kind"], item["name"], item["value"])
        if isinstance(parsed, objects.Invalid):
            rejected.append(parsed)
        else:
            kinds[item["kind"]][item["name"]] = parsed
    return Configuration(generation, **kinds, rejected=tuple(rejected))
