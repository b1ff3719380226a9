"""The status of a forwarding daemon for operators."""

from typing import Any

from hemlockreel import board as boards
from hemlockreel import leader
from hemlockreel import membership

from hemlockreel.forwarding import active_deployment
from hemlockreel.forwarding import blocked_parts
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_health
from hemlockreel.forwarding import shared_placement

from .. import clock
from .. import operators


def is_ready(board: boards.Board) -> bool:
    """Returns whether this host may be announced to callers."""
    known = board.state(instances.State).has_list
    draining = membership.table(board).draining
    return (
        active_deployment.current(board) is not None and known and not draining
    )


def describe(board: boards.Board) -> dict[str, Any]:
    """Returns the deployment in force, the members and the replicas."""
    found = active_deployment.current(board)
    now = clock.now()
    return {
        "host": board.identity.host,
        "epoch": board.identity.epoch,
        "version": found.version if found else 0,
        "routes": len(found.routes) if found else 0,
        "controller": bool(leader.lease_time_left(board, now)),
        "blocked_parts": _describe_blocked(board, now),
        "pools": _describe_pools(board),
        "members": operators.describe_members(board),
        "replicas": [
            _describe(board, each, now)
            for each in board.state(instances.State).instances.values()
        ],
    }


def _describe_pools(board: boards.Board) -> list[Any]:
    """Returns who gives the places of each pool, and what this host gave."""
    state = board.state(shared_placement.State)
    if not state.is_shared:
        return []
    known = {
        (each.service, each.stage)
        for each in board.state(instances.State).instances.values()
    }
    return [
        {
            "service": service,
            "stage": stage.value,
            "giver": shared_placement.giver(board, (service, stage)),
            **(
                shared_placement.describe(state.pools[service, stage])
                if (service, stage) in state.pools
                else {}
            ),
        }
        for service, stage in sorted(known, key=str)
    ]


def _describe_blocked(board: boards.Board, now: float) -> list[Any]:
    return [
        {
            "service": part.service,
            "part": part.id,
            "for_s": round(each.until - now),
            "times": each.times,
        }
        for part, each in board.state(blocked_parts.State).blocked.items()
    ]


def _describe(
    board: boards.Board, each: instances.Instance, now: float
) -> dict[str, Any]:
    known = board.state(instances.State)
    seen = board.state(replica_health.State)
    own = board.state(ranking.State)
    return {
        **each._asdict(),
        "stage": each.stage.value,
        "usable": instances.is_usable(known, each.id, now),
        "failures": round(replica_health.failure_rate(seen, each.id, now), 3),
        "own_requests": own.running.get(each.id, 0),
    }
