"""Which replicas this host reaches by itself, and who connects for it.

Whether a replica can be reached is a matter of the host and the replica, not
of the replica alone: a host may lose its connections to all replicas while
callers, the store and the other hosts still reach it. Another host then opens
the connection to the replica and carries its bytes. All decisions on a request
stay at the host that received it.

A replica is tried directly first. If that takes too long or fails, the same
request is given a second way through another host. While that is the only way
to a replica, requests take it, and this host itself tries the direct one again
now and then.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from .. import precedence
from . import instances
from . import replica_pauses

RETRY_DIRECT_S = 1.0  # between direct tries of a replica that failed
# The pause doubles up to this while no other host reaches the replica.
MAX_RETRY_S = 4.0
PROBE_PERIOD_S = 0.3  # of the tries that this host makes by itself
# After one replica was reached again the others most likely are as well, and
# other hosts wait for paths through this one.
RETURN_S = 2.0
RETURN_PROBES = 4  # in each tick of that time
# A replica that so many other hosts can't reach either most likely is gone,
# and second ways to it would only add connections that fail. One host alone
# may be cut off as well.
GONE_HELPERS = 2
GONE_S = 1.0
HELPER_PAUSE_S = 1.0  # after a host has opened no path
# Answers that say nothing about paths to other replicas.
REPLICA_REFUSALS = ("unreached", "unlisted", "leaving", "paused")
MAX_HELPERS = 4  # asked for one connection, one after the other
# So many replicas of a service must be out of reach, or all if it has fewer.
# One alone has most likely crashed.
CUT_REPLICAS = 2
# Before the other hosts are told, so that a try at a further replica can show
# that two have crashed at once.
ANNOUNCE_AFTER_S = 0.3


class DirectFailed(NamedTuple):
    """This host could not connect to a replica in time."""

    id: str
    service: str
    detail: str = ""


class DirectReached(NamedTuple):
    """This host has connected to a replica by itself."""

    id: str
    service: str


class PathOpened(NamedTuple):
    """The host ``helper`` has connected to the replica ``id`` for this one."""

    id: str
    helper: str


class PathFailed(NamedTuple):
    """A path to the replica ``id`` through ``helper`` was not opened.

    ``answer`` is why, in the helper's words, and empty if it gave none.
    """

    id: str
    helper: str
    answer: str


class Failing(NamedTuple):
    """A replica that this host failed to reach by itself ``since`` then.

    ``pause_s`` is the pause after the next try. ``is_helped`` is set while
    another host reaches it, and ``unhelped_by`` are those that could not since
    one did.
    """

    service: str
    since: float
    next_try_at: float
    pause_s: float = RETRY_DIRECT_S
    is_helped: bool = False
    unhelped_by: frozenset[str] = frozenset()


class State:
    """The replicas out of reach by id, and when services were last reached.

    ``helped`` and ``watched`` are what threads read: the ids with
    ``is_helped``, and the services with a replica that fails. Both are
    replaced as a whole. ``cut_since`` maps the services of which this host
    seems to reach no replica to the time since which it does. It has reached
    one again just now, up to ``returning_until``. ``helper_paused_until`` has
    the time until which a host isn't asked for paths to a replica, or to any
    if the id is empty.
    """

    def __init__(self):
        self.failing: dict[str, Failing] = {}
        self.reached_at: dict[str, float] = {}
        self.gone_until: dict[str, float] = {}
        self.helper_paused_until: dict[tuple[str, str], float] = {}
        self.cut_since: dict[str, float] = {}
        self.next_probe_at = 0.0
        self.returning_until = 0.0
        self.helped: frozenset[str] = frozenset()
        self.watched: frozenset[str] = frozenset()


def pick_helpers(
    board: boards.Board, instance: instances.Instance, now: float
) -> tuple[tuple[str, str], ...]:
    """Returns hosts to ask for a path: the address of their paths and peers.

    They are picked at random among those that seem to reach the service, so
    that they share the work. There are none for a replica that seems gone.
    """
    state = board.state(State)
    if state.gone_until.get(instance.id, now) > now:
        return ()
    paused = state.helper_paused_until
    found = [
        (each.paths, each.host)
        for each in _others(board)
        if _may_help(each, instance.service)
        and paused.get((each.host, ""), now) <= now
        and paused.get((each.host, instance.id), now) <= now
    ]
    return tuple(board.rng.sample(found, min(MAX_HELPERS, len(found))))


def _others(board: boards.Board) -> list[messages.MemberUpdate]:
    return [
        each
        for each in membership.reachable_members(board)
        if each.host != board.identity.host
    ]


def _may_help(member: messages.MemberUpdate, service: str) -> bool:
    """Returns whether ``member`` seems to reach the replicas of a service."""
    return (
        bool(member.paths)
        and member.state != precedence.SUSPECT
        and not member.draining
        and service not in member.unreached
    )


def find_for_path(
    board: boards.Board, id: str, born: int, now: float
) -> instances.Instance | str:
    """Returns a replica to open a path to, or why this host opens none.

    It opens paths only to replicas that it might call itself. The path is
    also a direct try of a replica that failed, if that is due.
    """
    if membership.table(board).draining:
        return "stopping"
    known = board.state(instances.State)
    found = known.instances.get(id)
    if found is None or found.born != born:
        return "unlisted"
    if found.draining or instances.has_said_so(known, found):
        return "leaving"
    if replica_pauses.is_paused(board, found, now):
        return "paused"
    state = board.state(State)
    failing = state.failing.get(id)
    if failing is not None and now < failing.next_try_at:
        return "unreached"
    if failing is not None:
        state.failing[id] = failing._replace(next_try_at=now + RETRY_DIRECT_S)
    return found


def is_member(board: boards.Board, ip: str) -> bool:
    """Returns whether a live member of the region has the address ``ip``."""
    return any(
        each.host.rpartition(":")[0] == ip
        for each in membership.live_members(board)
    )


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles what connecting has shown; all other events yield nothing."""
    return ()


