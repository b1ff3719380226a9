"""The entry's part in admission: obtains grants for its callers' requests.

An entry picks a shard for each request and sends an admission request to the
shard's owner. It resends it, or sends it to the next owner in rank, until the
owner grants or refuses it or the deadline passes. Heartbeats renew the
grants that it holds.
"""

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
OWNER_TIMEOUT_S = 0.3  # without a reply, the next owner is tried
RESEND_INTERVAL_S = 1.0
RETRY_AFTER_S = 1.0


class Request:
    """A caller's request that waits for a grant or holds one.

    ``owners`` are the hosts that may own its shard; the first one is the one
    that the request was last sent to.
    """

    def __init__(
        self, request: messages.AdmissionRequest, owners: list[str], now: float
    ):
        self.admission_request = request
        self.owners = owners
        self.resend_at = now + OWNER_TIMEOUT_S
        self.deadline = now + request.deadline_s
        self.grant: messages.Grant | None = None
        self.tried_shards: tuple[str, ...] = (request.shard,)
        self.moves = 0  # how often the grant has changed its owner


class State:
    """The requests of this entry, by id, and the ids by grant."""

    def __init__(self):
        self.requests: dict[str, Request] = {}
        self.request_ids_by_grant: dict[int, str] = {}
        self.next_heartbeat = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Returns the actions of an entry for ``event``.

    There are none for events that are not registered below.
    """
    return ()


# Callers


@handle.register
def _completion_requested(
    event: events.CompletionRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = configuration.find_pool(board, event.model)
    if configuration.current(board) is None:
        refused = outcomes.not_run(
            outcomes.Reason.NOT_CONFIGURED, RETRY_AFTER_S
        )
        yield actions.Reply(event.request_id, refused)
        return
    if found is None:
        detail = f"no pool serves the model {event.model!r}"
        refused = outcomes.not_run(
            outcomes.Reason.UNKNOWN_MODEL, detail=detail
        )
        yield actions.Reply(event.request_id, refused)
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
        yield actions.Reply(event.request_id, refused)
        return
    # The worker has already limited max_tokens by the configuration that it
    # read, and decodes that many. The reservation must have the same length,
    # even if the configuration has changed since.
    output_tokens = event.max_tokens or pool.max_output_tokens
    request = messages.AdmissionRequest(
        **board.sender_fields,
        request_id=event.request_id,
        attempt=event.attempt,
        shard="",
        organisation=event.organisation,
        model=event.model,
        priority_class=event.priority_class or pool.default_class,
        prompt_tokens=event.prompt_tokens,
        output_tokens=output_tokens,
        prefixes=list(event.prefixes),
        deadline_s=event.deadline_s
        or admission.max_wait_s(event.priority_class, pool),
        weight=admission.quota(board, event.organisation).weight,
        exclude=list(event.excluded),
        traceparent=event.traceparent,
    )
    yield from _send_to_owner(board, request, pool.service, now)


@handle.register
def _call_requested(
    event: events.CallRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    request = messages.AdmissionRequest(
        **board.sender_fields,
        request_id=event.request_id,
        attempt=event.attempt,
        shard="",
        organisation=event.organisation,
        deadline_s=event.deadline_s,
        exclude=list(event.excluded),
        traceparent=event.traceparent,
    )
    yield from _send_to_owner(board, request, event.service, now)


def _send_to_owner(
    board: boards.Board,
    request: messages.AdmissionRequest,
    service: str,
    now: float,
) -> Iterable[actions.Action]:
    """Picks a shard of ``service`` and sends ``request`` to its owner."""
    refused = admission.refusal(board, request)
    shard = shard_selection.select(board, service, now)
    if refused is None and shard is None:
        refused = outcomes.not_run(outcomes.Reason.NO_BACKEND, RETRY_AFTER_S)
    if refused is not None:
        yield actions.Reply(request.request_id, refused)
        return
    request = msgspec.structs.replace(request, shard=shard)
    # The list is never empty, since this daemon is itself a member.
    owners = shards.rank_owners(board, shard)
    _add(board, Request(request, owners, now))
    yield actions.Send(owners[0], request)


def _add(board: boards.Board, request: Request) -> None:
    board.state(State).requests[request.admission_request.request_id] = request
    admission.count_request(board, request.admission_request.organisation)
    shard_selection.add_request(board, request.admission_request.shard)


def _remove(board: boards.Board, request_id: str) -> None:
    """Removes a request and its part in the quota and shard counts."""
    request = board.state(State).requests.pop(request_id, None)
    if request is not None:
        admission.uncount_request(
            board, request.admission_request.organisation
        )
        shard_selection.remove_request(board, request.admission_request.shard)


@handle.register
def _prefill_finished(
    event: events.PrefillFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    grant = _find_grant(board, event.request_id)
    if grant is None:
        return
    prefilled = messages.Prefilled(
        **board.sender_fields,
        grant_id=grant.grant_id,
        cached_tokens=event.cached_tokens,
    )
    yield actions.Send(grant.sender, prefilled)


@handle.register
def _first_token_received(
    event: events.FirstTokenReceived, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    grant = _find_grant(board, event.request_id)
    if grant is None:
        return
    first = messages.FirstToken(**board.sender_fields, grant_id=grant.grant_id)
    yield actions.Send(grant.sender, first)


@handle.register
def _request_finished(
    event: events.RequestFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Releases a request's grant, or withdraws the request from the queue."""
    state = board.state(State)
    request = state.requests.get(event.request_id)
    if request is None or request.admission_request.attempt != event.attempt:
        return
    _remove(board, event.request_id)
    if request.grant is None:
        yield _withdraw_message(board, request)
        return
    state.request_ids_by_grant.pop(request.grant.grant_id, None)
    yield _release_message(board, request.grant, event)


