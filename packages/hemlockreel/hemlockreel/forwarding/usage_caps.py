"""Usage caps that hold over all hosts together: the side of each host.

A request counts before it is sent to a replica. What this host has in hand is
used at once; more is asked of the hosts that lend the cap, see
:mod:`usage_lending`. A lender also gives some for requests to come, which is
returned if it isn't used in time. A lender that has too little is asked again
when it can have enough, and until then callers are refused with that time.

Without an answer of one lender the next is asked. A host that reaches none has
a small amount of its own. Times are on the monotonic clock of this host alone.
The design is explained in docs/design/usage-caps.md.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import messages
from .. import outcomes
from .. import rendezvous
from . import active_deployment
from . import organisations
from . import usage_accounts
from . import usage_bounds
from . import usage_buckets
from . import usage_lending

SILENT_S = 0.1  # without an answer the next lender is asked
LATE_S = 0.25  # what a lender sends later goes back
FORGOTTEN_S = 1.0  # an answer that comes later still is dropped
AVOID_S = 2.0  # a lender that was silent is asked last
TOP_UP_PERIOD_S = 0.25
GIVE_BACK_S = 1.0  # for what is not sent; later it counts as used
MAX_RETRY_AFTER_S = 10.0
LOG_PERIOD_S = 5.0  # between two log lines about one organisation
RETRY_SOON_S = 0.5  # while no lender answers
KEY_BITS = 48  # of the first key


class UsageRequested(NamedTuple):
    """A request wants to use ``cost`` of an organisation's cap.

    The reply is :class:`Allowed` or an ``outcomes.Refused``.
    """

    request_id: str
    organisation: str
    cost: float


class Allowed(NamedTuple):
    """The request counts, and may be sent."""


class UsageUnused(NamedTuple):
    """A request that was allowed has not run; ``age_s`` is since then."""

    organisation: str
    cost: float
    age_s: float


class Waiting(NamedTuple):
    """A request that waits for the last of the lenders in ``asked``.

    It has waited for it since ``since``. ``after_s`` is the time in which one
    of the others can have enough, infinite if none has answered.
    """

    request: UsageRequested
    asked: tuple[str, ...]
    since: float
    after_s: float = math.inf


class State:
    """The accounts by organisation, and the requests that wait, by key.

    ``asked_at`` has the times of all questions that are not answered, by key.
    Keys begin at random, since answers to an earlier run may still come.
    """

    def __init__(self):
        self.accounts: dict[str, usage_accounts.Account] = {}
        self.waiting: dict[int, Waiting] = {}
        self.asked_at: dict[int, float] = {}
        self.last_key = 0
        self.silent_until: dict[str, float] = {}
        self.next_top_up = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles requests that count and the answers of lenders."""
    return ()


def held(board: boards.Board, organisation: str, now: float) -> float:
    """Returns what this host has in hand of a cap."""
    account = board.state(State).accounts.get(organisation)
    if account is None:
        return 0.0
    return account.spare + usage_accounts.lent(account, now)


