"""Blocks what crashes the replicas: parts of prompts, and whole requests.

A whole request is one more part here, whose id begins with ``REQUEST_PREFIX``
and stands for its content; it belongs to no service, since a route may lead
the same request to several.

Each host sees a few of the crashes only. Hosts report young answers that were
broken off to a few judges, which are the same hosts for all. A judge blocks
the part that :mod:`crash_evidence` blames, and tells all hosts what it has
blocked, at once and then periodically, so that hosts that were away learn it.
The number of messages depends on the crashes and the hosts, never on the
requests.

A request that breaks off is not tried again at another replica if it broke off
at others before, as it would likely crash that one too. A request with a
blocked part is refused before it is sent anywhere. A block
ends after some time, and the first crash after it renews it for longer.
:mod:`block_records` keeps the blocks when all hosts end at once.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import math
from typing import Any
from typing import NamedTuple

from .. import actions
from .. import board as boards
from .. import events
from .. import membership
from .. import messages
from .. import outcomes
from .. import rendezvous
from . import crash_evidence
from . import instances

JUDGES = 3  # one may be gone or cut off, and another about to learn it
BLOCK_S = 600.0  # doubles each time
# After this time one blocked request is tried, in case that it was blamed for
# crashes of another one. If it crashes a replica, the next one waits longer.
TRIAL_S = 60.0
TRIAL_FACTOR = 8
MAX_BLOCK_S = 24 * 3600.0
PERIOD_S = 1.0  # between two messages of a judge to all hosts
MAX_DELAY_S = 5.0  # of a message; a renewed block is longer by more
# Reports of one crash, and of answers that clear a part, arrive meanwhile.
SETTLE_S = 0.3
# How long a part that was cleared can't be blocked, until all judges know it.
CLEARED_S = 5.0
MAX_BLOCKED = 1024
REQUEST_PREFIX = crash_evidence.REQUEST_PREFIX
MAX_WORKED = 4096  # parts that a host remembers answers on
# How long a request is suspected after it broke off at several replicas.
SUSPECTED_S = 10.0
MAX_SUSPECTED = 1024
MAX_RETOLD = 64  # broken answers that a judge tells another one

Part = crash_evidence.Part


class RunBroken(NamedTuple):
    """A worker's run at the replica ``id`` was broken off.

    ``written_s`` is the time since its first event, 0 before that. ``parts``
    are the ids of the shared parts of the prompt and of the request, in
    order.
    """

    service: str
    request_id: str
    id: str
    born: int
    parts: tuple[str, ...]
    written_s: float


class RunCompleted(NamedTuple):
    """A run that took ``seconds`` has written its answer to the end."""

    service: str
    parts: tuple[str, ...]
    seconds: float


class Block(NamedTuple):
    """A part is blocked until ``until``, for the ``times``-th time.

    From ``trial_at`` on, the first judge lets one request through.
    """

    until: float
    times: int
    trial_at: float = math.inf


class State:
    """What this host knows of parts.

    ``blocked`` holds the blocks in force, ``earlier`` how often parts were
    blocked so far, and ``cleared`` until when a part can't be blocked.
    ``worked`` holds when this host's last complete answer on a part was
    begun, oldest first, and ``suspected`` until when a request is suspected.
    ``trials`` holds the workers that may send a blocked request.

    The rest is used by judges. ``unjudged_at`` is the time of the last
    report, ``unasked`` are parts of broken answers about which the hosts
    have not been asked since. ``told`` are the runs of other judges that
    have got this one's evidence.
    """

    def __init__(self):
        self.blocked: dict[Part, Block] = {}
        self.earlier: dict[Part, int] = {}
        self.cleared: dict[Part, float] = {}
        self.worked: collections.OrderedDict[Part, float] = (
            collections.OrderedDict()
        )
        self.suspected: dict[Part, float] = {}
        self.trials: dict[Part, str] = {}
        self.evidence = crash_evidence.Evidence()
        self.unjudged_at: float | None = None
        self.unasked: set[Part] = set()
        self.told: frozenset[tuple[str, int]] = frozenset()
        self.next_message_at = 0.0


def to_part(service: str, id: str) -> Part:
    """Returns the part ``id`` of a request for ``service``."""
    return Part("" if id.startswith(REQUEST_PREFIX) else service, id)


def judges(board: boards.Board) -> list[str]:
    """Returns the hosts that judge parts, the first one first."""
    hosts = [each.host for each in membership.live_members(board)]
    return rendezvous.rank("prompt parts", hosts)[:JUDGES]


def is_judge(board: boards.Board) -> bool:
    """Returns whether this host judges parts."""
    return board.identity.host in judges(board)


def find_refusal(
    board: boards.Board,
    service: str,
    ids: Iterable[str],
    now: float,
    worker: str = "",
) -> outcomes.Refused | None:
    """Returns the refusal of a request with a blocked part, if it has one.

    ``worker`` is the one that handles the request.
    """
    state = board.state(State)
    if not state.blocked:
        return None
    for id in ids:
        part = to_part(service, id)
        found = state.blocked.get(part)
        if found is None or found.until <= now:
            continue
        if _may_try(board, part, now, worker):
            continue
        reason = outcomes.Reason.PROMPT_BLOCKED
        detail = f"replicas crash on the part {id} of the prompt"
        if id.startswith(REQUEST_PREFIX):
            reason = outcomes.Reason.REQUEST_BLOCKED
            detail = f"replicas crash on this request ({id})"
        return outcomes.not_run(reason, found.until - now, detail)
    return None


def _may_try(board: boards.Board, part: Part, now: float, worker: str) -> bool:
    """Returns whether ``worker`` may send a blocked request, to try it."""
    state = board.state(State)
    if worker and state.trials.get(part) == worker:
        return True
    found = state.blocked[part]
    if not worker or now < found.trial_at:
        return False
    if judges(board)[:1] != [board.identity.host]:
        return False
    state.trials[part] = worker
    wait_s = TRIAL_S * TRIAL_FACTOR**found.times
    state.blocked[part] = found._replace(trial_at=now + wait_s)
    return True


def is_suspected(
    board: boards.Board, service: str, ids: Iterable[str], now: float
) -> bool:
    """Returns whether the request itself broke off at several replicas."""
    suspected = board.state(State).suspected
    return any(suspected.get(to_part(service, id), now) > now for id in ids)


def block(
    board: boards.Board,
    part: Part,
    seconds: float,
    times: int,
    now: float,
    trial_in_s: float = math.inf,
) -> Iterable[actions.Action]:
    """Blocks ``part`` for ``seconds``, unless that was refuted just now."""
    state = board.state(State)
    if state.cleared.get(part, now) > now or seconds <= 0:
        return
    known = state.blocked.get(part)
    if known is None and len(state.blocked) >= MAX_BLOCKED:
        return
    until = now + min(seconds, MAX_BLOCK_S)
    trial_at = now + trial_in_s
    if known is not None:
        trial_at = max(trial_at, known.trial_at)
        # The judges tell each other too, and each message takes its time.
        if until < known.until + MAX_DELAY_S:
            until = known.until
        times = max(times, known.times)
    state.blocked[part] = Block(until, times, trial_at)
    state.earlier[part] = times
    if known is None:
        yield actions.Count("blocked_parts")
        fields = {"service": part.service, "part": part.id}
        yield actions.Log("part_blocked", {**fields, "for_s": round(seconds)})


def clear(
    board: boards.Board, part: Part, now: float
) -> Iterable[actions.Action]:
    """Ends the block of a part that crashes no replica."""
    state = board.state(State)
    state.earlier.pop(part, None)
    state.trials.pop(part, None)
    if state.blocked.pop(part, None) is None:
        return
    state.cleared[part] = now + CLEARED_S
    fields = {"service": part.service, "part": part.id}
    yield actions.Log("part_cleared", fields)


@functools.singledispatch
def handle(
    event: Any, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Handles reports on parts; all other events yield nothing."""
    return ()


