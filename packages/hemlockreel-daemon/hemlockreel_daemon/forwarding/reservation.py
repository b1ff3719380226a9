"""Reserves memory and a slot at a decode replica before the prefill.

The replica accounts for its memory and decides. The load known to this host
only determines the order in which replicas are asked.
"""

import time
from typing import NamedTuple

from hemlockreel import outcomes

from hemlockreel.forwarding import first_event_times
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_selection

from .. import clock
from . import interfaces
from . import progress
from . import request_handler
from . import shared_places

FIRST_PAUSE_S = 0.03  # between rounds of reservations; doubles
MAX_PAUSE_S = 0.12
# Replicas that are asked in each round. While memory is short, asking all of
# a large fleet takes longer than the pause and finds no more of it.
MAX_ASKED = 4


class Reservation(NamedTuple):
    """Memory and a slot at a decode replica.

    ``has_permit`` is set if the replica names a limit, and permits were taken
    for the reservation and for the call that uses or releases it. ``place``
    is the one in the view that hosts share.
    """

    instance: instances.Instance
    reservation_id: str
    tokens: int
    has_permit: bool
    place: shared_places.Place


def reserve(
    handler: request_handler.RequestHandler, record: progress.Progress
) -> Reservation | outcomes.Refused:
    """Reserves memory for the prompt and the predicted output."""
    place = shared_places.Place(handler, instances.Stage.DECODE)
    reserved: Reservation | outcomes.Refused | None = None
    try:
        reserved = _reserve(handler, record, place)
        return reserved
    finally:
        if not isinstance(reserved, Reservation):
            place.end()


def _reserve(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    place: shared_places.Place,
) -> Reservation | outcomes.Refused:
    job = handler.job
    pause_s = FIRST_PAUSE_S
    again = handler.sent or record.refused_runs
    started = clock.now() if again else job.arrived
    until = first_event_times.reserve_until(started, job.route.objective_s)
    while True:
        found = handler.find_candidates(
            instances.Stage.DECODE,
            job.request.demand.prompt,
            tuple(handler.tried),
        )
        if isinstance(found, outcomes.Refused):
            if handler.wait_for_paused(found, until):
                continue
            return found
        tokens = job.request.demand.prompt + found.reserve_tokens
        eligible = _eligible(handler, record.reached_ids, found.instances)
        if not eligible:
            # A retry by the caller is a new attempt and may use others.
            return outcomes.not_run(
                outcomes.Reason.BACKEND_REFUSED,
                request_handler.RETRY_SOON_S,
                "the replicas that this attempt may go to are not usable",
            )
        chosen = None
        if found.is_shared and _may_share(handler, record):
            chosen = place.choose(eligible, until, tokens)
            if isinstance(chosen, outcomes.Refused):
                return chosen
        asked = [chosen] if chosen else eligible[:MAX_ASKED]
        reserved = _ask(handler, found, asked, tokens, place)
        if reserved is not None:
            return reserved
        left_s = handler.left_s()
        if handler.is_late(left_s):
            return request_handler.late_refusal()
        if clock.now() + pause_s > until:
            return handler.overloaded(
                f"no decode replica has room for {tokens} tokens"
            )
        if chosen is None:
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        if handler.box.stopped is not None:
            return outcomes.not_run(handler.box.stopped.reason)


def _may_share(
    handler: request_handler.RequestHandler, record: progress.Progress
) -> bool:
    """Returns whether the request may go to any replica of the pool.

    Otherwise few are left, and this host knows them best.
    """
    return not record.reached_ids and handler.software is None


def _ask(
    handler: request_handler.RequestHandler,
    found: replica_selection.Candidates,
    asked: list[instances.Instance],
    tokens: int,
    place: shared_places.Place,
) -> Reservation | None:
    """Asks replicas one after the other for memory."""
    for instance in asked:
        is_limited = instance.id in found.limited
        if is_limited and handler.take_permit(instance, calls=2) is not None:
            place.reject(instance.id, is_full=False)
            continue
        reservation = _try_reserve(handler, instance, tokens)
        if isinstance(reservation, str):
            if found.is_shared:
                place.use(instance.id, tokens)
            return Reservation(
                instance, reservation, tokens, is_limited, place
            )
        place.reject(
            instance.id,
            is_full=reservation.ran is not interfaces.Ran.NOT_SENT,
        )
        if handler.box.stopped is not None:
            break
    return None


def _eligible(
    handler: request_handler.RequestHandler,
    reached_ids: tuple[str, ...],
    found: tuple[instances.Instance, ...],
) -> list[instances.Instance]:
    """Returns the replicas of ``found`` that may get the next run.

    Replicas that refused an earlier run without executing it come first, as
    one request may be sent to at most ``max_attempts`` replicas.
    """
    again = [each for each in found if each.id in reached_ids]
    if len(set(reached_ids)) >= handler.job.route.max_attempts:
        return again
    return again + [each for each in found if each not in again]


def _try_reserve(
    handler: request_handler.RequestHandler,
    instance: instances.Instance,
    tokens: int,
) -> str | interfaces.SendFailure:
    hold_s = handler.job.service.engine.hold_s
    response = handler.tools.backends.reserve(instance, tokens, hold_s)
    if isinstance(response, str):
        return response
    if response.ran is interfaces.Ran.NOT_SENT:
        handler.post(replica_selection.ConnectFailed(instance.id))
    else:
        handler.post(replica_selection.ReservationRefused(instance.id, tokens))
    return response
