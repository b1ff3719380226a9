"""Runs the prefill of a prompt at a prefill replica.

The decode replica then fetches the result instead of processing the prompt.
It processes the prompt itself only if no prefill replica can, as all of its
streams pause meanwhile. While prefill replicas are sound but have a long
queue, a request that has not run is refused instead.
"""

from hemlockreel import outcomes

from hemlockreel.forwarding import first_event_times
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import replica_selection

from .. import clock
from . import interfaces
from . import progress
from . import request_handler
from . import shared_places

MAX_ATTEMPTS = 2
# Of the time that a replica keeps a result: an older one may expire before a
# decode replica has fetched it.
FRESH_SHARE = 0.5


def prefill(
    handler: request_handler.RequestHandler, record: progress.Progress
) -> interfaces.PrefillResult | outcomes.Refused | None:
    """Returns a prefill result; ``None`` if the decode replica must prefill.

    A fresh result that an earlier run could not use is returned again.
    """
    fresh_s = FRESH_SHARE * handler.job.service.engine.handle_s
    if record.prefill_result is not None:
        if clock.now() - record.prefill_result_at < fresh_s:
            return record.prefill_result
        free_result(handler, record)
    tokens = handler.job.request.demand.prompt
    tried: list[str] = []
    for _ in range(MAX_ATTEMPTS):
        found = handler.find_candidates(
            instances.Stage.PREFILL, tokens, tuple(tried)
        )
        if isinstance(found, outcomes.Refused):
            is_blocked = found.reason in request_handler.FINAL_REASONS
            return found if is_blocked else None
        if (
            record.deliveries or record.was_prefilled
        ) and not handler.take_retry():
            return None
        place = shared_places.Place(handler, instances.Stage.PREFILL)
        try:
            prefilled = _attempt(handler, record, found, place, tried)
        finally:
            place.end()
        if not isinstance(prefilled, interfaces.SendFailure):
            return prefilled
        if handler.box.stopped is not None:
            return None
        if prefilled.timed_out and not handler.sent:
            return handler.overloaded("the prefill queues are too long")
        if prefilled.instance_mismatch:
            handler.post(replica_selection.InstanceMismatch(tried[-1]))
        handler.log(
            "prefill_failed", replica=tried[-1], detail=prefilled.detail
        )
    return None


def _attempt(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    found: replica_selection.Candidates,
    place: shared_places.Place,
    tried: list[str],
) -> (
    interfaces.PrefillResult | interfaces.SendFailure | outcomes.Refused | None
):
    """Has one replica process the prompt and adds its id to ``tried``."""
    instance = _choose(handler, found, place, tuple(tried))
    if isinstance(instance, outcomes.Refused):
        return instance
    tried.append(instance.id)
    if instance.id in found.limited:
        refused = handler.take_permit(instance)
        if refused is not None:
            return interfaces.SendFailure(
                interfaces.Ran.NOT_SENT, refused.detail
            )
    left_s = handler.left_s()
    if handler.is_late(left_s):
        return None
    prefilled = _prefill_at(handler, record, instance, left_s)
    place.succeeded = isinstance(prefilled, interfaces.PrefillResult)
    return prefilled


def _choose(
    handler: request_handler.RequestHandler,
    found: replica_selection.Candidates,
    place: shared_places.Place,
    tried: tuple[str, ...],
) -> instances.Instance | outcomes.Refused:
    """Returns the replica for the prompt, or the refusal if all are late."""
    if not found.is_shared:
        return found.instances[0]
    tokens = handler.job.request.demand.prompt
    now = clock.now()
    until = now + _wait_s(handler, now)
    chosen = place.choose(found.instances, until, tokens, tried)
    if isinstance(chosen, instances.Instance):
        return chosen
    if chosen is not None and not handler.sent:
        return chosen
    place.use(found.instances[0].id, tokens)
    return found.instances[0]


def _prefill_at(
    handler: request_handler.RequestHandler,
    record: progress.Progress,
    instance: instances.Instance,
    left_s: float,
) -> interfaces.PrefillResult | interfaces.SendFailure:
    tokens = handler.job.request.demand.prompt
    handler.post(replica_selection.SendStarted(instance.id, tokens))
    started = clock.now()
    wait_s = min(left_s, _wait_s(handler, started))
    prefilled = handler.tools.backends.prefill(
        instance, handler.job.request, wait_s, handler.box
    )
    failed = isinstance(prefilled, interfaces.SendFailure)
    stopped = handler.box.stopped is not None
    succeeded = None if stopped else not failed
    handler.post(
        replica_selection.SendFinished(instance.id, tokens, succeeded)
    )
    if not failed:
        seconds = clock.now() - started
        handler.post(
            replica_selection.PrefillFinished(instance.id, tokens, seconds)
        )
        # The first accepted prefill doesn't count as a delivery.
        record.deliveries += record.was_prefilled
        record.was_prefilled = True
        record.prefill_result = prefilled
        record.prefill_result_at = clock.now()
        record.prefill_instance = instance
    elif prefilled.ran is not interfaces.Ran.NOT_SENT:
        record.deliveries += 1
        if prefilled.ran is interfaces.Ran.UNKNOWN:
            record.may_have_prefilled = True
    return prefilled


def _wait_s(handler: request_handler.RequestHandler, now: float) -> float:
    """Returns how long to wait for a prefill that starts now.

    A lost response must not use up all the time of the request.
    """
    objective_s = handler.job.route.objective_s
    if handler.sent:
        return objective_s
    arrived = handler.job.arrived
    until = first_event_times.prefill_until(now, arrived, objective_s)
    return until - now


def free_result(
    handler: request_handler.RequestHandler, record: progress.Progress
) -> None:
    """Frees a prefill result that will not be used."""
    if record.prefill_result is not None:
        if handler.may_call(record.prefill_instance):
            handler.tools.backends.free_prefill_result(
                record.prefill_instance, record.prefill_result.handle
            )
        record.prefill_result = None
