"""The order of member updates: which of two about a daemon is newer."""

from . import messages

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

GONE = (DEAD, LEFT)
_STRENGTH = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}


def rank(update: messages.MemberUpdate) -> tuple[int, int, int]:
    """Returns a sort key that is higher for the newer update.

    An update about a later run of the process (``epoch``) supersedes all about
    earlier runs. Within a run only the daemon itself raises ``incarnation``,
    so no other daemon can refute a suspicion. At the same incarnation the
    worse state takes precedence.
    """
    strength = _STRENGTH.get(update.state, 0)
    return (update.epoch, update.incarnation, strength)


def supersedes(
    update: messages.MemberUpdate, known: messages.MemberUpdate | None
) -> bool:
    """Returns whether ``update`` is newer than ``known``."""
    return known is None or rank(update) > rank(known)
