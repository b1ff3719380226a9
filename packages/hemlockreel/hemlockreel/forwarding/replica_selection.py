"""Selects replicas for workers and records the outcomes they report.

A worker is a thread that forwards one request. It posts the events below to
the loop, which replies with the candidates. :mod:`ranking` decides their
order.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import membership
from .. import messages
from .. import outcomes
from . import blocked_parts
from . import instances
from . import output_lengths
from . import prefill_times
from . import ranking
from . import replica_health
from . import replica_limits
from . import replica_pauses
from . import retry_budget
from . import shared_placement

NO_BACKEND_RETRY_AFTER_S = 1.0
# How long a mismatched replica is excluded. It rewrites its entry at each
# heartbeat, and hosts read the change in less than a second.
MISMATCH_EXCLUSION_S = 2.0


class Usable(NamedTuple):
    """The replica of :class:`UsabilityRequested` may get the request.

    If it is ``limited``, that needs a permit.
    """

    limited: bool = False


class Candidates(NamedTuple):
    """The replicas to try, best first.

    ``reserve_tokens`` is the output to reserve memory for, ``limited`` the
    ids of replicas that need a permit for each call. If ``is_shared``, another
    host may know better: see :mod:`shared_placement`.
    """

    instances: tuple[instances.Instance, ...]
    reserve_tokens: int = 0
    limited: frozenset[str] = frozenset()
    is_shared: bool = False


class GenerationFinished(NamedTuple):
    """A complete response of ``output`` tokens was sent to the caller.

    ``max_output`` and ``estimated_output`` are those of
    :class:`ranking.CandidatesRequested`.
    """

    service: str
    max_output: int
    estimated_output: int
    output: int


class SendStarted(NamedTuple):
    """A worker is about to send a request to the replica ``id``."""

    id: str
    tokens: int = 0


class SendFinished(NamedTuple):
    """A worker has finished a request at the replica ``id``.

    ``succeeded`` is ``None`` if the outcome says nothing about the replica.
    """

    id: str
    tokens: int = 0
    succeeded: bool | None = True


class ConnectFailed(NamedTuple):
    """A worker could not connect to the replica ``id``."""

    id: str


class InstanceMismatch(NamedTuple):
    """The replica ``id`` has another stage or run than the list shows."""

    id: str


class ReservationRefused(NamedTuple):
    """The replica ``id`` had no memory for a reservation of ``tokens``."""

    id: str
    tokens: int


class PrefillFinished(NamedTuple):
    """The prefill replica ``id`` took ``seconds`` for a prompt of ``tokens``.

    The time includes that in the replica's queue.
    """

    id: str
    tokens: int
    seconds: float


class PrefillResultUsed(NamedTuple):
    """A decode replica used a result of the prefill replica ``id``.

    ``succeeded`` is false if the result had expired.
    """

    id: str
    succeeded: bool


class RetryRequested(NamedTuple):
    """A worker needs a retry for ``service`` from the retry budget."""

    request_id: str
    service: str


class UsabilityRequested(NamedTuple):
    """A worker is about to send a request for ``service`` to ``id``.

    The reply is :class:`Usable`, or the refusal if the replica may not be used
    any more or one of the request's ``parts`` is blocked.
    """

    request_id: str
    id: str
    service: str = ""
    parts: tuple[str, ...] = ()


class RequestReceived(NamedTuple):
    """A caller's request for ``service`` was received."""

    service: str


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of workers; all others yield nothing."""
    return ()


@handle.register
def _request_received(
    event: RequestReceived, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    budget = board.state(retry_budget.State)
    retry_budget.record_request(budget, event.service, now)
    return ()


@handle.register
def _candidates_requested(
    event: ranking.CandidatesRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    blocked = blocked_parts.find_refusal(
        board, event.service, event.parts, now, event.request_id
    )
    if blocked is not None:
        yield actions.Reply(event.request_id, blocked)
        return
    if event.has_broken and blocked_parts.is_suspected(
        board, event.service, event.parts, now
    ):
        yield actions.Count("repeats_refused")
        refused = outcomes.not_run(
            outcomes.Reason.REQUEST_BLOCKED,
            NO_BACKEND_RETRY_AFTER_S,
            "replicas may crash on this request",
        )
        yield actions.Reply(event.request_id, refused)
        return
    found = ranking.rank(board, event, now)
    if not found:
        refused = refusal_without_candidates(board, event, now)
        yield actions.Reply(event.request_id, refused)
        return
    if event.is_retry and not _take_retry(board, event.service, now):
        yield actions.Count("repeats_refused")
        reason = outcomes.Reason.OVERLOADED
        refused = outcomes.not_run(
            reason,
            NO_BACKEND_RETRY_AFTER_S,
            "the budget of repeats is used up",
        )
        yield actions.Reply(event.request_id, refused)
        return
    reserve = output_lengths.tokens_to_reserve(
        board.state(output_lengths.State),
        event.service,
        event.max_output,
        event.estimated_output,
    )
    limited = replica_limits.limited(board)
    is_shared = board.state(shared_placement.State).is_shared
    yield actions.Reply(
        event.request_id,
        Candidates(tuple(found), reserve, limited, is_shared),
    )


def refusal_without_candidates(
    board: boards.Board, event: ranking.CandidatesRequested, now: float
) -> outcomes.Refused:
    """Returns the refusal of a request that no replica may get."""
    if _is_version_gone(board, event, now):
        return outcomes.not_run(
            outcomes.Reason.STREAM_LOST,
            detail=f"no replica of {event.software!r}, its version, is left",
        )
    wait_s = _wait_for_paused_s(board, event, now)
    if wait_s is not None:
        return outcomes.not_run(
            outcomes.Reason.BACKEND_PAUSED,
            wait_s,
            "all replicas have asked this host for a pause",
        )
    return outcomes.not_run(
        outcomes.Reason.NO_BACKEND, NO_BACKEND_RETRY_AFTER_S
    )


def _is_version_gone(
    board: boards.Board, event: ranking.CandidatesRequested, now: float
) -> bool:
    """Returns whether the wanted version has left the service."""
    known = board.state(instances.State)
    return event.software is not None and not any(
        each.software == event.software
        for each in instances.remaining(known, event.service, now)
    )


def _wait_for_paused_s(
    board: boards.Board, event: ranking.CandidatesRequested, now: float
) -> float | None:
    known = board.state(instances.State)
    usable = instances.usable(known, event.service, now, event.stage)
    paused = [each for each in usable if each.id not in event.exclude]
    return replica_pauses.wait_s(board, paused, now)


@handle.register
def _retry_requested(
    event: RetryRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    taken = _take_retry(board, event.service, now)
    if not taken:
        yield actions.Count("repeats_refused")
    yield actions.Reply(event.request_id, taken)


def _take_retry(board: boards.Board, service: str, now: float) -> bool:
    budget = board.state(retry_budget.State)
    hosts = len(membership.live_members(board))
    return retry_budget.take_retry(budget, service, hosts, now)


@handle.register
def _send_started(
    event: SendStarted, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(ranking.State)
    state.running[event.id] = state.running.get(event.id, 0) + 1
    state.running_tokens[event.id] = (
        state.running_tokens.get(event.id, 0) + event.tokens
    )
    return ()


@handle.register
def _send_finished(
    event: SendFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(ranking.State)
    remaining = state.running.get(event.id, 0) - 1
    if remaining > 0:
        state.running[event.id] = remaining
        state.running_tokens[event.id] -= event.tokens
    else:
        state.running.pop(event.id, None)
        state.running_tokens.pop(event.id, None)
    if event.succeeded is not None:
        replica_health.record_outcome(
            board.state(replica_health.State), event.id, event.succeeded, now
        )
    return ()


@handle.register
def _connect_failed(
    event: ConnectFailed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    replica_health.record_connect_failure(
        board.state(replica_health.State), event.id, now
    )
    yield actions.Log("replica_unreached", {"replica": event.id})


@handle.register
def _instance_mismatch(
    event: InstanceMismatch, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Excludes a replica at all hosts, as its list entry is outdated.

    The exclusion ends after ``MISMATCH_EXCLUSION_S``, or earlier when the
    list shows another stage.
    """
    state = board.state(instances.State)
    if state.changing_until.get(event.id, now) > now:
        return
    known = state.instances.get(event.id)
    stage = "" if known is None else known.stage.value
    instances.mark_changing(state, event.id, now + MISMATCH_EXCLUSION_S)
    fields = {"replica": event.id, "for_s": MISMATCH_EXCLUSION_S}
    yield actions.Log("replica_misplaced", fields)
    changing = messages.ReplicaChanging(
        **board.sender_fields,
        replica=event.id,
        for_s=MISMATCH_EXCLUSION_S,
        stage=stage,
    )
    yield from membership.broadcast(board, changing)