@handle.register
def _direct_failed(
    event: DirectFailed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    known = state.failing.get(event.id)
    if known is None:
        fields = {"replica": event.id, "detail": event.detail}
        yield actions.Log("replica_out_of_reach", fields)
        known = Failing(event.service, now, now)
    pause_s = RETRY_DIRECT_S if known.is_helped else known.pause_s
    state.failing[event.id] = known._replace(
        next_try_at=now + pause_s,
        pause_s=min(2 * known.pause_s, MAX_RETRY_S),
    )
    yield from _update(board, now)


@handle.register
def _direct_reached(
    event: DirectReached, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.reached_at[event.service] = now
    state.gone_until.pop(event.id, None)
    if state.failing.pop(event.id, None) is not None:
        yield actions.Log("replica_in_reach", {"replica": event.id})
        state.returning_until = now + RETURN_S
        for id, each in state.failing.items():
            state.failing[id] = each._replace(next_try_at=now)
    yield from _update(board, now)


@handle.register
def _path_opened(
    event: PathOpened, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    yield actions.Count("paths", 1, ("opened",))
    state.gone_until.pop(event.id, None)
    known = state.failing.get(event.id)
    if known is not None:
        state.failing[event.id] = known._replace(
            is_helped=True, unhelped_by=frozenset()
        )
        if not known.is_helped:
            yield from _update(board, now)


@handle.register
def _path_failed(
    event: PathFailed, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    yield actions.Count("paths", 1, ("failed",))
    concerned = event.id if event.answer in REPLICA_REFUSALS else ""
    key = event.helper, concerned
    state.helper_paused_until[key] = now + HELPER_PAUSE_S
    known = state.failing.get(event.id)
    if known is None or event.answer != "unreached":
        return
    unhelped_by = known.unhelped_by | {event.helper}
    found = known._replace(unhelped_by=unhelped_by)
    if len(unhelped_by) >= GONE_HELPERS:
        state.gone_until[event.id] = now + GONE_S
        found = known._replace(is_helped=False, unhelped_by=frozenset())
    state.failing[event.id] = found


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if not state.failing:
        return
    known = board.state(instances.State).instances
    for id in [id for id in state.failing if id not in known]:
        del state.failing[id]
    _forget_past(state.gone_until, now)
    _forget_past(state.helper_paused_until, now)
    yield from _update(board, now)
    if now < state.returning_until:
        yield from _probe(board, now, RETURN_PROBES)
    elif now >= state.next_probe_at:
        state.next_probe_at = now + PROBE_PERIOD_S
        yield from _probe(board, now, 1)


def _forget_past(times: dict[Any, float], now: float) -> None:
    for key in [key for key, until in times.items() if until <= now]:
        del times[key]


def _probe(
    board: boards.Board, now: float, most: int
) -> Iterable[actions.Action]:
    """Tries up to ``most`` replicas, so that the way back needs no request.

    While this host seems cut off from a service, a replica that is not known
    to fail shows soonest whether it is.
    """
    state = board.state(State)
    known = board.state(instances.State)
    chosen = [
        each
        for service in state.cut_since
        for each in instances.remaining(known, service, now)
        if each.id not in state.failing
    ] or [
        known.instances[id]
        for id, each in state.failing.items()
        if each.next_try_at <= now
    ]
    chosen = [
        each
        for each in chosen
        if not replica_pauses.is_paused(board, each, now)
    ]
    for each in board.rng.sample(chosen, min(most, len(chosen))):
        failing = state.failing.get(each.id)
        if failing is not None:
            state.failing[each.id] = failing._replace(
                next_try_at=now + RETRY_DIRECT_S
            )
        yield actions.TryConnect(each)


def _update(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Decides of which services this host is cut off, and says so."""
    state = board.state(State)
    state.helped = frozenset(
        id for id, each in state.failing.items() if each.is_helped
    )
    state.watched = frozenset(each.service for each in state.failing.values())
    cut = {each for each in state.watched if _is_cut(board, each, now)}
    for service in sorted(cut - state.cut_since.keys()):
        state.cut_since[service] = now
        yield actions.Log("cut_off", {"service": service})
        yield actions.Count("cut_offs")
    for service in sorted(state.cut_since.keys() - cut):
        del state.cut_since[service]
        yield actions.Log("back_in_reach", {"service": service})
    membership.table(board).unreached = tuple(
        sorted(
            service
            for service, since in state.cut_since.items()
            if now - since >= ANNOUNCE_AFTER_S
        )
    )


def _is_cut(board: boards.Board, service: str, now: float) -> bool:
    state = board.state(State)
    listed = instances.remaining(board.state(instances.State), service, now)
    reached_at = state.reached_at.get(service, -1.0)
    failing = [
        found
        for each in listed
        if (found := state.failing.get(each.id)) is not None
        and found.since > reached_at
    ]
    # Replicas that no other host reaches either are in trouble themselves.
    return (
        len(failing) >= min(CUT_REPLICAS, len(listed))
        and any(each.is_helped for each in failing)
        and any(_may_help(e, service) for e in _others(board))
    )


@handle.register
def _pause_told(
    event: messages.PauseTold, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Keeps a pause that a replica has asked of this host over a path."""
    asked = replica_pauses.PauseAsked(event.replica, event.born, event.for_s)
    yield from replica_pauses.handle(asked, board, now)
