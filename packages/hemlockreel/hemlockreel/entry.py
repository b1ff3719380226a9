"""The entry: takes callers' requests to the owner of a shard and back."""

from collections.abc import Iterable
import functools
from typing import Any

import msgspec

from . import actions
from . import admission
from . import board as boards
from . import configuration
from . import events
from . import leases
from . import messages
from . import outcomes
from . import shard_selection
from . import shards

HEARTBEAT_S = 1.0
ASK_TIMEOUT_S = 0.3  # silence after which the next owner is asked
REPEAT_ASK_S = 1.0
RETRY_AFTER_S = 1.0


class Request:
    """A caller's request that waits for a grant or holds one."""

    def __init__(self, ask: messages.Ask, owners: list[str], now: float):
        self.ask = ask
        self.owners = owners
        self.ask_again_at = now + ASK_TIMEOUT_S
        self.deadline = now + ask.deadline_s
        self.grant: messages.Grant | None = None
        self.tried: tuple[str, ...] = (ask.shard,)
        self.moves = 0  # of the grant, from one owner to the next


class State:
    """The requests of this entry."""

    def __init__(self):
        self.requests: dict[str, Request] = {}
        self.by_grant: dict[int, str] = {}
        self.next_heartbeat = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of an entry; all others yield nothing."""
    return ()


# Callers


@handle.register
def _generation(
    event: events.GenerationAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = configuration.find_pool(board, event.model)
    if configuration.current(board) is None:
        refused = outcomes.not_run(
            outcomes.Reason.NOT_CONFIGURED, RETRY_AFTER_S
        )
        yield actions.Tell(event.request_id, refused)
        return
    if found is None:
        detail = f"no pool serves the model {event.model!r}"
        refused = outcomes.not_run(
            outcomes.Reason.UNKNOWN_MODEL, detail=detail
        )
        yield actions.Tell(event.request_id, refused)
        return
    pool = found[1]
    if event.prompt_tokens > pool.max_prompt_tokens:
        detail = (
            f"the prompt has {event.prompt_tokens} tokens, "
            f"the pool takes {pool.max_prompt_tokens}"
        )
        refused = outcomes.not_run(
            outcomes.Reason.PROMPT_TOO_LONG, detail=detail
        )
        yield actions.Tell(event.request_id, refused)
        return
    # The worker has limited the length by the configuration that it saw, and
    # will decode as much: what is reserved must be the same.
    output_tokens = event.max_tokens or pool.max_output_tokens
    ask = messages.Ask(
        **board.signature,
        request_id=event.request_id,
        attempt=event.attempt,
        shard="",
        organisation=event.organisation,
        model=event.model,
        klass=event.klass or pool.default_class,
        prompt_tokens=event.prompt_tokens,
        output_tokens=output_tokens,
        prefixes=list(event.prefixes),
        deadline_s=event.deadline_s or admission.max_wait_s(event.klass, pool),
        weight=admission.quota(board, event.organisation).weight,
        exclude=list(event.excluded),
        traceparent=event.traceparent,
    )
    yield from _ask_owner(board, ask, pool.service, now)


@handle.register
def _call(
    event: events.CallAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    ask = messages.Ask(
        **board.signature,
        request_id=event.request_id,
        attempt=event.attempt,
        shard="",
        organisation=event.organisation,
        deadline_s=event.deadline_s,
        exclude=list(event.excluded),
        traceparent=event.traceparent,
    )
    yield from _ask_owner(board, ask, event.service, now)


def _ask_owner(
    board: boards.Board, ask: messages.Ask, service: str, now: float
) -> Iterable[actions.Action]:
    """Asks the owner of a shard of ``service`` for a place."""
    refused = admission.refusal(board, ask)
    shard = shard_selection.select(board, service, now)
    if refused is None and shard is None:
        refused = outcomes.not_run(outcomes.Reason.NO_BACKEND, RETRY_AFTER_S)
    if refused is not None:
        yield actions.Tell(ask.request_id, refused)
        return
    ask = msgspec.structs.replace(ask, shard=shard)
    # There is always an owner: this daemon is a member itself.
    owners = shards.rank_owners(board, shard)
    _add(board, Request(ask, owners, now))
    yield actions.Send(owners[0], ask)


def _add(board: boards.Board, request: Request) -> None:
    board.state(State).requests[request.ask.request_id] = request
    admission.count_request(board, request.ask.organisation)
    shard_selection.add_request(board, request.ask.shard)


def _remove(board: boards.Board, request_id: str) -> None:
    """Forgets a request and what was counted for it."""
    request = board.state(State).requests.pop(request_id, None)
    if request is not None:
        admission.uncount_request(board, request.ask.organisation)
        shard_selection.remove_request(board, request.ask.shard)


@handle.register
def _prefill_ended(
    event: events.PrefillEnded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    grant = _grant_of(board, event.request_id)
    if grant is None:
        return
    prefilled = messages.Prefilled(
        **board.signature,
        grant_id=grant.grant_id,
        cached_tokens=event.cached_tokens,
    )
    yield actions.Send(grant.sender, prefilled)


@handle.register
def _first_token(
    event: events.FirstTokenCame, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    grant = _grant_of(board, event.request_id)
    if grant is None:
        return
    first = messages.FirstToken(
        **board.signature,
        grant_id=grant.grant_id,
    )
    yield actions.Send(grant.sender, first)


@handle.register
def _ended(
    event: events.RequestEnded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    request = state.requests.get(event.request_id)
    if request is None or request.ask.attempt != event.attempt:
        return
    _remove(board, event.request_id)
    if request.grant is None:
        yield _withdraw(board, request)
        return
    state.by_grant.pop(request.grant.grant_id, None)
    yield _release(board, request.grant, event)


def _grant_of(board: boards.Board, request_id: str) -> messages.Grant | None:
    request = board.state(State).requests.get(request_id)
    return None if request is None else request.grant


def _release(
    board: boards.Board, grant: messages.Grant, event: events.RequestEnded
) -> actions.Send:
    release = messages.Release(
        **board.signature,
        grant_id=grant.grant_id,
        request_id=grant.request_id,
        clean=event.clean,
        failed=event.failed,
        output_tokens=event.output_tokens,
    )
    return actions.Send(grant.sender, release)


def _withdraw(board: boards.Board, request: Request) -> actions.Send:
    withdraw = messages.Withdraw(
        **board.signature,
        request_id=request.ask.request_id,
        attempt=request.ask.attempt,
    )
    return actions.Send(request.owners[0], withdraw)


# Owners


@handle.register
def _granted(
    event: messages.Grant, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    request = state.requests.get(event.request_id)
    known = request is not None and request.ask.attempt == event.attempt
    if not known or request.grant is not None:
        if known and request.grant.grant_id == event.grant_id:
            return
        # Nothing was sent to the replicas under this grant, so it is clean.
        ended = events.RequestEnded(event.request_id, event.attempt, True)
        yield _release(board, event, ended)
        return
    request.grant = event
    state.by_grant[event.grant_id] = event.request_id
    yield actions.Tell(event.request_id, event)


@handle.register
def _refused(
    event: messages.Refusal, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    request = state.requests.get(event.request_id)
    if request is None or request.ask.attempt != event.attempt:
        return
    if request.grant is not None:
        return
    reason = outcomes.Reason(event.reason)
    if reason in shard_selection.RETRIABLE_ELSEWHERE:
        shard_selection.record_refusal(
            board, request.ask.shard, event.retry_after_s, now
        )
        if _ask_another(board, request, now):
            yield actions.Send(request.owners[0], request.ask)
            return
    _remove(board, event.request_id)
    refused = outcomes.not_run(reason, event.retry_after_s)
    yield actions.Tell(event.request_id, refused)


def _ask_another(board: boards.Board, request: Request, now: float) -> bool:
    """Turns a refused request to one other shard, if it may be retried."""
    service = shards.service_of(request.ask.shard)
    shard = shard_selection.select(board, service, now, request.tried)
    if shard is None or len(request.tried) > 1 or now >= request.deadline:
        return False
    if not board.state(admission.State).budget.try_spend():
        return False
    shard_selection.remove_request(board, request.ask.shard)
    shard_selection.add_request(board, shard)
    request.tried += (shard,)
    request.ask = msgspec.structs.replace(
        request.ask, shard=shard, deadline_s=request.deadline - now
    )
    request.owners = shards.rank_owners(board, shard)
    request.ask_again_at = now + ASK_TIMEOUT_S
    return True


@handle.register
def _queued(
    event: messages.Queued, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    request = board.state(State).requests.get(event.request_id)
    if request is not None and event.sender == request.owners[0]:
        request.ask_again_at = now + REPEAT_ASK_S
    return ()


@handle.register
def _revoked(
    event: messages.Revoked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for grant_id in event.grant_ids:
        request_id = state.by_grant.pop(grant_id, None)
        if request_id is None:
            continue
        _remove(board, request_id)
        yield actions.Count("revoked_grants")
        refused = outcomes.unknown(outcomes.Reason.REVOKED)
        yield actions.Tell(request_id, refused)


@handle.register
def _mismatch(
    event: messages.HeartbeatMismatch, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    grants = messages.GrantList(
        **board.signature,
        grant_ids=sorted(_grants_from(board, event.sender)),
    )
    yield actions.Send(event.sender, grants)


def _grants_from(board: boards.Board, sender: str) -> list[int]:
    return [
        request.grant.grant_id
        for request in board.state(State).requests.values()
        if request.grant is not None and request.grant.sender == sender
    ]


# Time


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for request in list(state.requests.values()):
        if request.grant is None:
            yield from _wait(board, request, now)
    if now >= state.next_heartbeat:
        state.next_heartbeat = now + HEARTBEAT_S
        yield from _heartbeats(board)


def _wait(
    board: boards.Board, request: Request, now: float
) -> Iterable[actions.Action]:
    """Gives up a request past its deadline, or asks the next owner."""
    if now >= request.deadline:
        _remove(board, request.ask.request_id)
        yield _withdraw(board, request)
        refused = outcomes.not_run(outcomes.Reason.LATE, RETRY_AFTER_S)
        yield actions.Tell(request.ask.request_id, refused)
        return
    if now < request.ask_again_at:
        return
    silent = request.owners[0]
    request.owners = shards.rank_owners(board, request.ask.shard)
    if request.owners[0] == silent and len(request.owners) > 1:
        request.owners.append(request.owners.pop(0))
    request.ask_again_at = now + ASK_TIMEOUT_S
    yield actions.Send(request.owners[0], request.ask)


def _heartbeats(board: boards.Board) -> Iterable[actions.Action]:
    """Renews the leases of all grants with one message per owner."""
    by_owner: dict[str, list[int]] = {}
    for request in board.state(State).requests.values():
        if request.grant is not None:
            grants = by_owner.setdefault(request.grant.sender, [])
            grants.append(request.grant.grant_id)
    for host, grants in by_owner.items():
        heartbeat = messages.Heartbeat(
            **board.signature,
            count=len(grants),
            digest=leases.digest(grants),
        )
        yield actions.Send(host, heartbeat)
