"""Applies updates of the list of replicas from the store and other hosts.

When a replica is removed, its failure rates, prefill times and refused
reservations are dropped too.
"""

from collections.abc import Iterable
import functools
from typing import Any

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from . import instances
from . import prefill_times
from . import ranking
from . import replica_health
from . import replica_limits
from . import replica_pace


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles updates of the list; all other events yield nothing."""
    return ()


@handle.register
def _instances_listed(
    event: instances.InstancesListed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(instances.State)
    if not state.has_list:
        count = len(event.instances)
        yield actions.Log("replicas_known", {"count": count})
    gone = instances.apply_list(state, event, now)
    yield from _forget(board, gone)


@handle.register
def _instances_changed(
    event: instances.InstancesChanged, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    for each in event.instances:
        fields = {
            "replica": each.id,
            "service": each.service,
            "address": each.address,
            "stage": each.stage.value,
            "draining": each.draining,
        }
        yield actions.Log("replica_changed", fields)
    state = board.state(instances.State)
    gone = instances.apply_changes(state, event, now)
    yield from _forget(board, gone)


@handle.register
def _replica_changing(
    event: messages.ReplicaChanging, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Excludes a replica that changes its stage, if the sender may know it.

    A host without news from the store takes a replica that has changed for
    one that is about to.
    """
    state = board.state(instances.State)
    known = state.instances.get(event.replica)
    fields = {"replica": event.replica, "told_by": event.sender}
    if known is not None and event.stage not in ("", known.stage.value):
        yield actions.Log("replica_changed_before", fields)
        return
    instances.mark_changing(state, event.replica, now + event.for_s)
    yield actions.Log("replica_changing", fields)


@handle.register
def _leaving_stated(
    event: instances.LeavingStated, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Stops using a replica that says it leaves, and tells the other hosts.

    Its running requests end undisturbed.
    """
    state = board.state(instances.State)
    if not instances.mark_leaving(state, event.id, event.born, now):
        return
    yield actions.Count("leaving_replicas")
    yield actions.Log("replica_leaving", {"replica": event.id})
    leaving = messages.ReplicaLeaving(
        **board.sender_fields, replica=event.id, born=event.born
    )
    yield from membership.broadcast(board, leaving)


@handle.register
def _replica_leaving(
    event: messages.ReplicaLeaving, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(instances.State)
    if instances.mark_leaving(state, event.replica, event.born, now):
        fields = {"replica": event.replica, "told_by": event.sender}
        yield actions.Log("replica_leaving", fields)


@handle.register
def _store_unavailable(
    event: instances.StoreUnavailable, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    instances.mark_store_unavailable(board.state(instances.State))
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    gone = instances.remove_expired(board.state(instances.State), now)
    yield from _forget(board, gone)


def _forget(
    board: boards.Board, gone: Iterable[str]
) -> Iterable[actions.Action]:
    for id in gone:
        replica_health.forget(board.state(replica_health.State), id)
        replica_limits.forget(board.state(replica_limits.State), id)
        replica_pace.forget(board.state(replica_pace.State), id)
        prefill_times.forget(board.state(prefill_times.State), id)
        board.state(ranking.State).reservation_refused_at.pop(id, None)
        yield actions.Log("replica_gone", {"replica": id})
