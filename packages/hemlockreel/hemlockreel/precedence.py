"""Which of two updates about the same daemon is the newer one."""

from . import messages

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

GONE = (DEAD, LEFT)
_STRENGTH = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}


def rank(update: messages.MemberUpdate) -> tuple[int, int, int]:
    """Returns a key that is higher for the update that wins.

    A later run of the process wins over all that was said of an earlier one.
    Within a run only the daemon itself raises ``incarnation``, so it alone
    can contradict a suspicion. At the same incarnation bad news wins.
    """
    strength = _STRENGTH.get(update.state, 0)
    return (update.epoch, update.incarnation, strength)


def supersedes(
    update: messages.MemberUpdate, known: messages.MemberUpdate | None
) -> bool:
    """Returns whether ``update`` is news to one who believes ``known``."""
    return known is None or rank(update) > rank(known)
