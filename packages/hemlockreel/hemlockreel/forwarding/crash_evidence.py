"""Finds what crashes replicas, from answers that were broken off.

All requests whose answers a crashing replica was writing break off with it.
The guilty one has just begun to write, so only young answers count. The cause
is the part that the broken requests at several runs of replicas have in
common, and on which no answer has been written to its end since. The last
part of a prompt is never blamed, as no other request has it.

A whole request that comes again and again is a part too, the last one of its
run. It begins with ``REQUEST_PREFIX``.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from .. import messages

# A crash follows the first token within a few hundred milliseconds. Answers
# that were written for longer are those beside it.
YOUNG_S = 0.5
# Broken runs of one part, at different runs of replicas. Two may be a chance:
# a request that was cut by a crash is cut again at the next replica.
NEEDED_CRASHES = 3
NEEDED_REQUESTS = 2
SUSPECTED_CRASHES = 2  # from which on a part is worth a question to all hosts
# For so long after an answer on it was begun that came to its end, a part is
# taken for sound.
SOUND_S = 60.0
EVIDENCE_S = 600.0  # how long a broken run counts
MAX_BREAKS = 1024
MAX_PARTS = 64  # of one prompt; a longer one is blamed by these only
REQUEST_PREFIX = "request:"  # of ids that stand for whole requests
# An entry of a replica that has crashed disappears before this.
DISPROOF_S = 10.0

Part = messages.PromptPart


class Break(NamedTuple):
    """A young answer on ``parts`` that ``replica`` broke off at ``at``."""

    at: float
    request: str
    replica: str
    born: int
    parts: tuple[Part, ...]

    @property
    def replica_run(self) -> tuple[str, int]:
        """The run of the replica process."""
        return self.replica, self.born


class Evidence:
    """The broken answers, and when an answer on a part was last begun.

    ``worked`` holds only answers that came to their end.
    """

    def __init__(self):
        self.breaks: collections.deque[Break] = collections.deque(
            maxlen=MAX_BREAKS
        )
        self.worked: dict[Part, float] = {}


def add_break(evidence: Evidence, broken: Break) -> bool:
    """Adds a broken answer; returns whether it wasn't known yet."""
    for each in evidence.breaks:
        if (each.request, each.replica_run) == (
            broken.request,
            broken.replica_run,
        ):
            return False
    evidence.breaks.append(broken)
    return True


def is_sound(evidence: Evidence, part: Part, now: float) -> bool:
    """Returns whether an answer on ``part`` has come to its end lately."""
    at = evidence.worked.get(part)
    return at is not None and now - at < SOUND_S


def record_worked(evidence: Evidence, part: Part, at: float) -> None:
    """Records that an answer begun at ``at`` came to its end."""
    evidence.worked[part] = max(at, evidence.worked.get(part, at))


def forget_old(evidence: Evidence, now: float) -> None:
    """Drops evidence that counts no more."""
    breaks = evidence.breaks
    while breaks and breaks[0].at < now - EVIDENCE_S:
        breaks.popleft()
    for part, at in list(evidence.worked.items()):
        if at < now - EVIDENCE_S:
            del evidence.worked[part]


def find_causes(
    evidence: Evidence, explained: Iterable[Part], now: float, until: float
) -> list[Part]:
    """Returns the part that most likely crashes replicas, if there is one.

    Answers that broke off after ``until`` don't count yet. Crashes under the
    ``explained`` parts blame no other part. Among equal parts the later one
    of a prompt is shared by fewer requests.

    A part of prompts goes before whole requests, which have it too. Of whole
    requests all that have enough crashes are returned: with three
    replicas a sound request may be cut by each crash of another one, and if it
    alone were blamed, the crashes would go on.
    """
    known = set(explained)
    explained_runs = {
        each.replica_run
        for each in evidence.breaks
        if not known.isdisjoint(each.parts)
    }
    crashes: dict[Part, set[tuple[str, int]]] = {}
    requests: dict[Part, set[str]] = {}
    positions: dict[Part, int] = {}
    for each in evidence.breaks:
        if each.replica_run in explained_runs or each.at > until:
            continue
        for position, part in enumerate(each.parts):
            if is_sound(evidence, part, now) or part in known:
                continue
            if each.at < evidence.worked.get(part, each.at):
                continue
            crashes.setdefault(part, set()).add(each.replica_run)
            requests.setdefault(part, set()).add(each.request)
            positions[part] = max(position, positions.get(part, 0))
    ranked = {
        part: (len(crashes[part]), len(requests[part]))
        for part in crashes
        if len(crashes[part]) >= NEEDED_CRASHES
        and len(requests[part]) >= NEEDED_REQUESTS
    }
    if not ranked:
        return []
    found = [part for part in ranked if part.id.startswith(REQUEST_PREFIX)]
    if len(found) < len(ranked):
        first = max(
            ranked.keys() - found,
            key=lambda part: (ranked[part], positions[part], part.id),
        )
        return [first]
    return sorted(_most_general(evidence, found), key=lambda part: part.id)


def _most_general(evidence: Evidence, found: list[Part]) -> list[Part]:
    """Returns those of ``found`` that no other one explains.

    The same request may be given by its path, and by its path and caller. As
    long as no other caller of the path was answered, its callers needn't
    differ.
    """
    broken = {
        part: frozenset(
            number
            for number, each in enumerate(evidence.breaks)
            if part in each.parts
        )
        for part in found
    }
    positions = {
        part: min(
            each.parts.index(part)
            for each in evidence.breaks
            if part in each.parts
        )
        for part in found
    }
    return [
        part
        for part in found
        if not any(
            broken[part] < broken[other]
            or (
                broken[part] == broken[other]
                and positions[part] > positions[other]
            )
            for other in found
        )
    ]


def count_crashes(evidence: Evidence, part: Part) -> int:
    """Returns at how many runs of replicas answers on ``part`` broke off."""
    return len(
        {each.replica_run for each in evidence.breaks if part in each.parts}
    )