@handle.register
def _generation_finished(
    event: GenerationFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    output_lengths.record_output(board.state(output_lengths.State), *event)
    return ()


@handle.register
def _prefill_finished(
    event: PrefillFinished, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    prefill_times.record(board.state(prefill_times.State), *event, now)
    return ()


@handle.register
def _prefill_result_used(
    event: PrefillResultUsed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(replica_health.State)
    replica_health.record_prefill_result(state, event.id, event.succeeded, now)
    return ()


@handle.register
def _reservation_refused(
    event: ReservationRefused, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    board.state(ranking.State).reservation_refused_at[event.id] = now
    return ()


def may_call(
    board: boards.Board,
    instance: instances.Instance,
    now: float,
    has_permit: bool = False,
) -> bool:
    """Returns whether ``instance`` wants calls that free what it holds.

    It wants none after it has stated that it leaves, or asked for a pause,
    and while it names a limit, unless the call ``has_permit``.
    """
    state = board.state(instances.State)
    return not (
        instances.has_said_so(state, instance)
        or replica_pauses.is_paused(board, instance, now)
        or (not has_permit and instance.id in replica_limits.limited(board))
    )


@handle.register
def _usability_requested(
    event: UsabilityRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(instances.State)
    found = instances.is_usable(state, event.id, now) and not (
        replica_pauses.is_paused(board, state.instances[event.id], now)
    )
    usable = Usable(event.id in replica_limits.limited(board))
    if not found:
        refused = outcomes.not_run(
            outcomes.Reason.NO_BACKEND,
            NO_BACKEND_RETRY_AFTER_S,
            f"{event.id} is leaving or changing",
        )
    else:
        refused = blocked_parts.find_refusal(
            board, event.service, event.parts, now, event.request_id
        )
    yield actions.Reply(event.request_id, refused or usable)
