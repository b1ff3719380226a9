"""The lease of a region's controller, kept in the store.

Only the daemon that holds the lease may send orders to engines. The lease is
the object ``leases/REGION``, which its holder rewrites periodically on the
condition that no other daemon has written it. Another daemon takes it over
after the object has been unchanged for ``TAKEOVER_WAIT_S``, which is longer
than the holder uses the lease after a write. The object's version rises with
each write and is, with the era of the store, the fencing number of orders.

A store that was restored from an older copy may have lost the lease. Its
holder stops giving orders until it has written the lease in the new era. No
other daemon takes it before the old lease has certainly expired.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import NamedTuple

from . import actions
from . import board as boards
from . import events
from . import membership
from . import rendezvous
from . import store_era

RENEW_PERIOD_S = 2.0
LEASE_S = 8.0  # measured from when a successful write was sent
TAKEOVER_WAIT_S = 12.0  # without a write, must be longer than LEASE_S
POLL_PERIOD_S = 1.0
CALL_TIMEOUT_S = 1.5
LEASE_CALL = "leader"  # prefix of the call ids


class PendingCall(NamedTuple):
    """A call to the store, with the time and era in which it was sent."""

    number: int
    method: str
    sent_at: float
    era: int


class State:
    """This daemon's lease, and what it has read of another daemon's.

    ``lease_version`` is 0 if it holds none, and ``lease_until`` is the time
    up to which it may send orders. Both are of the era ``lease_era``. Up to
    ``regain_until`` no other daemon can have taken a lease that this daemon
    held in an earlier era. ``seen_at`` is the time at which it first read
    ``seen_version``, the era and version of another daemon's lease.
    ``pending_call`` is the last call to the store.
    """

    def __init__(self):
        self.lease_version = 0
        self.lease_until = 0.0
        self.lease_era = 0
        self.regain_until = 0.0
        self.seen_version = (0, 0)
        self.seen_at = 0.0
        self.next_call = 0.0
        self.last_call_number = 0
        self.pending_call: PendingCall | None = None


def lease_time_left(board: boards.Board, now: float) -> float:
    """Returns for how many seconds this daemon may still send orders."""
    state = board.state(State)
    if not state.lease_version or _is_of_earlier_era(board):
        return 0.0
    return max(0.0, state.lease_until - now)


def fencing_number(board: boards.Board) -> int:
    """Returns the fencing number for orders, 0 without a lease."""
    state = board.state(State)
    if not state.lease_version:
        return 0
    return store_era.fencing_number(state.lease_era, state.lease_version)


def _is_of_earlier_era(board: boards.Board) -> bool:
    return board.state(State).lease_era != store_era.current(board)


def preferred_controller(board: boards.Board) -> str:
    """Returns the host that should control the region, empty if none.

    One that reaches no replica of a service can't order engines, so it is
    taken only if no other one is left.
    """
    members = [
        member
        for member in membership.reachable_members(board)
        if not member.draining
    ]
    direct = [member for member in members if not member.unreached]
    usable = [member.host for member in direct or members]
    region = board.identity.region
    ranked = rendezvous.rank(f"controller/{region}", usable)
    return ranked[0] if ranked else ""


def step_down(board: boards.Board, reason: str) -> Iterable[actions.Action]:
    """Drops the lease, so that this daemon sends no more orders."""
    state = board.state(State)
    if state.lease_version:
        yield actions.Log("controller_lost", {"reason": reason})
    state.lease_version = 0
    state.lease_until = 0.0


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the lease; all others yield nothing."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    if state.lease_version and state.lease_until <= now:
        yield from step_down(board, "the lease expired")
    if state.lease_version and _is_of_earlier_era(board):
        yield from _lose_to_restore(board, now)
    if preferred_controller(board) != board.identity.host:
        yield from _resign(board)
        return
    if now < state.next_call:
        return
    if state.lease_version:
        state.next_call = now + RENEW_PERIOD_S
        yield _write(board, state.lease_version, now)
    else:
        state.next_call = now + POLL_PERIOD_S
        yield _call(board, "GET", now)


def _lose_to_restore(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Drops a lease that the restored store may not know, to take it again.

    A call that was sent in the earlier era says nothing about this one.
    """
    state = board.state(State)
    state.regain_until = state.lease_until
    state.pending_call = None
    state.next_call = now
    yield from step_down(board, "the store was restored")


