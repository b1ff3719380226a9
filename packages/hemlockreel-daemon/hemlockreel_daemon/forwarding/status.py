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
from hemlockreel.forwarding import replica_pace
from hemlockreel.forwarding import shared_placement
from hemlockreel.forwarding import usage_caps
from hemlockreel.forwarding import usage_lending

from .. import clock
from .. import member_status


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
        "members": member_status.describe(board),
        "caps": _describe_caps(board, now),
        "pools": _describe_pools(board),
        "replicas": [
            _describe(board, each, now)
            for each in board.state(instances.State).instances.values()
        ],
    }


def _describe_caps(board: boards.Board, now: float) -> list[Any]:
    """Returns the caps in force and what this host has of them.

    ``lendable`` is ``None`` if other hosts lend the cap.
    """
    found = active_deployment.current(board)
    if found is None:
        return []
    return [
        {
            "organisation": each.name,
            "rate": each.cap.rate,
            "burst": each.cap.burst,
            "unit": each.cap.unit.value,
            "lenders": usage_lending.lenders(board, each.name, each.cap),
            "lendable": usage_lending.left(board, each.name, now),
            "held": round(usage_caps.held(board, each.name, now), 1),
        }
        for each in found.organisations
        if each.cap.is_limited
    ]


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
        "pace": round(replica_pace.pace(board, each, now), 2),
        "places": round(replica_pace.places(board, each, now), 1),
        "own_requests": own.running.get(each.id, 0),
    }