@handle.register
def _usage_requested(
    event: UsageRequested, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    cap = usage_lending.find_cap(board, event.organisation)
    if cap is None:
        yield actions.Reply(event.request_id, Allowed())
        return
    limits = board.state(usage_lending.State).limits
    account = state.accounts.get(event.organisation)
    if account is None:
        account = state.accounts[event.organisation] = usage_accounts.Account()
        account.spare = _spare_limit(board, cap, now)
    usage_accounts.note_use(account, event.cost, now)
    most = usage_bounds.depth(limits, cap) + usage_bounds.owed(limits, cap)
    lenders = usage_lending.lenders(board, event.organisation, cap)
    if event.cost > most / len(lenders):
        yield from _refuse(state, Waiting(event, (), now), now)
        return
    account.spare = min(account.spare, _spare_limit(board, cap, now))
    if usage_accounts.spend(account, event.cost, now):
        yield actions.Reply(event.request_id, Allowed())
        return
    yield from _ask_next(board, Waiting(event, (), now), now)


def _ask_next(
    board: boards.Board, waiting: Waiting, now: float
) -> Iterable[actions.Action]:
    """Asks the next lender that may have enough, or ends the wait."""
    state = board.state(State)
    event = waiting.request
    cap = usage_lending.find_cap(board, event.organisation)
    if cap is None:
        yield actions.Reply(event.request_id, Allowed())
        return
    account = state.accounts[event.organisation]
    for lender in _order(board, event.organisation, cap, now):
        if lender in waiting.asked:
            continue
        # One lender that was silent is tried, if no other has answered.
        if waiting.asked and state.silent_until.get(lender, now) > now:
            continue
        waiting = waiting._replace(asked=(*waiting.asked, lender))
        wait_s = _expected_wait_s(
            board, event.organisation, cap, lender, event.cost, now
        )
        if wait_s > 0:
            waiting = waiting._replace(after_s=min(waiting.after_s, wait_s))
            continue
        extra = _wanted_extra(board, account, cap, now)
        want = _want(board, event.organisation, cap, event.cost, extra)
        yield _ask(board, lender, [want], now)
        state.waiting[state.last_key] = waiting._replace(since=now)
        return
    yield from _end_wait(board, cap, waiting, now)


def _ask(
    board: boards.Board, lender: str, wants: list[messages.Want], now: float
) -> actions.Send:
    """Returns the question with the next key."""
    state = board.state(State)
    if not state.last_key:
        state.last_key = board.rng.getrandbits(KEY_BITS)
    state.last_key += 1
    state.asked_at[state.last_key] = now
    asked = messages.UsageAsked(
        **board.sender_fields, key=state.last_key, wants=wants
    )
    return actions.Send(lender, asked)


def _order(
    board: boards.Board,
    organisation: str,
    cap: organisations.UsageCap,
    now: float,
) -> list[str]:
    """Returns the lenders as this host asks them.

    Hosts begin with different ones, so that all are used alike.
    """
    silent_until = board.state(State).silent_until
    found = usage_lending.lenders(board, organisation, cap)
    ranked = rendezvous.rank(board.identity.host, found)
    return sorted(ranked, key=lambda host: silent_until.get(host, now) > now)


def _expected_wait_s(
    board: boards.Board,
    organisation: str,
    cap: organisations.UsageCap,
    lender: str,
    cost: float,
    now: float,
) -> float:
    """Returns in which time ``lender`` may have ``cost``, as last seen."""
    account = board.state(State).accounts[organisation]
    seen = account.seen.get(lender)
    if seen is None or seen.refill <= 0:
        return 0.0
    level = seen.left + (now - seen.at) * seen.refill
    limits = board.state(usage_lending.State).limits
    lenders = usage_lending.lenders(board, organisation, cap)
    need = min(cost, usage_bounds.depth(limits, cap) / len(lenders))
    return max(0.0, (need - level) / seen.refill)


def _wanted_extra(
    board: boards.Board,
    account: usage_accounts.Account,
    cap: organisations.UsageCap,
    now: float,
) -> float:
    """Returns what requests of the next time may need, less what is held."""
    limits = board.state(usage_lending.State).limits
    soon = account.used_per_s * usage_bounds.lease_s(limits, cap) / 2
    missing = _spare_limit(board, cap, now) - account.spare
    extra = max(0.0, soon - usage_accounts.lent(account, now)) + max(
        0.0, missing
    )
    return extra if extra >= cap.cost(None) else 0.0


def _spare_limit(
    board: boards.Board, cap: organisations.UsageCap, now: float
) -> float:
    if not usage_lending.has_settled(board, now):
        return 0.0
    limits = board.state(usage_lending.State).limits
    return usage_bounds.spare(limits, cap, usage_lending.members(board).known)


def _want(
    board: boards.Board,
    organisation: str,
    cap: organisations.UsageCap,
    need: float,
    extra: float,
) -> messages.Want:
    return messages.Want(
        organisation,
        need,
        extra,
        cap.cost(None),
        active_deployment.organisations_version(board),
        cap.rate,
        cap.burst,
        cap.unit.value,
    )


def _end_wait(
    board: boards.Board,
    cap: organisations.UsageCap,
    waiting: Waiting,
    now: float,
) -> Iterable[actions.Action]:
    """Ends a wait that no lender has ended."""
    state = board.state(State)
    event = waiting.request
    if math.isfinite(waiting.after_s):
        yield from _refuse(state, waiting, now)
        return
    yield actions.Count("caps_without_lender")
    account = state.accounts[event.organisation]
    if _take_alone(board, account, cap, event.cost, now):
        yield actions.Reply(event.request_id, Allowed())
        return
    refused = outcomes.not_run(
        outcomes.Reason.OWNER_UNREACHABLE,
        RETRY_SOON_S,
        f"no host answers for the cap of {event.organisation}",
    )
    yield actions.Reply(event.request_id, refused)


def _take_alone(
    board: boards.Board,
    account: usage_accounts.Account,
    cap: organisations.UsageCap,
    cost: float,
    now: float,
) -> bool:
    """Takes ``cost`` from what a host may use that reaches no lender."""
    if not usage_lending.has_settled(board, now):
        return False
    limits = board.state(usage_lending.State).limits
    hosts = usage_lending.members(board).known
    depth, rate = usage_bounds.alone(limits, cap, hosts)
    bucket = account.alone or usage_buckets.Bucket(depth, now, rate, depth)
    bucket = usage_buckets.refill(bucket, now)
    bucket = usage_buckets.resize(bucket, rate, depth)
    account.alone = bucket
    if bucket.level < cost:
        return False
    account.alone = bucket._replace(level=bucket.level - cost)
    return True


def _refuse(
    state: State, waiting: Waiting, now: float
) -> Iterable[actions.Action]:
    """Refuses a request above the cap, with the time of return."""
    event = waiting.request
    account = state.accounts[event.organisation]
    after_s = None
    if math.isfinite(waiting.after_s):
        after_s = min(waiting.after_s, MAX_RETRY_AFTER_S)
    detail = f"the usage cap of {event.organisation} is reached"
    refused = outcomes.not_run(outcomes.Reason.QUOTA, after_s, detail)
    yield actions.Count("refused_by_cap", 1, (event.organisation,))
    if now - account.logged_at >= LOG_PERIOD_S:
        account.logged_at = now
        fields = {
            "organisation": event.organisation,
            "cost": event.cost,
            "after_s": after_s,
        }
        yield actions.Log("cap_reached", fields)
    yield actions.Reply(event.request_id, refused)


# The answers of lenders


@handle.register
def _usage_lent(
    event: messages.UsageLent, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    state.silent_until.pop(event.sender, None)
    asked_at = state.asked_at.pop(event.key, None)
    if asked_at is None:
        return
    waiting = state.waiting.pop(event.key, None)
    for loan in event.loans:
        account = state.accounts.get(loan.organisation)
        if account is None:
            continue
        account.seen[event.sender] = usage_accounts.Seen(
            loan.left, loan.refill, now
        )
        rest = loan.amount
        if (
            waiting is not None
            and waiting.request.organisation == loan.organisation
            and 0 < waiting.request.cost <= rest
        ):
            rest -= waiting.request.cost
            yield actions.Reply(waiting.request.request_id, Allowed())
            waiting = None
        if rest > 0:
            lease = usage_accounts.Lease(event.sender, rest, asked_at)
            yield from _keep(board, account, loan.organisation, lease, now)
    if waiting is not None:
        yield from _go_on(board, waiting, event.sender, now)


def _go_on(
    board: boards.Board, waiting: Waiting, lender: str, now: float
) -> Iterable[actions.Action]:
    """Asks the next lender after ``lender`` had too little."""
    name = waiting.request.organisation
    account = board.state(State).accounts[name]
    seen = account.seen.get(lender)
    cap = usage_lending.find_cap(board, name)
    if cap is not None and seen is not None and seen.refill > 0:
        wait_s = _expected_wait_s(
            board, name, cap, lender, waiting.request.cost, now
        )
        waiting = waiting._replace(after_s=min(waiting.after_s, wait_s))
    yield from _ask_next(board, waiting, now)


def _keep(
    board: boards.Board,
    account: usage_accounts.Account,
    organisation: str,
    lease: usage_accounts.Lease,
    now: float,
) -> Iterable[actions.Action]:
    """Keeps what was lent for requests to come, asked for at ``until``.

    An older lease goes back to its lender, and so does what comes late.
    """
    cap = usage_lending.find_cap(board, organisation)
    if cap is None:
        return
    if now - lease.until > LATE_S:
        yield _give_back(board, lease.lender, organisation, lease.amount)
        return
    limit = _spare_limit(board, cap, now)
    part = min(lease.amount, max(0.0, limit - account.spare))
    account.spare += part
    if lease.amount <= part:
        return
    yield from _return_lease(board, account, organisation, now)
    limits = board.state(usage_lending.State).limits
    until = lease.until + usage_bounds.lease_s(limits, cap)
    account.lease = usage_accounts.Lease(
        lease.lender, lease.amount - part, until
    )


def _return_lease(
    board: boards.Board,
    account: usage_accounts.Account,
    organisation: str,
    now: float,
) -> Iterable[actions.Action]:
    lease, amount = account.lease, usage_accounts.lent(account, now)
    account.lease = usage_accounts.Lease("")
    if amount > 0:
        yield _give_back(board, lease.lender, organisation, amount)


def _give_back(
    board: boards.Board, lender: str, organisation: str, amount: float
) -> actions.Send:
    returned = messages.UsageReturned(
        **board.sender_fields, amounts={organisation: amount}
    )
    return actions.Send(lender, returned)


@handle.register
def _usage_unused(
    event: UsageUnused, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    cap = usage_lending.find_cap(board, event.organisation)
    account = board.state(State).accounts.get(event.organisation)
    if cap is None or account is None or event.age_s > GIVE_BACK_S:
        return
    room = max(0.0, _spare_limit(board, cap, now) - account.spare)
    part = min(event.cost, room)
    account.spare += part
    if event.cost > part:
        lender = _order(board, event.organisation, cap, now)[0]
        yield _give_back(board, lender, event.organisation, event.cost - part)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if not state.accounts:
        return
    silent = [
        key
        for key, each in state.waiting.items()
        if now - each.since >= SILENT_S
    ]
    for key in silent:
        waiting = state.waiting.pop(key)
        lender = waiting.asked[-1]
        if state.silent_until.get(lender, -math.inf) <= now:
            yield actions.Count("silent_lenders")
            yield actions.Log("lender_silent", {"lender": lender})
        state.silent_until[lender] = now + AVOID_S
        yield from _ask_next(board, waiting, now)
    for key, asked_at in list(state.asked_at.items()):
        if now - asked_at > FORGOTTEN_S:
            del state.asked_at[key]
    for name, account in state.accounts.items():
        # An unused lease goes back a tick before it ends.
        if account.lease.amount and account.lease.until - now <= SILENT_S:
            yield from _return_lease(board, account, name, now)
    if now >= state.next_top_up:
        state.next_top_up = now + TOP_UP_PERIOD_S
        _prune(board, now)
        yield from _top_up(board, now)


def _prune(board: boards.Board, now: float) -> None:
    """Forgets hosts and organisations that have left.

    A new account begins with something in hand, so one that was used in the
    last window is kept.
    """
    state = board.state(State)
    for host, until in list(state.silent_until.items()):
        if until <= now:
            del state.silent_until[host]
    window_s = board.state(usage_lending.State).limits.window_s
    waiting = {each.request.organisation for each in state.waiting.values()}
    for name, account in list(state.accounts.items()):
        cap = usage_lending.find_cap(board, name)
        if cap is not None:
            if len(account.seen) > usage_bounds.LENDERS:
                found = usage_lending.lenders(board, name, cap)
                for host in set(account.seen).difference(found):
                    del account.seen[host]
        elif now - account.used_at > window_s and name not in waiting:
            del state.accounts[name]


def _top_up(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Asks for what was used of the spare amounts, in one message a lender."""
    state = board.state(State)
    wants: dict[str, list[messages.Want]] = {}
    for name, account in state.accounts.items():
        cap = usage_lending.find_cap(board, name)
        if cap is None:
            continue
        limit = _spare_limit(board, cap, now)
        account.spare = min(account.spare, limit)
        missing = limit - account.spare
        if missing <= limit / 2 or now - account.used_at > AVOID_S:
            continue
        for lender in _order(board, name, cap, now):
            if not _expected_wait_s(board, name, cap, lender, 0.0, now):
                want = _want(board, name, cap, 0.0, missing)
                wants.setdefault(lender, []).append(want)
                break
    for lender, found in wants.items():
        yield _ask(board, lender, found, now)
