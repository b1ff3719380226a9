"""The state of a daemon's core, shared by all controllers.

Each controller is a module that keeps its own state object on the board; other
controllers only read it. The board itself contains no logic.
"""

import random
from typing import Any
from typing import NamedTuple


class Identity(NamedTuple):
    """The addresses, location and epoch of this daemon.

    ``host`` is its peer address, ``callers`` the address for callers, both
    ``IP:PORT``. ``zone`` is its availability zone. ``epoch`` differs between
    the runs of the daemon on one host, but daemons on different hosts may have
    the same one. ``paths`` is the address at which it opens connections to
    replicas for other hosts, empty if it doesn't.
    """

    host: str
    callers: str
    zone: str
    region: str
    epoch: int
    paths: str = ""


class Board:
    """The state of one daemon.

    ``seeds`` are peer addresses to join through. ``rng`` is the only source
    of randomness in the core. ``states`` maps each controller's state class to
    its instance.
    """

    def __init__(
        self,
        identity: Identity,
        seeds: tuple[str, ...],
        rng: random.Random,
    ):
        self.identity = identity
        self.seeds = seeds
        self.rng = rng
        self.states: dict[type, Any] = {}

    @property
    def sender_fields(self) -> dict[str, Any]:
        """The fields of a message that identify this daemon as its sender."""
        return {"sender": self.identity.host, "epoch": self.identity.epoch}

    def state(self, kind: type) -> Any:
        """Returns the instance of state class ``kind``, new on first use."""
        found = self.states.get(kind)
        if found is None:
            found = self.states[kind] = kind()
        return found
