"""Which daemons are alive."""

from collections.abc import Iterable
import functools
from typing import Any

from . import actions
from . import board as boards
from . import messages


class State:
    """The member table of this daemon, by peer address."""

    def __init__(self):
        self.members: dict[str, messages.MemberUpdate] = {}
        self.draining = False


def table(board: boards.Board) -> State:
    """Returns the member table."""
    return board.state(State)


def live(
    board: boards.Board, region: str | None = None
) -> list[messages.MemberUpdate]:
    """Returns the members that are not known dead, this daemon included.

    With ``region`` only the members of that region.
    """
    found = [own_update(board)]
    for member in table(board).members.values():
        if member.host == board.identity.host:
            continue
        if member.state not in ("alive", "suspect"):
            continue
        if region is None or member.region == region:
            found.append(member)
    return found


def own_update(board: boards.Board) -> messages.MemberUpdate:
    """Returns what this daemon tells of itself."""
    identity = board.identity
    return messages.MemberUpdate(
        host=identity.host,
        zone=identity.zone,
        region=identity.region,
        callers=identity.callers,
        epoch=identity.epoch,
        incarnation=0,
        state="alive",
        draining=table(board).draining,
    )


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles events of the membership; all others yield nothing."""
    return ()
