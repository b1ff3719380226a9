"""Assigns the engines of a service to the prefill and decode stages.

The host that holds the controller lease compares the listed stages with the
target and orders one engine at a time to change its stage. It repeats the
comparison periodically, so a lost or delayed order is corrected by a later
one. An order states how many orders the engine had accepted when it was
decided, so that it has no effect after the engine has accepted another.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import leader
from .. import membership
from .. import messages
from .. import rendezvous
from .. import store_era
from . import active_deployment
from . import instances
from . import ranking
from . import replica_pauses

CHECK_PERIOD_S = 0.5
# Prefill takes a small part of the time of a request and none of the memory
# that decode occupies. But its queue must stay short during bursts: a prompt
# that waits there is late, and its memory is reserved meanwhile.
PREFILL_SHARE = 0.25
# How long the set of engines must be unchanged before an order, as replicas
# register over some seconds after a start.
LIST_STABLE_S = 2.5
# How long an engine that has left may be missing before another one takes its
# stage. Engines that crash or are replaced are back in a few seconds, while a
# change of stage takes the engine away for ``switch_s`` and often longer.
REPLACEMENT_S = 10.0
# From an order until its effect is listed, or for one without a response as
# long as it may still be carried out.
LATE_ORDER_S = 30.0
# From taking the lease to the first order: the previous holder may have given
# an order within the platform's lease_ms of 3 s.
LEASE_HANDOVER_S = 3.5
LIST_UPDATE_S = 2.0  # from a change of stage until the list shows it
CALL_TIMEOUT_S = 1.0
CALL_PREFIX = "stage"


class StageChange(NamedTuple):
    """A change of stage that is being ordered."""

    id: str
    address: str
    stage: instances.Stage
    requested_at: float
    born: int = 0


class State:
    """The state of the controller.

    ``engine_ids`` is the set of listed engines in the store's ``era``, both
    unchanged since ``list_stable_since``. The last time that an engine left
    it is ``engine_left_at``. No order is given before ``paused_until``, when
    the last change is over. ``accepted`` and ``unanswered`` are the last
    order, if the engine accepted it or didn't respond.
    """

    def __init__(self):
        self.engine_ids: frozenset[str] = frozenset()
        self.era = 0
        self.list_stable_since = 0.0
        self.engine_left_at = -math.inf
        self.lease_held_since: float | None = None
        self.next_check_at = 0.0
        self.paused_until = 0.0
        self.change: StageChange | None = None
        self.accepted: StageChange | None = None
        self.unanswered: StageChange | None = None
        self.call_count = 0


def prefill_count(engines: int) -> int:
    """Returns how many of ``engines`` engines are assigned to prefill.

    >>> [prefill_count(count) for count in (1, 2, 5, 6, 15)]
    [0, 1, 1, 2, 4]
    """
    if engines < 2:
        return 0
    return max(1, math.floor(PREFILL_SHARE * engines + 0.5))


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the controller; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if now < state.next_check_at:
        return
    state.next_check_at = now + CHECK_PERIOD_S
    _track_list(board, now)
    if not leader.lease_time_left(board, now):
        state.lease_held_since = None
        state.change = None
        return
    if state.lease_held_since is None:
        state.lease_held_since = now
    if now < max(
        state.lease_held_since + LEASE_HANDOVER_S, state.paused_until
    ):
        return
    change = _next_change(board, now)
    if change is None:
        return
    state.call_count += 1
    state.change = change
    state.paused_until = now + CALL_TIMEOUT_S
    yield actions.CallEngine(
        f"{CALL_PREFIX}/{state.call_count}/load",
        change.address,
        "load",
        timeout_s=CALL_TIMEOUT_S,
        instance=change.id,
        born=change.born,
    )


def _track_list(board: boards.Board, now: float) -> None:
    state = board.state(State)
    known = board.state(instances.State).instances
    expiring = board.state(instances.State).lapsed_until
    if state.era != store_era.current(board):
        # A restored list may show stages that replicas have changed since.
        state.era = store_era.current(board)
        state.list_stable_since = now
    ids = frozenset(
        each.id
        for each in known.values()
        if each.stage is not instances.Stage.PLAIN and each.id not in expiring
    )
    if ids != state.engine_ids:
        if state.engine_ids - ids:
            state.engine_left_at = now
        state.engine_ids = ids
        state.list_stable_since = now


def _next_change(board: boards.Board, now: float) -> StageChange | None:
    """Returns the next change that brings a service closer to its target."""
    state = board.state(State)
    found = active_deployment.current(board)
    if found is None:
        return None
    known = board.state(instances.State)
    for service in found.services.values():
        if service.engine is None:
            continue
        # An engine that gets no requests for a moment, because a host found
        # it changing, still counts.
        engines = instances.remaining(known, service.name, now)
        by_stage = {
            stage: [
                each for each in engines if _stage(state, each, now) is stage
            ]
            for stage in (instances.Stage.PREFILL, instances.Stage.DECODE)
        }
        wanted_prefill = prefill_count(len(engines))
        present_prefill = len(by_stage[instances.Stage.PREFILL])
        if (
            present_prefill == wanted_prefill
            or now - state.list_stable_since < LIST_STABLE_S
        ):
            continue
        if all(by_stage.values()) and (
            now - state.engine_left_at < REPLACEMENT_S
        ):
            continue
        source, target = instances.Stage.PREFILL, instances.Stage.DECODE
        if present_prefill < wanted_prefill:
            source, target = target, source
        callable_engines = [
            each
            for each in by_stage[source]
            if known.changing_until.get(each.id, now) <= now
            and not replica_pauses.is_paused(board, each, now)
        ]
        if callable_engines:
            chosen = _engine_without_response(
                state, callable_engines, target, now
            ) or _least_used(board, callable_engines)
            return StageChange(
                chosen.id, chosen.address, target, now, chosen.born
            )
    return None


def _stage(
    state: State, engine: instances.Instance, now: float
) -> instances.Stage:
    """Returns the stage of an engine, the new one if it was ordered to change.

    The list shows the change when the running work has ended.
    """
    sent = state.accepted
    if sent is not None and _concerns(sent, engine, now):
        return sent.stage
    return engine.stage


def _engine_without_response(
    state: State,
    engines: list[instances.Instance],
    target: instances.Stage,
    now: float,
) -> instances.Instance | None:
    """Returns the engine whose order to ``target`` got no response.

    It may be carried out late, and a second engine would change its stage as
    well. A repeated order is carried out once, as both expect the same number
    of accepted orders.
    """
    sent = state.unanswered
    if sent is None or sent.stage is not target:
        return None
    for each in engines:
        if _concerns(sent, each, now):
            return each
    return None


def _concerns(
    sent: StageChange, engine: instances.Instance, now: float
) -> bool:
    return now - sent.requested_at <= LATE_ORDER_S and (
        engine.id,
        engine.born,
    ) == (sent.id, sent.born)


def _least_used(
    board: boards.Board, engines: list[instances.Instance]
) -> instances.Instance:
    tokens = board.state(ranking.State).running_tokens
    return min(
        engines,
        key=lambda each: (
            tokens.get(each.id, 0),
            rendezvous.score("stages", each.id),
        ),
    )


@handle.register
def _engine_responded(
    event: events.EngineResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    change = state.change
    if not event.call_id.startswith(f"{CALL_PREFIX}/{state.call_count}/"):
        return
    if change is None:
        return
    if event.operation == "load":
        yield from _send_order(board, change, event, now)
    else:
        yield from _order_finished(board, change, event, now)


def _send_order(
    board: boards.Board,
    change: StageChange,
    event: events.EngineResponded,
    now: float,
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.status != 200 or event.body["busy"]:
        state.change = None
        return
    if event.body.get("stage") == change.stage.value:
        # An order whose effect the list doesn't show yet was carried out.
        state.change = None
        state.paused_until = now + LIST_UPDATE_S
        return
    left_s = leader.lease_time_left(board, now)
    if left_s <= 2 * CALL_TIMEOUT_S or not _may_call(board, change.id, now):
        state.change = None
        return
    body = {
        "stage": change.stage.value,
        "holder": board.identity.host,
        "fence": leader.fencing_number(board),
        "expected": event.body["orders"],
    }
    fields = {"replica": change.id, **body, "lease_left_s": left_s}
    yield actions.Log("stage_ordered", fields)
    yield actions.Count("orders", 1, ("stage",))
    for_s = LIST_UPDATE_S + _stage_change_s(board, change)
    state.paused_until = now + for_s
    instances.mark_changing(
        board.state(instances.State), change.id, now + for_s
    )
    changing = messages.ReplicaChanging(
        **board.sender_fields, replica=change.id, for_s=for_s
    )
    yield from membership.broadcast(board, changing)
    yield actions.CallEngine(
        f"{CALL_PREFIX}/{state.call_count}/orders",
        change.address,
        "orders",
        body,
        timeout_s=CALL_TIMEOUT_S,
        not_after=now + left_s - CALL_TIMEOUT_S,
        instance=change.id,
        born=change.born,
    )


def _may_call(board: boards.Board, id: str, now: float) -> bool:
    """Returns whether an engine is still usable and asks for no pause."""
    known = board.state(instances.State)
    return instances.is_usable(known, id, now) and not (
        replica_pauses.is_paused(board, known.instances[id], now)
    )


def _stage_change_s(board: boards.Board, change: StageChange) -> float:
    """Returns the seconds that the engine takes to change its stage."""
    found = active_deployment.current(board)
    known = board.state(instances.State).instances.get(change.id)
    if found is None or known is None:
        return LIST_UPDATE_S
    service = found.services.get(known.service)
    if service is None or service.engine is None:
        return LIST_UPDATE_S
    return service.engine.switch_s


def _order_finished(
    board: boards.Board,
    change: StageChange,
    event: events.EngineResponded,
    now: float,
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.change = None
    fields = {
        "replica": change.id,
        "stage": change.stage.value,
        "status": event.status,
    }
    yield actions.Log("stage_order_answered", fields)
    state.accepted = change if event.status in (200, 202) else None
    state.unanswered = None if event.status else change
    if event.status not in (0, 200, 202):
        # The engine refused the order and keeps its stage.
        state.paused_until = now + LIST_UPDATE_S
        instances.mark_changing(board.state(instances.State), change.id, now)
        changing = messages.ReplicaChanging(
            **board.sender_fields, replica=change.id, for_s=0.0
        )
        yield from membership.broadcast(board, changing)
