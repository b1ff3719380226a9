"""The owner of a shard: admits requests and tracks the grants it has made.

Ownership is not exclusive. Two daemons may act as the owner of one shard for
a second or so. No request is lost by that, and engines refuse requests that
do not fit.

Leases are handled in :mod:`renewal`, engine load reports in
:mod:`engine_polling`, and grants of earlier owners in :mod:`takeover`.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any

from . import actions
from . import board as boards
from . import cancels
from . import configuration
from . import decisions
from . import events
from . import grants
from . import host_list
from . import leases
from . import ledger
from . import messages
from . import outcomes

RETRY_AFTER_S = 1.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Returns the actions of a shard's owner for ``event``.

    There are none for events that are not registered below.
    """
    return ()


# Admission requests


@handle.register
def _admission_requested(
    event: messages.AdmissionRequest, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Submits an admission request to the ledger of its shard.

    A resent request gets its grant again, or stays in the queue. A host that
    has just joined doesn't answer before it knows the replicas: the entry
    then asks the next owner.
    """
    if not _knows_replicas(board, now):
        return
    state = board.state(grants.State)
    state.leases.renew((event.sender, event.epoch), now)
    key = (event.request_id, event.attempt)
    grant_id = state.leases.find(*key)
    if grant_id is not None:
        held = state.leases.get(grant_id)
        yield grants.grant_message(board, held.decision, now)
        return
    waiting = state.waiting.get(key)
    if waiting is not None:
        expires_at = now + leases.LEASE_S
        state.waiting[key] = waiting._replace(expires_at=expires_at)
        yield _queued_message(board, event)
        return
    shard_ledger = grants.open_ledger(board, event.shard)
    if shard_ledger is None:
        reason = outcomes.Reason.NO_BACKEND
        denied = decisions.Denied(event, reason, RETRY_AFTER_S)
        yield from grants.deliver_decision(board, event.shard, denied, now)
        return
    grant_id = grants.new_grant_id(board)
    state.waiting[key] = grants.WaitingRequest(
        event.shard, event, now + leases.LEASE_S
    )
    for decision in shard_ledger.submit(event, grant_id, now):
        yield from grants.deliver_decision(board, event.shard, decision, now)
    if key in state.waiting:
        yield _queued_message(board, event)


def _knows_replicas(board: boards.Board, now: float) -> bool:
    return configuration.current(board) is not None and math.isfinite(
        host_list.reading_age_s(board, now)
    )


@handle.register
def _request_withdrawn(
    event: messages.Withdraw, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(grants.State)
    key = (event.request_id, event.attempt)
    waiting = state.waiting.pop(key, None)
    if waiting is not None:
        state.ledgers[waiting.shard].withdraw(*key)
    grant_id = state.leases.find(*key)
    if grant_id is not None:
        yield from grants.revoke(board, grant_id, now)


def _queued_message(
    board: boards.Board, request: messages.AdmissionRequest
) -> actions.Send:
    queued = messages.Queued(
        **board.sender_fields,
        request_id=request.request_id,
        attempt=request.attempt,
    )
    return actions.Send(request.sender, queued)


# Progress of a grant


@handle.register
def _prefill_finished(
    event: messages.Prefilled, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = _find_ledger(board, event, now)
    if found is not None:
        shard, shard_ledger = found
        shard_ledger.prefill_finished(event.grant_id, now, event.cached_tokens)
        yield from grants.process_queue(board, shard, now)


@handle.register
def _first_token_received(
    event: messages.FirstToken, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = _find_ledger(board, event, now)
    if found is not None:
        shard, shard_ledger = found
        shard_ledger.first_token(event.grant_id, now)
        yield from grants.process_queue(board, shard, now)


@handle.register
def _grant_released(
    event: messages.Release, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Frees a grant, after a cancel if its request may still run."""
    found = _find_ledger(board, event, now)
    if found is not None and (event.clean or event.failed):
        # If the caller disconnected, the request says nothing about the speed
        # of the engine, so it is left out of the ledger's statistics.
        shard_ledger = found[1]
        shard_ledger.request_finished(
            event.grant_id, event.output_tokens, event.failed, now
        )
    if event.clean:
        yield from grants.free(board, event.grant_id, now)
    else:
        yield from grants.revoke(board, event.grant_id, now)


def _find_ledger(
    board: boards.Board, event: Any, now: float
) -> tuple[str, ledger.Ledger] | None:
    """Returns the shard and the ledger of an event's grant, or ``None``.

    ``None`` also stands for the grant of a plain call. Any event renews the
    lease of its sender.
    """
    state = board.state(grants.State)
    state.leases.renew((event.sender, event.epoch), now)
    held = state.leases.get(event.grant_id)
    if held is None:
        return None
    shard_ledger = state.ledgers.get(held.shard)
    if isinstance(shard_ledger, ledger.Ledger):
        return held.shard, shard_ledger
    return None


# Time and engines


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Drops expired requests, decides on the others and retries cancels."""
    state = board.state(grants.State)
    for key, waiting in list(state.waiting.items()):
        if waiting.expires_at < now:
            del state.waiting[key]
            state.ledgers[waiting.shard].withdraw(*key)
    for shard in list(state.ledgers):
        grants.open_ledger(board, shard)
        yield from grants.process_queue(board, shard, now)
    grants.drop_unused_ledgers(board)
    yield from cancels.retry_due(board, now)
    for grant_id in cancels.close_unlisted(board):
        yield actions.Count("lost_replica_cancels")
        yield from grants.free(board, grant_id, now)


@handle.register
def _engine_responded(
    event: events.EngineResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.operation == "cancel":
        for grant_id in cancels.handle_response(board, event):
            yield from grants.free(board, grant_id, now)