def _find_grant(board: boards.Board, request_id: str) -> messages.Grant | None:
    request = board.state(State).requests.get(request_id)
    return None if request is None else request.grant


def _release_message(
    board: boards.Board, grant: messages.Grant, event: events.RequestFinished
) -> actions.Send:
    release = messages.Release(
        **board.sender_fields,
        grant_id=grant.grant_id,
        request_id=grant.request_id,
        clean=event.clean,
        failed=event.failed,
        output_tokens=event.output_tokens,
    )
    return actions.Send(grant.sender, release)


def _withdraw_message(board: boards.Board, request: Request) -> actions.Send:
    withdraw = messages.Withdraw(
        **board.sender_fields,
        request_id=request.admission_request.request_id,
        attempt=request.admission_request.attempt,
    )
    return actions.Send(request.owners[0], withdraw)


# Owners


@handle.register
def _granted(
    event: messages.Grant, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Accepts the grant of a waiting request and releases any other one."""
    state = board.state(State)
    request = state.requests.get(event.request_id)
    known = (
        request is not None
        and request.admission_request.attempt == event.attempt
    )
    if not known or request.grant is not None:
        if known and request.grant.grant_id == event.grant_id:
            return
        # No replica has received anything under this grant, so it is clean.
        ended = events.RequestFinished(event.request_id, event.attempt, True)
        yield _release_message(board, event, ended)
        return
    request.grant = event
    state.request_ids_by_grant[event.grant_id] = event.request_id
    yield actions.Reply(event.request_id, event)


@handle.register
def _refused(
    event: messages.Refusal, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Tries another shard if the reason allows it, or ends the request."""
    state = board.state(State)
    request = state.requests.get(event.request_id)
    if request is None or request.admission_request.attempt != event.attempt:
        return
    if request.grant is not None:
        return
    reason = outcomes.Reason(event.reason)
    if reason in shard_selection.RETRIABLE_ELSEWHERE:
        shard_selection.record_refusal(
            board, request.admission_request.shard, event.retry_after_s, now
        )
        if _retry_on_other_shard(board, request, now):
            yield actions.Send(request.owners[0], request.admission_request)
            return
    _remove(board, event.request_id)
    refused = outcomes.not_run(reason, event.retry_after_s)
    yield actions.Reply(event.request_id, refused)


def _retry_on_other_shard(
    board: boards.Board, request: Request, now: float
) -> bool:
    """Moves a refused request to another shard; returns whether it did.

    A request is moved at most once, before its deadline, and only if the
    retry budget allows it.
    """
    service = shards.service_of(request.admission_request.shard)
    shard = shard_selection.select(board, service, now, request.tried_shards)
    if (
        shard is None
        or len(request.tried_shards) > 1
        or now >= request.deadline
    ):
        return False
    if not board.state(admission.State).budget.try_spend():
        return False
    shard_selection.remove_request(board, request.admission_request.shard)
    shard_selection.add_request(board, shard)
    request.tried_shards += (shard,)
    request.admission_request = msgspec.structs.replace(
        request.admission_request,
        shard=shard,
        deadline_s=request.deadline - now,
    )
    request.owners = shards.rank_owners(board, shard)
    request.resend_at = now + OWNER_TIMEOUT_S
    return True


@handle.register
def _queued(
    event: messages.Queued, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    request = board.state(State).requests.get(event.request_id)
    if request is not None and event.sender == request.owners[0]:
        request.resend_at = now + RESEND_INTERVAL_S
    return ()


@handle.register
def _revoked(
    event: messages.Revoked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Ends the requests whose grants the owner has revoked.

    They may have run already.
    """
    state = board.state(State)
    for grant_id in event.grant_ids:
        request_id = state.request_ids_by_grant.pop(grant_id, None)
        if request_id is None:
            continue
        _remove(board, request_id)
        yield actions.Count("revoked_grants")
        refused = outcomes.may_have_run(outcomes.Reason.REVOKED)
        yield actions.Reply(request_id, refused)


@handle.register
def _heartbeat_mismatch(
    event: messages.HeartbeatMismatch, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    grants = messages.GrantList(
        **board.sender_fields,
        grant_ids=sorted(_grant_ids_from(board, event.sender)),
    )
    yield actions.Send(event.sender, grants)


def _grant_ids_from(board: boards.Board, sender: str) -> list[int]:
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
            yield from _time_out_or_resend(board, request, now)
    if now >= state.next_heartbeat:
        state.next_heartbeat = now + HEARTBEAT_S
        yield from _send_heartbeats(board)


def _time_out_or_resend(
    board: boards.Board, request: Request, now: float
) -> Iterable[actions.Action]:
    """Times a request out at its deadline, or sends it again when due.

    It goes to the next owner in rank if the last one did not reply.
    """
    if now >= request.deadline:
        _remove(board, request.admission_request.request_id)
        yield _withdraw_message(board, request)
        refused = outcomes.not_run(
            outcomes.Reason.FIRST_TOKEN_TOO_LATE, RETRY_AFTER_S
        )
        yield actions.Reply(request.admission_request.request_id, refused)
        return
    if now < request.resend_at:
        return
    last_owner = request.owners[0]
    request.owners = shards.rank_owners(board, request.admission_request.shard)
    if request.owners[0] == last_owner and len(request.owners) > 1:
        request.owners.append(request.owners.pop(0))
    request.resend_at = now + OWNER_TIMEOUT_S
    yield actions.Send(request.owners[0], request.admission_request)


def _send_heartbeats(board: boards.Board) -> Iterable[actions.Action]:
    """Sends one heartbeat to each owner, which renews all its grants."""
    by_owner: dict[str, list[int]] = {}
    for request in board.state(State).requests.values():
        if request.grant is not None:
            grants = by_owner.setdefault(request.grant.sender, [])
            grants.append(request.grant.grant_id)
    for host, grants in by_owner.items():
        heartbeat = messages.Heartbeat(
            **board.sender_fields,
            count=len(grants),
            digest=leases.digest(grants),
        )
        yield actions.Send(host, heartbeat)
