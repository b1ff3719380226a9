"""Estimates the pace of the replicas of a service from times of answers.

The time at each replica is compared with the median over the replicas, so
that a burst that slows all of them down changes nothing. The time at a replica
is the median over the hosts that report it, so that the slow link of one host
counts as one host. Means are geometric, as times of answers have long tails.

The number of requests that run at a replica follows from the same samples: it
is the time that its answers took in all, divided by the time in which they
were received.
"""

from collections.abc import Iterable
import math
import statistics
from typing import NamedTuple

MIN_SAMPLES = 8
WINDOW_S = 1.0  # longer while it holds fewer samples
MAX_AGE_S = 10.0
# A replica differs from the others if its time does by this factor and by this
# many standard errors. One that is known to differ does so until it comes
# nearer.
MARGIN = math.log(1.4)
KEPT_MARGIN = math.log(1.2)
STANDARD_ERRORS = 4.0
MIN_LOG = math.log(0.1)  # slower ones still get requests, to be measured
MAX_LOG = math.log(4.0)
# The standard error of a median relative to that of a mean.
MEDIAN_ERROR = 1.25

# A pace falls by most of the way at once and rises slowly, so that a replica
# that has recovered is not flooded.
FALL_SHARE = 0.8
RISE_PER_S = math.log(1.25)
NEAR = math.log(1.02)  # of the target, which is then taken
# A replica slows down under load if its time rises by this factor, relative to
# the others, while it runs this much more than in its best time.
SLOWDOWN = math.log(1.5)
MORE_RUNNING = 1.25
BACK_OFF = 0.8  # of the requests that ran when it had slowed down
USED_SHARE = 0.7  # of its places, from which more are tried
GROWTH_PER_S = 0.05  # of the slots, while the places are used
IDLE_GROWTH_PER_S = 0.01
# The best time is forgotten at this rate, as replicas change.
DRIFT_PER_S = 0.02


class Sums(NamedTuple):
    """Sums over samples of one replica.

    A sample is a time in seconds; ``logs`` and ``squares`` are the sums of its
    natural logarithm and of the square of that. ``busy_s`` is the time that
    the replica spent on the requests, which for a stream is longer than the
    time between its events.
    """

    count: int = 0
    logs: float = 0.0
    squares: float = 0.0
    busy_s: float = 0.0


class Entry(NamedTuple):
    """What ``host`` reported at ``at``."""

    at: float
    host: str
    sums: Sums


class Summary(NamedTuple):
    """The recent times of one replica.

    ``log_s`` is the logarithm of the typical time in seconds, ``error`` its
    standard error, ``hosts`` how many hosts reported it and ``running`` the
    mean number of requests that ran there.
    """

    log_s: float
    error: float
    hosts: int
    running: float


class Learned(NamedTuple):
    """What is known of one run of a replica.

    ``log_pace`` is the logarithm of its pace, ``room`` the share of its slots
    that it takes well. ``best`` is its lowest time relative to the other
    replicas, as a logarithm, and ``best_running`` what ran there then.
    ``slowed_running`` is what ran when it was slower than that, ``None`` if it
    isn't now.
    """

    born: int
    log_pace: float = 0.0
    room: float = 1.0
    best: float | None = None
    best_running: float = 0.0
    slowed_running: float | None = None

    @property
    def pace(self) -> float:
        """The speed relative to the typical replica of the service."""
        return math.exp(self.log_pace)


class Group:
    """Replicas of one service whose samples can be compared.

    ``entries`` are the recent reports by replica id, ``learned`` what follows
    from them. ``at`` is the time of the last update.
    """

    def __init__(self):
        self.entries: dict[str, list[Entry]] = {}
        self.learned: dict[str, Learned] = {}
        self.at: float | None = None


def add_sample(sums: Sums, seconds: float, busy_s: float) -> Sums:
    """Returns ``sums`` with one sample more."""
    log_s = math.log(max(seconds, 1e-6))
    return Sums(
        sums.count + 1,
        sums.logs + log_s,
        sums.squares + log_s * log_s,
        sums.busy_s + busy_s,
    )


def add_report(group: Group, id: str, born: int, entry: Entry) -> None:
    """Adds a report on a replica; each of its runs starts anew."""
    known = group.learned.get(id)
    if known is not None and known.born > born:
        return
    if known is None or known.born != born:
        group.learned[id] = Learned(born)
        group.entries[id] = []
    group.entries.setdefault(id, []).append(entry)


def forget(group: Group, id: str) -> None:
    """Drops a removed replica."""
    group.entries.pop(id, None)
    group.learned.pop(id, None)


def update(group: Group, slots: dict[str, int], now: float) -> None:
    """Learns from the reports; ``slots`` holds those of each replica.

    Replicas that ``slots`` lacks are dropped.
    """
    passed_s = 0.0 if group.at is None else max(0.0, now - group.at)
    group.at = now
    found: dict[str, Summary] = {}
    for id in list(group.learned):
        if id not in slots:
            forget(group, id)
            continue
        group.entries[id] = _recent(group.entries.get(id, []), now)
        summary = summarize(group.entries[id], now)
        if summary is not None:
            found[id] = _without_queue(summary, slots[id])
    differences = compare(found, group.learned)
    for id, known in group.learned.items():
        difference = differences.get(id)
        if difference is None:
            group.learned[id] = _return_to_neutral(known, passed_s)
            continue
        typical = statistics.median(each.log_s for each in found.values())
        learned = _learn_room(
            known,
            found[id].log_s - typical,
            found[id].running,
            difference < 0.0,
            slots[id],
            passed_s,
        )
        group.learned[id] = learned._replace(
            log_pace=_move(known.log_pace, difference, passed_s)
        )


