"""Organisations of a newer deployment, from hosts that have read it.

A key that was taken away must be refused everywhere soon, also at hosts that
the store turns away. Members tell which version they have in force. A host
that stays behind asks one of them for the organisations of its version, and
applies them to the routes that it has. It never goes back to older ones.

With ``is_strict``, a host that has heard nothing for ``revoke_s`` that
confirms its organisations accepts no key any more. It then also asks peers
before that time. The design is explained in docs/design/organisations.md.
"""

from collections.abc import Iterable
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from . import active_deployment
from . import organisations
from . import store_fanout

DEPLOYMENT = store_fanout.ObjectKind.DEPLOYMENT
# Most hosts read a new version from the store in this time.
OWN_READ_S = 0.4
ASK_PERIOD_S = 0.5  # then another peer is asked


class RevokeLimits(NamedTuple):
    """What a host may believe of keys, from the platform's settings."""

    is_strict: bool = False
    revoke_s: float = 5.0


class State:
    """The time since which members have a newer version, and of questions.

    ``confirmed_at`` is the last time at which a peer's store was known to
    confirm the organisations in force here.
    """

    def __init__(self):
        self.limits = RevokeLimits()
        self.behind_since: float | None = None
        self.asked_at = -math.inf
        self.confirmed_at = -math.inf


def confirmed_at(board: boards.Board) -> float:
    """Returns when the store last confirmed the organisations in force."""
    told_at = board.state(State).confirmed_at
    if _is_behind(board):
        return told_at
    known = board.state(store_fanout.State).read_states[DEPLOYMENT]
    return max(known.read_at, known.confirmed_at, told_at)


def _is_behind(board: boards.Board) -> bool:
    """Returns whether a reader has a version that this host hasn't read."""
    return board.state(store_fanout.State).read_states[DEPLOYMENT].is_behind


def trusted_until(board: boards.Board) -> float:
    """Returns until when keys may be accepted without another answer."""
    limits = board.state(State).limits
    if not limits.is_strict:
        return math.inf
    return confirmed_at(board) + limits.revoke_s


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles ticks and the questions and answers of peers."""
    return ()


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    found = active_deployment.current(board)
    if found is None:
        return
    own = active_deployment.organisations_version(board)
    peers = [
        each
        for each in membership.reachable_members(board)
        if each.host != board.identity.host
    ]
    newer = [each for each in peers if each.configuration > own]
    if not newer and _is_behind(board):
        # A reader has told all hosts, before its member update is around.
        readers = board.state(store_fanout.State).readers
        newer = [each for each in peers if each.host in readers]
    if not newer:
        state.behind_since = None
    elif state.behind_since is None:
        state.behind_since = now
    if now - state.asked_at < ASK_PERIOD_S:
        return
    if newer:
        if now - state.behind_since < OWN_READ_S:
            return
    elif not peers or not _needs_confirmation(board, found, now):
        return
    state.asked_at = now
    asked = messages.OrganisationsAsked(**board.sender_fields, version=own)
    yield actions.Send(board.rng.choice(newer or peers).host, asked)


def _needs_confirmation(board: boards.Board, found: Any, now: float) -> bool:
    limits = board.state(State).limits
    if not limits.is_strict or not found.organisations:
        return False
    return now - confirmed_at(board) > limits.revoke_s / 2


@handle.register
def _organisations_asked(
    event: messages.OrganisationsAsked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    found = active_deployment.current(board)
    if found is None:
        return
    own = active_deployment.organisations_version(board)
    age_s = now - confirmed_at(board)
    known = messages.OrganisationsKnown(
        **board.sender_fields,
        version=own,
        age_s=age_s if math.isfinite(age_s) else -1.0,
        organisations=(
            [_encode(each) for each in found.organisations]
            if own > event.version
            else None
        ),
    )
    yield actions.Send(event.sender, known)


@handle.register
def _organisations_known(
    event: messages.OrganisationsKnown, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    before = active_deployment.organisations_version(board)
    if event.organisations is not None and event.version > before:
        try:
            found = tuple(_decode(each) for each in event.organisations)
        except ValueError:
            # A unit of a later build; this host goes on with what it knows.
            return
        if not active_deployment.replace_organisations(
            board, found, event.version
        ):
            return
        yield actions.Count("organisation_news")
        fields = {"version": event.version, "before": before}
        yield actions.Log(
            "organisations_in_force", {**fields, "from": event.sender}
        )
    own = active_deployment.organisations_version(board)
    if event.version == own and event.age_s >= 0:
        state = board.state(State)
        state.confirmed_at = max(state.confirmed_at, now - event.age_s)


def _encode(
    found: organisations.Organisation,
) -> messages.KnownOrganisation:
    cap = found.cap
    return messages.KnownOrganisation(
        found.name,
        list(found.key_digests),
        found.priority,
        cap.rate,
        cap.burst,
        cap.unit.value,
        cap.plain_tokens,
    )


def _decode(
    found: messages.KnownOrganisation,
) -> organisations.Organisation:
    """Returns the organisation; raises ``ValueError`` for an unknown unit."""
    unit = organisations.Unit(found.unit)
    cap = organisations.UsageCap(
        found.rate, found.burst, unit, found.plain_tokens
    )
    return organisations.Organisation(
        found.name, tuple(found.key_digests), found.priority, cap
    )