def _may_take(board: boards.Board, now: float) -> bool:
    """Returns whether no daemon can still use a lease of an earlier era.

    A new daemon can't tell a recent restore from an old one, so it waits too.
    """
    waited_s = now - store_era.first_seen_at(board)
    return waited_s >= TAKEOVER_WAIT_S or now < board.state(State).regain_until


def _resign(board: boards.Board) -> Iterable[actions.Action]:
    """Deletes the lease, so that its successor need not wait."""
    state = board.state(State)
    if not state.lease_version:
        return
    yield actions.CallStore(
        f"{LEASE_CALL}/resigned",
        "DELETE",
        _path(board),
        expected=state.lease_version,
        timeout_s=CALL_TIMEOUT_S,
    )
    yield from step_down(board, "another member should control the region")


def _path(board: boards.Board) -> str:
    return f"/v1/objects/leases/{board.identity.region}"


def _write(
    board: boards.Board, expected: int, now: float
) -> actions.CallStore:
    value = {"holder": board.identity.host, "epoch": board.identity.epoch}
    return _call(board, "PUT", now, value, expected)


def _call(
    board: boards.Board,
    method: str,
    now: float,
    value: dict[str, Any] | None = None,
    expected: int | None = None,
) -> actions.CallStore:
    state = board.state(State)
    state.last_call_number += 1
    # Only the response to the last call is used. The lease is counted from
    # the time at which the call was sent.
    state.pending_call = PendingCall(
        state.last_call_number, method, now, store_era.current(board)
    )
    return actions.CallStore(
        f"{LEASE_CALL}/{state.last_call_number}",
        method,
        _path(board),
        value,
        expected,
        CALL_TIMEOUT_S,
    )


@handle.register
def _responded(
    event: events.StoreResponded, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    yield from store_era.observe(board, event.era, now)
    state = board.state(State)
    pending = state.pending_call
    if pending is None or event.call_id != f"{LEASE_CALL}/{pending.number}":
        return
    state.pending_call = None
    if event.status == 0:
        return
    if not pending.era == event.era == store_era.current(board):
        # The store was restored while the call was on its way.
        state.next_call = now
        return
    if pending.method == "PUT":
        yield from _lease_written(board, event, pending)
    elif event.status == 404:
        if _may_take(board, now):
            yield _write(board, 0, now)
    elif event.status == 200:
        yield from _lease_read(board, event.body["object"], now)


def _lease_written(
    board: boards.Board, event: events.StoreResponded, pending: PendingCall
) -> Iterable[actions.Action]:
    state = board.state(State)
    if event.status in (200, 201):
        if not state.lease_version:
            yield actions.Log("controller", {"region": board.identity.region})
        state.lease_version = event.body["object"]["version"]
        state.lease_until = pending.sent_at + LEASE_S
        state.lease_era = event.era
    elif event.status == 412:
        # Either another daemon has the lease, or the response to an earlier
        # write was lost. The next read shows which.
        yield from step_down(board, "the lease was written by another daemon")


def _lease_read(
    board: boards.Board, lease: dict[str, Any], now: float
) -> Iterable[actions.Action]:
    """Takes the lease over once its holder cannot use it any more."""
    state = board.state(State)
    version = lease["version"]
    own = {"holder": board.identity.host, "epoch": board.identity.epoch}
    if lease["value"] == own:
        # A restored store may show a lease that had passed on since.
        if _may_take(board, now):
            yield _write(board, version, now)
        return
    seen = (store_era.current(board), version)
    if seen != state.seen_version:
        state.seen_version = seen
        state.seen_at = now
    elif now - state.seen_at >= TAKEOVER_WAIT_S:
        yield _write(board, version, now)
