"""The blackboard that all controllers read and write.

Each controller keeps its own state under its own attribute, which the others
only read. The board has no behaviour of its own.
"""

import random
from typing import Any
from typing import NamedTuple


class Identity(NamedTuple):
    """Who this daemon is.

    ``host`` is its peer address, ``callers`` the address for callers, both
    ``IP:PORT``. ``epoch`` is different in each run of the process, but daemons
    on different hosts may have the same one.
    """

    host: str
    callers: str
    zone: str
    region: str
    epoch: int


class Board:
    """The state of one daemon.

    ``states`` maps a controller's name to its state; :func:`state` makes it
    on first use.
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
        """The fields by which each message names its sender."""
        return {"sender": self.identity.host, "epoch": self.identity.epoch}

    def state(self, kind: type) -> Any:
        """Returns the state object of type ``kind``, made on first use."""
        found = self.states.get(kind)
        if found is None:
            found = self.states[kind] = kind()
        return found