def _recent(entries: list[Entry], now: float) -> list[Entry]:
    """Returns the reports of the last second, or as many as are needed."""
    count = 0
    for position in range(len(entries) - 1, -1, -1):
        age_s = now - entries[position].at
        if age_s > MAX_AGE_S or (age_s > WINDOW_S and count >= MIN_SAMPLES):
            return entries[position + 1 :]
        count += entries[position].sums.count
    return entries


def summarize(entries: list[Entry], now: float) -> Summary | None:
    """Returns the summary of a replica, ``None`` with too few samples."""
    by_host: dict[str, tuple[int, float]] = {}
    count, logs, squares, busy_s, oldest = 0, 0.0, 0.0, 0.0, now
    for at, host, sums in entries:
        count += sums.count
        logs += sums.logs
        squares += sums.squares
        busy_s += sums.busy_s
        oldest = min(oldest, at)
        host_count, host_logs = by_host.get(host, (0, 0.0))
        by_host[host] = host_count + sums.count, host_logs + sums.logs
    if count < MIN_SAMPLES:
        return None
    variance = max(0.0, squares / count - (logs / count) ** 2)
    return Summary(
        _weighted_median(
            (host_logs / host_count, host_count)
            for host_count, host_logs in by_host.values()
        ),
        MEDIAN_ERROR * math.sqrt(variance / count),
        len(by_host),
        busy_s / max(WINDOW_S, now - oldest),
    )


def _without_queue(summary: Summary, slots: int) -> Summary:
    """Returns ``summary`` without the time that requests wait for a slot.

    All replicas of a full service have queues, of lengths that vary. A
    replica that got less for its queue would only make the others' longer.
    """
    waiting = max(1.0, summary.running / max(slots, 1))
    return summary._replace(log_s=summary.log_s - math.log(waiting))


def compare(
    found: dict[str, Summary], learned: dict[str, Learned]
) -> dict[str, float]:
    """Returns the logarithm of the pace of each replica that can be judged.

    It is 0 for those that don't differ. A replica that only one host reports
    is judged if that holds for all of them, as it may be that host's link.
    """
    if len(found) < 2:
        return {}
    typical = statistics.median(each.log_s for each in found.values())
    typical_error = statistics.median(each.error for each in found.values())
    most_hosts = max(each.hosts for each in found.values())
    differences = {}
    for id, each in found.items():
        if each.hosts == 1 and most_hosts > 1:
            continue
        difference = typical - each.log_s
        is_known = id in learned and learned[id].log_pace * difference > 0
        margin = KEPT_MARGIN
        if not is_known:
            error = math.hypot(each.error, typical_error)
            margin = max(MARGIN, STANDARD_ERRORS * error)
        if abs(difference) < margin:
            difference = 0.0
        differences[id] = min(max(difference, MIN_LOG), MAX_LOG)
    return differences


def _weighted_median(values: Iterable[tuple[float, int]]) -> float:
    ordered = sorted(values)
    half = sum(weight for _, weight in ordered) / 2
    passed = 0
    for value, weight in ordered:
        passed += weight
        if passed >= half:
            return value
    raise ValueError("there are no values")


def _move(log_pace: float, target: float, passed_s: float) -> float:
    if target < log_pace - NEAR:
        return log_pace + FALL_SHARE * (target - log_pace)
    return min(target, log_pace + RISE_PER_S * passed_s)


def _return_to_neutral(known: Learned, passed_s: float) -> Learned:
    step = RISE_PER_S * passed_s
    log_pace = math.copysign(
        max(0.0, abs(known.log_pace) - step), known.log_pace
    )
    room = min(1.0, known.room + IDLE_GROWTH_PER_S * passed_s)
    return known._replace(log_pace=log_pace or 0.0, room=room)


def _learn_room(
    known: Learned,
    time: float,
    running: float,
    is_slow: bool,
    slots: int,
    passed_s: float,
) -> Learned:
    """Learns how many requests a replica takes before it slows down.

    ``time`` is the logarithm of its time relative to the other replicas, and
    ``is_slow`` whether that differs from them. More requests run at any
    replica that gets slower. So only once fewer run does it show what the
    cause was: with too many requests the time is short again, and otherwise
    the replica is slow at any load and this becomes its best time.
    """
    slots = max(slots, 1)
    best = time if known.best is None else known.best + DRIFT_PER_S * passed_s
    has_slowed = is_slow and time - best > SLOWDOWN
    room, slowed = known.room, known.slowed_running
    if has_slowed and running > max(1.0, MORE_RUNNING * known.best_running):
        slowed = running if slowed is None else min(slowed, running)
    else:
        if has_slowed or time <= best:
            best = time
            known = known._replace(best_running=running)
        if slowed is not None and not has_slowed and running < slowed:
            room = min(room, BACK_OFF * slowed / slots)
        slowed = None
        is_used = running >= USED_SHARE * room * slots
        growth = GROWTH_PER_S if is_used else IDLE_GROWTH_PER_S
        room = min(max(room + growth * passed_s, 1 / slots), 1.0)
    return known._replace(room=room, best=best, slowed_running=slowed)
