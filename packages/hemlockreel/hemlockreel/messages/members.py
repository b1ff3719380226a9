"""Messages of :mod:`hemlockreel.membership` and its failure detector."""

import msgspec

from . import shared


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's entry in the member table.

    ``host`` is its peer address, ``callers`` its address for callers.
    ``state`` is ``alive``, ``suspect``, ``dead`` or ``left``. A ``draining``
    member is alive but is not returned to callers any more. ``configuration``
    is the generation that it has in force, 0 if none. The order of updates by
    ``epoch`` and ``incarnation`` is defined in :mod:`hemlockreel.precedence`.
    ``paths`` is its address for :mod:`hemlockreel.forwarding.reachability`,
    ``unreached`` lists the services of which it reaches no replica by itself.
    """

    host: str
    zone: str
    region: str
    callers: str
    epoch: int
    incarnation: int
    state: str
    draining: bool = False
    configuration: int = 0
    paths: str = ""
    unreached: tuple[str, ...] = ()


class Ping(shared.Message):
    """Requests an :class:`Ack`; ``updates`` are gossip attached to it."""

    seq: int
    updates: list[MemberUpdate] = []


class PingRequest(shared.Message):
    """Requests that the receiver ping ``target`` on behalf of the sender."""

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class Ack(shared.Message):
    """Responds to a :class:`Ping`, directly or through a third daemon."""

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class SyncRequest(shared.Message):
    """Requests the receiver's member table, to join or to compare tables.

    The table is not sent if its digest equals ``digest``; 0 equals none.
    """

    updates: list[MemberUpdate] = []
    digest: int = 0


class Sync(shared.Message):
    """The whole member table of the sender."""

    updates: list[MemberUpdate] = []


class Gossip(shared.Message):
    """Updates that are sent at once instead of with the next ping."""

    updates: list[MemberUpdate] = []
