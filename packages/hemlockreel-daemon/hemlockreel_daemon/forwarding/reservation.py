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

FIRST_PAUSE_S = 0.03  # between rounds of reservations; doubles
MAX_PAUSE_S = 0.12
# Replicas that are asked in each round. While memory is short, asking all of
# a large fleet takes longer than the pause and finds no more of it.
MAX_ASKED = 4


class Reservation(NamedTuple):
    """Memory and a slot at a decode replica.

    ``has_permit`` is set if the replica names a limit, and permits were taken
    for the reservation and for the call that uses or releases it.
    """

    instance: instances.Instance
    reservation_id: str
    tokens: int
    has_permit: bool = False


def reserve(
    handler: request_handler.RequestHandler, record: progress.Progress
) -> Reservation | outcomes.Refused:
    """Reserves memory for the prompt and the predicted output."""
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
        for instance in eligible[:MAX_ASKED]:
            is_limited = instance.id in found.limited
            if (
                is_limited
                and handler.take_permit(instance, calls=2) is not None
            ):
                continue
            reservation_id = _try_reserve(handler, instance, tokens)
            if reservation_id is not None:
                return Reservation(
                    instance, reservation_id, tokens, is_limited
                )
            if handler.box.stopped is not None:
                break
        left_s = handler.left_s()
        if handler.is_late(left_s):
            return request_handler.late_refusal()
        if clock.now() + pause_s > until:
            return handler.overloaded(
                f"no decode replica has room for {tokens} tokens"
            )
        time.sleep(pause_s)
        if handler.box.stopped is not None:
            return outcomes.not_run(handler.box.stopped.reason)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)


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
) -> str | None:
    hold_s = handler.job.service.engine.hold_s
    response = handler.tools.backends.reserve(instance, tokens, hold_s)
    if isinstance(response, str):
        return response
    if response.ran is interfaces.Ran.NOT_SENT:
        handler.post(replica_selection.ConnectFailed(instance.id))
    else:
        handler.post(replica_selection.ReservationRefused(instance.id, tokens))
    return None
