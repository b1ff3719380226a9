"""Messages on parts of prompts that crash replicas.

See :mod:`hemlockreel.forwarding.blocked_parts`.
"""

import math

import msgspec

from . import shared


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts for a service."""

    service: str
    id: str


class BlockedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part that is blocked for ``for_s`` seconds more.

    ``times`` counts how often it has been blocked, this time included. One
    request is tried after ``trial_in_s``.
    """

    part: PromptPart
    for_s: float
    times: int = 1
    trial_in_s: float = math.inf


class RunBroke(shared.Message):
    """A replica broke an answer off soon after it had begun to write it.

    ``replica`` and ``born`` identify the run of the replica process.
    ``parts`` are the shared parts of the prompt and the request, in order.
    That was ``age_s`` seconds ago.
    """

    request: str
    replica: str
    born: int
    parts: list[PromptPart]
    age_s: float = 0.0


class PartsWorked(shared.Message):
    """An answer on each of ``parts`` was written to its end.

    It was begun ``age_s`` seconds ago.
    """

    parts: list[PromptPart]
    age_s: float


class PartsJudged(shared.Message):
    """What a judge of parts believes of them.

    A host that has had an answer on one of the ``suspected`` parts reports
    it. ``cleared`` parts are not blocked any more.
    """

    blocked: list[BlockedPart] = []
    suspected: list[PromptPart] = []
    cleared: list[PromptPart] = []
