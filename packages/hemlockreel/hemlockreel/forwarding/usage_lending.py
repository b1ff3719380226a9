"""The lenders of a usage cap: which hosts they are and what they lend.

A few hosts, chosen by rendezvous among those that this host reaches, each
fill a part of an organisation's cap and lend it. A host that sees only some of
the known hosts lends only that part, since the others may lend theirs.
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
from .. import rendezvous
from . import active_deployment
from . import organisations
from . import usage_bounds
from . import usage_buckets

# Of what is in hand, for requests to come at the asking host.
EXTRA_SHARE = 0.125
# After its start a host knows few others, and would take itself for one of the
# lenders. Members need about a second to join.
SETTLE_S = 2.0
# After this time without any other host, those of the settings seem lost.
NO_OTHERS_S = 10.0
# A host that is cut off takes its part after the others have noticed, since
# they lend that part until then.
NOTICED_S = 6.0


class Members(NamedTuple):
    """The hosts as seen at ``version`` of the member table of ``size``.

    Members that are gone for long leave the table without another version.
    ``known`` also counts those that seem dead: they may only be cut off.
    """

    version: int = -1
    size: int = 0
    usable: tuple[str, ...] = ()
    reached: int = 1
    known: int = 1


class Lent(NamedTuple):
    """This host's part of a cap and what is left of it.

    The cap is that of the deployment's ``version``, and never gets older. A
    full bucket can lend up to ``owed`` more than its depth.
    """

    cap: organisations.UsageCap
    version: int
    bucket: usage_buckets.Bucket
    owed: float = 0.0


class State:
    """The parts of caps that this host lends, by organisation.

    ``limits`` come from the platform's settings. ``chosen`` keeps the lenders
    by organisation and number, as ``members`` has them. ``started_at`` is the
    time of the first tick, ``cut_off_at`` that since which this host seems
    cut off, ``None`` if it doesn't. ``has_met_others`` is set once another
    host was known. ``basis`` holds the versions of the member table and of the
    deployment for which the parts were worked out.
    """

    def __init__(self):
        self.limits = usage_bounds.UsageLimits()
        self.started_at: float | None = None
        self.cut_off_at: float | None = None
        self.has_met_others = False
        self.lent: dict[str, Lent] = {}
        self.members = Members()
        self.basis = (-1, -1, -1)
        self.chosen: dict[tuple[str, int], tuple[str, ...]] = {}


def find_cap(
    board: boards.Board, organisation: str
) -> organisations.UsageCap | None:
    """Returns the cap in the deployment in force, ``None`` without one."""
    found = active_deployment.current(board)
    if found is None:
        return None
    for each in found.organisations:
        if each.name == organisation and each.cap.is_limited:
            return each.cap
    return None


def members(board: boards.Board) -> Members:
    """Returns the hosts as this host sees them."""
    state = board.state(State)
    table = membership.table(board)
    if state.members[:2] != (table.version, len(table.members)):
        reached = membership.reachable_members(board)
        usable = tuple(each.host for each in reached if not each.draining)
        known = 1 + sum(
            each.state != precedence.LEFT for each in table.members.values()
        )
        state.has_met_others = state.has_met_others or known > 1
        if not state.has_met_others:
            known += len(_other_seeds(board))
        state.members = Members(
            table.version,
            len(table.members),
            usable or (board.identity.host,),
            len(reached),
            known,
        )
        state.chosen.clear()
    return state.members


def _other_seeds(board: boards.Board) -> set[str]:
    return set(board.seeds) - {board.identity.host}


def has_settled(board: boards.Board, now: float) -> bool:
    """Returns whether this host knows enough others to lend."""
    state = board.state(State)
    if state.started_at is None:
        return False
    members(board)
    can_join = state.has_met_others or not _other_seeds(board)
    settle_s = SETTLE_S if can_join else NO_OTHERS_S
    return now - state.started_at >= settle_s


def lenders(
    board: boards.Board, organisation: str, cap: organisations.UsageCap
) -> tuple[str, ...]:
    """Returns the hosts that lend a cap, as this host sees it."""
    state = board.state(State)
    hosts = members(board).usable
    number = usage_bounds.lenders(state.limits, cap)
    found = state.chosen.get((organisation, number))
    if found is None:
        ranked = rendezvous.rank(f"cap/{organisation}", hosts)
        found = state.chosen[organisation, number] = tuple(ranked[:number])
    return found


def left(board: boards.Board, organisation: str, now: float) -> float | None:
    """Returns what this host can lend, ``None`` if it isn't a lender."""
    found = board.state(State).lent.get(organisation)
    if found is None:
        return None
    return usage_buckets.refill(found.bucket, now).level


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles what other hosts ask for and return."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Begins and ends to lend when the hosts or the deployment change.

    What was in hand must not be lent by two hosts, and what isn't lent yet is
    in hand before the first request.
    """
    state = board.state(State)
    if state.started_at is None:
        state.started_at = now
    if not membership.is_isolated(board):
        state.cut_off_at = None
    elif state.cut_off_at is None:
        state.cut_off_at = now
    found = active_deployment.current(board)
    if found is None or not found.organisations:
        return ()
    version = active_deployment.organisations_version(board)
    basis = (*members(board)[:2], version)
    if basis == state.basis or not has_settled(board, now):
        return ()
    state.basis = basis
    before, state.lent = state.lent, {}
    caps = {each.name: (each.cap, version) for each in found.organisations}
    for name, known in before.items():
        if known.version > version:
            caps[name] = (known.cap, known.version)
    for name, (cap, newest) in caps.items():
        if cap.is_limited:
            lent = _refilled(board, before.get(name), name, cap, newest, now)
            if lent is not None:
                state.lent[name] = lent
    return ()


@handle.register
def _usage_asked(
    event: messages.UsageAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    loans = [_lend(board, want, now) for want in event.wants]
    lent = messages.UsageLent(
        **board.sender_fields, key=event.key, loans=loans
    )
    yield actions.Send(event.sender, lent)


def _lend(
    board: boards.Board, want: messages.Want, now: float
) -> messages.Loan:
    state = board.state(State)
    known = state.lent.get(want.organisation)
    cap, version = _newest(board, want, known)
    lent = None
    if cap is not None and cap.is_limited and has_settled(board, now):
        lent = _refilled(board, known, want.organisation, cap, version, now)
    if lent is None:
        state.lent.pop(want.organisation, None)
        return messages.Loan(want.organisation, 0.0, 0.0, 0.0)
    need = max(0.0, want.need)
    amount = 0.0
    bucket = lent.bucket
    if need > bucket.depth + lent.owed:
        # It is never there; another lender may reach more hosts.
        return messages.Loan(want.organisation, 0.0, 0.0, 0.0)
    taken = usage_buckets.take(bucket, need, lent.owed)
    if taken is not None:
        extra = min(want.extra, EXTRA_SHARE * taken.level)
        # Less would not be enough for any request.
        extra = extra if extra >= max(want.least, 0.0) else 0.0
        amount = need + extra
        bucket = taken._replace(level=taken.level - extra)
    state.lent[want.organisation] = lent._replace(bucket=bucket)
    return messages.Loan(want.organisation, amount, bucket.level, bucket.rate)


def _newest(
    board: boards.Board, want: messages.Want, known: Lent | None
) -> tuple[organisations.UsageCap | None, int]:
    """Returns the cap of the newest version, and that version.

    It is here, at the sender or what was ``known`` from another sender. The
    cap is ``None`` if there is none.
    """
    version = active_deployment.organisations_version(board)
    newest = max(version, want.version)
    if known is not None and known.version > newest:
        return known.cap, known.version
    if version == newest:
        return find_cap(board, want.organisation), newest
    try:
        unit = organisations.Unit(want.unit)
    except ValueError:
        return None, newest
    return organisations.UsageCap(want.rate, want.burst, unit), newest


def _refilled(
    board: boards.Board,
    known: Lent | None,
    organisation: str,
    cap: organisations.UsageCap,
    version: int,
    now: float,
) -> Lent | None:
    """Returns this host's part of a cap now, ``None`` if others lend it."""
    state = board.state(State)
    hosts = lenders(board, organisation, cap)
    if board.identity.host not in hosts:
        return None
    seen = members(board)
    share = min(1.0, seen.reached / seen.known) / len(hosts)
    rate = cap.rate * share
    depth = usage_bounds.depth(state.limits, cap) * share
    owed = 0.0
    if seen.reached >= seen.known:
        owed = usage_bounds.owed(state.limits, cap) * share
    if membership.is_isolated(board) and (
        state.cut_off_at is None or now - state.cut_off_at < NOTICED_S
    ):
        least = usage_bounds.alone(state.limits, cap, seen.known)
        depth = min(depth, least[0] * seen.reached / len(hosts))
        rate = min(rate, least[1] * seen.reached / len(hosts))
    if known is None:
        level = usage_bounds.start(state.limits, cap) * share
        bucket = usage_buckets.Bucket(min(depth, level), now, rate, depth)
        return Lent(cap, version, bucket, owed)
    bucket = usage_buckets.refill(known.bucket, now)
    raised = max(0.0, cap.burst - known.cap.burst) * share
    if (known.cap.rate, known.cap.burst) != (cap.rate, cap.burst):
        bucket = bucket._replace(level=bucket.level + raised)
    bucket = usage_buckets.resize(bucket, rate, depth)
    return Lent(cap, version, bucket, owed)


@handle.register
def _usage_returned(
    event: messages.UsageReturned, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for name, amount in event.amounts.items():
        lent = state.lent.get(name)
        if lent is not None and amount > 0:
            bucket = usage_buckets.refill(lent.bucket, now)
            level = min(bucket.depth, bucket.level + amount)
            bucket = bucket._replace(level=level)
            state.lent[name] = lent._replace(bucket=bucket)
    return ()