# On each host


@handle.register
def _run_broken(
    event: RunBroken, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for id in event.parts:
        state.trials.pop(to_part(event.service, id), None)
    if event.written_s > crash_evidence.YOUNG_S or not event.parts:
        return
    # The first parts are those that most other requests have too.
    ids = tuple(dict.fromkeys(event.parts))[-crash_evidence.MAX_PARTS :]
    broke = messages.RunBroke(
        **board.sender_fields,
        request=event.request_id,
        replica=event.id,
        born=event.born,
        parts=[to_part(event.service, id) for id in ids],
    )
    for host in judges(board):
        yield actions.Send(host, broke)


@handle.register
def _run_completed(
    event: RunCompleted, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    asked = []
    for id in event.parts:
        part = to_part(event.service, id)
        state.suspected.pop(part, None)
        state.worked[part] = now - event.seconds
        state.worked.move_to_end(part)
        if part in state.blocked:
            asked.append(part)
    while len(state.worked) > MAX_WORKED:
        state.worked.popitem(last=False)
    if asked:
        worked = messages.PartsWorked(
            **board.sender_fields, parts=asked, age_s=event.seconds
        )
        for host in judges(board):
            yield actions.Send(host, worked)


@handle.register
def _parts_judged(
    event: messages.PartsJudged, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for part in event.cleared:
        yield from clear(board, part, now)
    for each in event.blocked:
        yield from block(
            board, each.part, each.for_s, each.times, now, each.trial_in_s
        )
    for part in event.suspected:
        is_request = part.id.startswith(REQUEST_PREFIX)
        if is_request and len(state.suspected) < MAX_SUSPECTED:
            state.suspected[part] = now + SUSPECTED_S
    # Earlier answers matter too while a part is only suspected: they show
    # which of its crashes came before.
    asked = [(part, crash_evidence.EVIDENCE_S) for part in event.suspected]
    asked += [(each.part, crash_evidence.SOUND_S) for each in event.blocked]
    for part, max_age_s in asked:
        age_s = now - state.worked.get(part, -math.inf)
        if age_s < max_age_s:
            worked = messages.PartsWorked(
                **board.sender_fields, parts=[part], age_s=age_s
            )
            yield actions.Send(event.sender, worked)


# On judges


@handle.register
def _run_broke(
    event: messages.RunBroke, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    parts = tuple(event.parts[: crash_evidence.MAX_PARTS])
    broken = crash_evidence.Break(
        now - event.age_s, event.request, event.replica, event.born, parts
    )
    if not crash_evidence.add_break(state.evidence, broken):
        return ()
    state.unjudged_at = now
    state.unasked.update(parts)
    return ()


@handle.register
def _parts_worked(
    event: messages.PartsWorked, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for part in event.parts:
        crash_evidence.record_worked(state.evidence, part, now - event.age_s)
        if crash_evidence.is_sound(state.evidence, part, now):
            yield from _clear_for_all(board, [part], now)


@handle.register
def _tick(
    event: events.Tick, board: boards.Board, now: float
) -> Iterable[actions.Action]:
    state = board.state(State)
    for part in [p for p, each in state.blocked.items() if each.until <= now]:
        del state.blocked[part]
        state.trials.pop(part, None)
        fields = {"service": part.service, "part": part.id}
        yield actions.Log("part_block_ended", fields)
    for part in [part for part, at in state.cleared.items() if at <= now]:
        del state.cleared[part]
    for part in [part for part, at in state.suspected.items() if at <= now]:
        del state.suspected[part]
    if state.unasked:
        yield from _ask_all(board, now)
    if state.unjudged_at is not None:
        if now - state.unjudged_at >= SETTLE_S:
            state.unjudged_at = None
        yield from _judge(board, now)
    if now < state.next_message_at:
        return
    state.next_message_at = now + PERIOD_S
    crash_evidence.forget_old(state.evidence, now)
    yield from _drop_disproved(board, now)
    if state.blocked and is_judge(board):
        yield from _tell_all(board, now)
    if state.evidence.breaks:
        yield from _tell_new_judges(board, now)


def _tell_new_judges(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Tells judges that have started or become judges what broke before.

    Otherwise blame would begin anew with them while replicas crash.
    """
    state = board.state(State)
    chosen = set(judges(board))
    if board.identity.host not in chosen:
        return
    current = frozenset(
        (each.host, each.epoch)
        for each in membership.live_members(board)
        if each.host in chosen
    )
    latest = list(state.evidence.breaks)[-MAX_RETOLD:]
    for host, _ in sorted(current - state.told):
        if host == board.identity.host:
            continue
        for each in latest:
            broke = messages.RunBroke(
                **board.sender_fields,
                request=each.request,
                replica=each.replica,
                born=each.born,
                parts=list(each.parts),
                age_s=now - each.at,
            )
            yield actions.Send(host, broke)
    state.told = current


def _judge(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Blocks the parts that the evidence blames."""
    state = board.state(State)
    relapsed = {
        part
        for each in state.evidence.breaks
        if now - 2 * PERIOD_S < each.at <= now - SETTLE_S
        for part in each.parts
        if part in state.earlier and part not in state.blocked
    }
    returned = [
        part
        for part in sorted(relapsed, key=lambda part: (part.service, part.id))
        if not crash_evidence.is_sound(state.evidence, part, now)
    ]
    if returned:
        yield from _block_for_all(board, returned, now)
    while True:
        found = crash_evidence.find_causes(
            state.evidence, state.blocked, now, now - SETTLE_S
        )
        if not found:
            return
        yield from _block_for_all(board, found, now)
        if not any(part in state.blocked for part in found):
            return


def _block_for_all(
    board: boards.Board, parts: Sequence[Part], now: float
) -> Iterable[actions.Action]:
    """Blocks ``parts``; if there are several, one of them is the cause.

    So requests are tried before their block ends.
    """
    state = board.state(State)
    for part in parts:
        times = state.earlier.get(part, 0) + 1
        crashes = crash_evidence.count_crashes(state.evidence, part)
        fields = {"service": part.service, "part": part.id}
        yield actions.Log(
            "part_blamed", {**fields, "crashes": crashes, "of": len(parts)}
        )
        is_request = part.id.startswith(REQUEST_PREFIX)
        trial_in_s = TRIAL_S * TRIAL_FACTOR ** (times - 1)
        yield from block(
            board,
            part,
            BLOCK_S * 2 ** (times - 1),
            times,
            now,
            trial_in_s if is_request else math.inf,
        )
    yield from _tell_all(board, now)


def _clear_for_all(
    board: boards.Board, parts: Iterable[Part], now: float
) -> Iterable[actions.Action]:
    blocked = board.state(State).blocked
    cleared = [part for part in parts if part in blocked]
    for part in cleared:
        yield from clear(board, part, now)
    if cleared:
        judged = messages.PartsJudged(**board.sender_fields, cleared=cleared)
        yield from membership.broadcast(board, judged)


def _tell_all(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Tells all hosts what is blocked."""
    blocked = [
        messages.BlockedPart(
            part, each.until - now, each.times, each.trial_at - now
        )
        for part, each in board.state(State).blocked.items()
    ]
    judged = messages.PartsJudged(**board.sender_fields, blocked=blocked)
    yield from membership.broadcast(board, judged)
    yield actions.Send(board.identity.host, judged)


def _ask_all(board: boards.Board, now: float) -> Iterable[actions.Action]:
    """Asks all hosts for answers on parts that may crash replicas.

    What broke off once only is left out: most of it never does so again.
    """
    state = board.state(State)
    suspected = [
        part
        for part in sorted(state.unasked, key=lambda p: (p.service, p.id))
        if not crash_evidence.is_sound(state.evidence, part, now)
        and part not in state.blocked
        and (
            part in state.earlier
            or crash_evidence.count_crashes(state.evidence, part)
            >= crash_evidence.SUSPECTED_CRASHES
        )
    ]
    state.unasked.clear()
    if suspected:
        asked = messages.PartsJudged(
            **board.sender_fields, suspected=suspected
        )
        yield from membership.broadcast(board, asked)
        yield actions.Send(board.identity.host, asked)


def _drop_disproved(
    board: boards.Board, now: float
) -> Iterable[actions.Action]:
    """Drops answers that were broken off by a replica that goes on running.

    They were cut on their way. A block that rests on them ends. A store that
    was away still lists replicas that have crashed meanwhile.
    """
    state = board.state(State)
    known = board.state(instances.State)
    returned_at = known.store_returned_at or -math.inf
    if (
        known.is_store_unavailable
        or now - returned_at <= crash_evidence.DISPROOF_S
    ):
        return
    dropped = [
        each
        for each in state.evidence.breaks
        if now - each.at > crash_evidence.DISPROOF_S
        and (found := known.instances.get(each.replica)) is not None
        and found.born == each.born != 0
        and each.replica not in known.lapsed_until
    ]
    for each in dropped:
        state.evidence.breaks.remove(each)
    parts = {part for each in dropped for part in each.parts}
    unfounded = [
        part
        for part in parts
        if part in state.blocked
        and crash_evidence.count_crashes(state.evidence, part)
        < crash_evidence.NEEDED_CRASHES - 1
    ]
    yield from _clear_for_all(board, unfounded, now)
