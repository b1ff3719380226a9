"""The owner of a shard: answers asks and follows the grants it gave.

Ownership is soft. Two daemons may both believe for a second that they own a
shard; engines refuse what does not fit, and nothing is lost. Leases are kept
by :mod:`renewal`, engines are read by :mod:`engine_polling`, and grants of
earlier owners are found by :mod:`takeover`.
"""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import cancels
from . import decisions
from . import events
from . import grants
from . import leases
from . import ledger
from . import messages
from . import outcomes

RETRY_AFTER_S = 1.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of a shard's owner; all others yield nothing."""
    return ()


# Asks


@handle.register
def _ask(
    event: messages.Ask, board: boards.Board, now: float
) -> Iterable[actions.Action]:
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
        lapses_at = now + leases.LEASE_S
        state.waiting[key] = waiting._replace(lapses_at=lapses_at)
        yield _queued(board, event)
        return
    book = grants.open_ledger(board, event.shard)
    if book is None:
        reason = outcomes.Reason.NO_BACKEND
        denied = decisions.Denied(event, reason, RETRY_AFTER_S)
        yield from grants.announce(board, event.shard, denied, now)
        return
    grant_id = grants.new_id(board)
    state.waiting[key] = grants.Waiting(
        event.shard, event, now + leases.LEASE_S
    )
    for decision in book.submit(event, grant_id, now):
        yield from grants.announce(board, event.shard, decision, now)
    if key in state.waiting:
        yield _queued(board, event)


@handle.register
def _withdraw(
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


def _queued(board: boards.Board, ask: messages.Ask) -> actions.Send:
    queued = messages.Queued(
        **board.signature,
        request_id=ask.request_id,
        attempt=ask.attempt,
    )
    return actions.Send(ask.sender, queued)


# Progress of a grant


@handle.register
def _prefilled(
    event: messages.Prefilled, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = _find(board, event, now)
    if found is not None:
        shard, book = found
        book.prefill_finished(event.grant_id, now, event.cached_tokens)
        yield from grants.decide(board, shard, now)


@handle.register
def _first_token(
    event: messages.FirstToken, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = _find(board, event, now)
    if found is not None:
        shard, book = found
        book.first_token(event.grant_id, now)
        yield from grants.decide(board, shard, now)


@handle.register
def _release(
    event: messages.Release, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = _find(board, event, now)
    if found is not None and (event.clean or event.failed):
        # A caller that left tells nothing of the engine's pace.
        book = found[1]
        book.request_finished(
            event.grant_id, event.output_tokens, event.failed, now
        )
    if event.clean:
        yield from grants.free(board, event.grant_id, now)
    else:
        yield from grants.revoke(board, event.grant_id, now)


def _find(
    board: boards.Board, event: Any, now: float
) -> tuple[str, ledger.Ledger] | None:
    """Returns the shard and the model ledger of an event's grant."""
    state = board.state(grants.State)
    state.leases.renew((event.sender, event.epoch), now)
    held = state.leases.get(event.grant_id)
    if held is None:
        return None
    book = state.ledgers.get(held.shard)
    if isinstance(book, ledger.Ledger):
        return held.shard, book
    return None


# Time and engines


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(grants.State)
    for key, waiting in list(state.waiting.items()):
        if waiting.lapses_at < now:
            del state.waiting[key]
            state.ledgers[waiting.shard].withdraw(*key)
    for shard in list(state.ledgers):
        grants.open_ledger(board, shard)
        yield from grants.decide(board, shard, now)
    grants.drop_unused_ledgers(board)
    yield from cancels.retry(board, now)
    for grant_id in cancels.give_up(board):
        yield actions.Count("lost_replica_cancels")
        yield from grants.free(board, grant_id, now)


@handle.register
def _engine_answered(
    event: events.EngineAnswered, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    if event.operation == "cancel":
        for grant_id in cancels.confirm(board, event):
            yield from grants.free(board, grant_id, now)
