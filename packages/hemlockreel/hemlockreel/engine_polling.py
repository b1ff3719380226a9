"""Polls engines for load reports and cache events, as the owner of shards.

The responses update the shards' ledgers, and a load report may let waiting
requests be granted.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import configuration
from . import events
from . import grants
from . import ledger
from . import replicas
from . import shards

LOAD_PERIOD_S = 0.5
CACHE_PERIOD_S = 1.0


class State:
    """The next polls and the last responses.

    ``cache_seq`` holds the sequence number up to which an engine's cache
    events are applied, by address, ``last_loads`` the last load reports.
    """

    def __init__(self):
        self.next_load = 0.0
        self.next_cache = 0.0
        self.cache_seq: dict[str, int] = {}
        self.last_loads: dict[str, dict[str, Any]] = {}


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of polling; all others yield nothing."""
    return ()


def owned_model_shards(board: boards.Board) -> dict[str, shards.Members]:
    """Returns the model shards that this daemon owns by its own view."""
    active = configuration.current(board)
    pools = active.modelpools.values() if active is not None else ()
    return {
        shard: members
        for pool in pools
        for shard, members in shards.get(board, pool.service).items()
        if shards.is_owner(board, shard)
    }


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if now >= state.next_load:
        state.next_load = now + LOAD_PERIOD_S
        polled = _polled_replicas(board)
        addresses = {replica.address for _, replica in polled}
        for address in set(state.last_loads) - addresses:
            del state.last_loads[address]
        for shard, replica in polled:
            yield actions.CallEngine(f"load/{shard}", replica.address, "load")
    if now >= state.next_cache:
        state.next_cache = now + CACHE_PERIOD_S
        yield from _poll_cache_events(board, state)


def _polled_replicas(
    board: boards.Board,
) -> list[tuple[str, replicas.Replica]]:
    """Returns the shard and replica of each engine to poll.

    Besides the owned shards these are the ones with a ledger here: requests
    came to this daemon because the shard's owner did not respond.
    """
    polled = []
    names = set(owned_model_shards(board)) | set(
        board.state(grants.State).ledgers
    )
    for shard in sorted(names):
        listed = shards.get(board, shards.service_of(shard))
        for replica in listed.get(shard, ()):
            if replica.role is not replicas.Role.PLAIN:
                polled.append((shard, replica))
    return polled


def _current_role(
    board: boards.Board, shard: str, replica: replicas.Replica
) -> replicas.Role:
    """Returns the role that an engine reports, or else the listed one.

    The list follows a change of role only later.
    """
    shard_ledger = board.state(grants.State).ledgers.get(shard)
    if (
        isinstance(shard_ledger, ledger.Ledger)
        and replica.address in shard_ledger.fleet.replicas
    ):
        return shard_ledger.fleet.role(replica.address)
    return replica.role


def _poll_cache_events(
    board: boards.Board, state: State
) -> Iterable[actions.Action]:
    """Requests the cache events of the prefill engines since the last ones."""
    polled = [
        (shard, replica.address)
        for shard, replica in _polled_replicas(board)
        if _current_role(board, shard, replica) is replicas.Role.PREFILL
    ]
    state.cache_seq = {
        address: state.cache_seq.get(address, 0) for _, address in polled
    }
    for shard, address in polled:
        query = f"?after={state.cache_seq[address]}"
        yield actions.CallEngine(
            f"cache/{shard}", address, "cache/events", query=query
        )


@handle.register
def _responded(
    event: events.EngineResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.status != 200:
        return
    shard = event.call_id.partition("/")[2]
    if event.operation == "load":
        board.state(State).last_loads[event.address] = event.body
        shard_ledger = grants.open_ledger(board, shard)
        if isinstance(shard_ledger, ledger.Ledger):
            shard_ledger.set_load(event.address, event.body, now)
            yield from grants.process_queue(board, shard, now)
    elif event.operation == "cache/events":
        _apply_cache_events(board, shard, event)


def _apply_cache_events(
    board: boards.Board, shard: str, event: events.EngineResponded
) -> None:
    state = board.state(State)
    last = state.cache_seq.get(event.address)
    # Ignore duplicate and outdated responses.
    if last is None or event.body["seq"] <= last:
        return
    state.cache_seq[event.address] = event.body["seq"]
    shard_ledger = board.state(grants.State).ledgers.get(shard)
    if isinstance(shard_ledger, ledger.Ledger):
        shard_ledger.set_cache_events(event.address, event.body["events"])
