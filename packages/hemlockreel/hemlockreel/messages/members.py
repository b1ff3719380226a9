"""What hosts tell each other of who is there."""

import msgspec

from . import shared


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon believes of another.

    ``state`` is ``alive``, ``suspect``, ``dead`` or ``left``; ``draining``
    members are alive but take no new callers.
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


class Ping(shared.Message):
    """Asks for an :class:`Ack`; ``updates`` ride along."""

    seq: int
    updates: list[MemberUpdate] = []


class PingRequest(shared.Message):
    """Asks the receiver to ping ``target`` for the sender."""

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class Ack(shared.Message):
    """Answers a :class:`Ping`, directly or through a third daemon."""

    seq: int
    target: str
    updates: list[MemberUpdate] = []


class SyncRequest(shared.Message):
    """Asks for the whole member table, sent when joining.

    A table whose digest equals ``digest`` is not sent; 0 equals none.
    """

    updates: list[MemberUpdate] = []
    digest: int = 0


class Sync(shared.Message):
    """The whole member table of the sender."""

    updates: list[MemberUpdate] = []


class Gossip(shared.Message):
    """Updates that do not wait for the next ping."""

    updates: list[MemberUpdate] = []
