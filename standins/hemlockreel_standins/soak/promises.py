"""Checks the records of callers and replicas against the platform's rules.

A host or replica is undisturbed if no fault or operation was applied to it in
the last ``STABLE_S`` seconds. Rules with a time limit are checked for
undisturbed hosts and replicas only; rules on the correctness of a response
are always checked.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from . import records

STABLE_S = 3.0  # the platform's stability_ms
DRAIN_S = 2.0  # its drain_ms
APPLY_S = 2.0  # its config_apply_ms
ROLLBACK_S = 0.25  # its rollback_slack_ms
ABANDON_GRACE_S = 0.5  # in which replicas stop work for a caller that left
MIN_SERVED_SHARE = 0.25  # of the requests after recovery; rule RECOVER
MAX_UNSTOPPED_SHARE = 0.25  # of the abandoned streams; rule GONE
PLANNED_KINDS = (
    "stop", "overran", "boot", "reload", "version", "leaving", "limited",
)  # fmt: skip
NOT_RUN_STATUSES = (408, 421, 429, 503)  # the request was not run
FAILED_STATUSES = (502, 504)
OK = 200
COUNTED_CRASHES = 5  # after which a crashing part must be known
COUNTED_REQUEST_CRASHES = 3  # after which a crashing request must be known
MAX_LATE_ARRIVALS = 3
MIN_BYSTANDERS = 20  # requests; fewer say nothing about a share
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5  # of what a named limit allows in the window
LIMIT_SLACK = 5  # requests
TOLD_S = 0.5  # after a host has passed on an answer that names a limit
MIN_CUT_OFF_SHARE = 2 / 3  # of the others' share of first tries served
CUT_OFF_SLACK = 10  # first tries that may fail, and one in:
CUT_OFF_RATIO = 50
ALL_HOSTS = "all"  # the target of a span that affects every host


class Violation(NamedTuple):
    """A violation of the rule ``promise``."""

    promise: str
    detail: str


class Bounds(NamedTuple):
    """When the last fault ended, and when recovery must be complete."""

    faults_end_s: float
    recovered_s: float


def find_violations(log: records.Log, bounds: Bounds) -> list[Violation]:
    """Returns the violations of all rules."""
    runs: dict[str, list[records.Run]] = {}
    for run in log.runs:
        runs.setdefault(run.id, []).append(run)
    return [
        *check_status(log.sent),
        *check_whole(log.sent),
        *check_requested(log.sent, log.runs),
        *check_once(log.sent, runs),
        *check_refusals(log.sent, runs),
        *check_drained(log),
        *check_versions(log),
        *check_stops(log, runs),
        *check_abandoned(log, runs),
        *check_expiries(log, bounds),
        *check_recovery(log.sent, bounds),
        *check_seams(log.sent),
        *check_crashing_parts(log),
        *check_bystanders(log),
        *check_limits(log),
        *check_cut_off(log),
    ]


def is_undisturbed(
    spans: Iterable[records.Span], targets: set[str], begin: float, end: float
) -> bool:
    """Returns whether no span affects ``targets`` between the times.

    A span counts for ``STABLE_S`` after its end.
    """
    wanted = {*targets, ALL_HOSTS}
    return not any(
        span.target in wanted
        and span.began_at <= end
        and span.ended_at + STABLE_S >= begin
        for span in spans
    )


def check_status(sent: Iterable[records.Sent]) -> Iterator[Violation]:
    """A host responds with no status but those that may occur in a soak.

    All requests are valid and replicas respond with success only, so that
    other statuses can't be caused by a request or a replica.
    """
    for each in sent:
        if each.status not in (0, OK, *FAILED_STATUSES, *NOT_RUN_STATUSES):
            yield Violation(
                "status", f"{each.id} at {each.host}: {each.status}"
            )


def check_whole(sent: Iterable[records.Sent]) -> Iterator[Violation]:
    """A success is signed, complete, and the response to its request."""
    for each in sent:
        if each.status != OK or each.left_at is not None or not each.whole:
            continue
        wanted = records.response_body(each.id)
        if each.target.startswith("/drafts/"):
            name = records.stream_name(each.target)
            writers = {by for _, by in records.parse_events(each.body)}
            wanted = b"".join(
                records.stream_events(name, each.after + 1, *writers)
                if len(writers) == 1
                else ()
            )
        if not each.signed or each.body != wanted:
            yield Violation("whole", f"{each.id}: {each.body[-80:]!r}")


def check_seams(sent: Iterable[records.Sent]) -> Iterator[Violation]:
    """All events of a stream are of one software version, in order.

    That holds over all attempts of a caller, whether they came to their end.
    """
    streams: dict[str, list[records.Sent]] = {}
    for each in sent:
        if each.target.startswith("/drafts/"):
            streams.setdefault(each.resumes or each.id, []).append(each)
    for id, attempts in streams.items():
        found = [records.parse_events(each.body) for each in attempts]
        writers = {by for events in found for _, by in events}
        if len(writers) > 1:
            yield Violation("order", f"{id} is joined from {sorted(writers)}")
        for each, events in zip(attempts, found, strict=True):
            numbers = [number for number, _ in events]
            first = each.after + 1
            if numbers != list(range(first, first + len(numbers))):
                yield Violation("order", f"{each.id}: events {numbers}")


def check_requested(
    sent: Iterable[records.Sent], runs: Iterable[records.Run]
) -> Iterator[Violation]:
    """A replica runs only requests that a caller sent, unchanged."""
    requested = {each.id: (each.method, each.target) for each in sent}
    for run in runs:
        if requested.get(run.id) != (run.method, run.target):
            yield Violation(
                "asked", f"{run.id} at {run.replica}: {run.target}"
            )


def check_once(
    sent: Iterable[records.Sent], runs: dict[str, list[records.Run]]
) -> Iterator[Violation]:
    """A request to ``/deposits/``, which is not idempotent, runs once only."""
    for each in sent:
        once = each.target.startswith("/deposits/")
        if once and len(runs.get(each.id, ())) > 1:
            yield Violation("once", f"{each.id}: {runs[each.id]}")


def check_refusals(
    sent: Iterable[records.Sent], runs: dict[str, list[records.Run]]
) -> Iterator[Violation]:
    """A request that was refused as not run has no run at all."""
    for each in sent:
        if each.status in NOT_RUN_STATUSES and each.id in runs:
            yield Violation("refusal", f"{each.id}: {each.status}, {runs}")


def check_drained(log: records.Log) -> Iterator[Violation]:
    """No request reaches a replica that has drained for ``DRAIN_S``."""
    hosts = {each.id: each.host for each in log.sent}
    for span in log.spans:
        if span.kind != "leaving":
            continue
        for run in log.runs:
            late = run.began_at > span.began_at + DRAIN_S
            if run.replica != span.target or not late:
                continue
            host = hosts.get(run.id, "")
            if is_undisturbed(log.spans, {host}, span.began_at, run.began_at):
                after_s = run.began_at - span.began_at
                yield Violation(
                    "drain", f"{run.id} at {span.target} {after_s:.2f} s late"
                )


class RoutedRun(NamedTuple):
    """A run on the moving route, and the versions that allow it.

    ``versions`` are the numbers of the configuration versions that route the
    request to this replica's service, in ascending order; it is not empty.
    """

    run: records.Run
    sent: records.Sent
    versions: list[int]


def check_versions(log: records.Log) -> Iterator[Violation]:
    """A change of routes is applied in time and is never rolled back.

    A span ``version`` begins just before a change of the route ``/lookups/``
    is written and ends once the next change has been written. Its target is
    the service that serves the route; the names of its replicas begin with it.
    """
    spans = [span for span in log.spans if span.kind == "version"]
    sent = {each.id: each for each in log.sent}
    routed_runs = []
    for run in sorted(log.runs, key=lambda run: run.began_at):
        if run.id not in sent or not run.target.startswith("/lookups/"):
            continue
        versions = [
            number
            for number, span in enumerate(spans)
            if span.began_at <= run.began_at
            and run.replica.startswith(span.target)
        ]
        if versions:
            routed_runs.append(RoutedRun(run, sent[run.id], versions))
        else:
            yield Violation("version", f"{run.id} at {run.replica}: unasked")
    yield from _check_applied(log, spans, routed_runs)
    yield from _check_not_rolled_back(log, routed_runs)


def _check_applied(
    log: records.Log, spans: list[records.Span], routed_runs: list[RoutedRun]
) -> Iterator[Violation]:
    for run, sent, versions in routed_runs:
        until = spans[versions[-1]].ended_at
        if sent.began_at > until + APPLY_S and is_undisturbed(
            log.spans, {sent.host}, until, run.began_at
        ):
            yield Violation("version", f"{run.id} at {run.replica}: outdated")


def _check_not_rolled_back(
    log: records.Log, routed_runs: list[RoutedRun]
) -> Iterator[Violation]:
    """Yields runs by an older version than the same host has already used.

    A host that was restarted may begin with an older version again.
    """
    shown: dict[str, tuple[int, float]] = {}
    for run, sent, versions in routed_runs:
        version, at = shown.get(sent.host, (0, 0.0))
        if _has_booted(log.spans, sent.host, at, run.began_at):
            version, at = 0, 0.0
        later = sent.began_at > at + ROLLBACK_S
        if versions[-1] < version and later:
            yield Violation(
                "version", f"{run.id} at {run.replica}: taken back"
            )
        if versions[0] > version:
            version, at = versions[0], run.began_at
        shown[sent.host] = version, at


def _has_booted(
    spans: Iterable[records.Span], host: str, begin: float, end: float
) -> bool:
    return any(
        span.kind == "boot"
        and span.target == host
        and begin <= span.began_at <= end
        for span in spans
    )


def check_stops(
    log: records.Log, runs: dict[str, list[records.Run]]
) -> Iterator[Violation]:
    """A planned stop ends in time and cuts no request that is running.

    What runs at a host that is being cut off replicas is disturbed as well.
    """
    others = [span for span in log.spans if span.kind not in PLANNED_KINDS]
    others += [
        records.Span("cut_off", host, cut.began_at, cut.began_at)
        for cut in log.cut_offs
        for host in cut.hosts
    ]
    for span in log.spans:
        if span.kind == "overran" and is_undisturbed(
            others, {span.target}, span.began_at, span.ended_at
        ):
            yield Violation("stop", f"{span.target} did not end")
    for each in log.sent:
        done = runs.get(each.id)
        cut = each.left_at is None and not each.whole
        if not done or not cut:
            continue
        targets = {each.host, *(run.replica for run in done)}
        if is_undisturbed(others, targets, each.began_at, each.ended_at):
            yield Violation(
                "stop", f"{each.id} at {each.host}: {each.error} {done}"
            )


def check_abandoned(
    log: records.Log, runs: dict[str, list[records.Run]]
) -> Iterator[Violation]:
    """Replicas stop work on requests that their callers abandoned."""
    left = working = 0
    for each in log.sent:
        if each.left_at is None:
            continue
        done = runs.get(each.id, [])
        targets = {each.host, *(run.replica for run in done)}
        end = each.left_at + ABANDON_GRACE_S
        if not done or not is_undisturbed(
            log.spans, targets, each.began_at, end
        ):
            continue
        left += 1
        working += any(run.finished for run in done)
    if working > MAX_UNSTOPPED_SHARE * left + 1:
        yield Violation(
            "gone", f"{working} of {left} abandoned streams ran on"
        )


def check_expiries(log: records.Log, bounds: Bounds) -> Iterator[Violation]:
    """No memory reservation expires unused while there are no faults."""
    for lapse in log.lapses:
        calm = lapse.taken_at > bounds.recovered_s
        if calm and is_undisturbed(
            log.spans, {lapse.replica}, lapse.at, lapse.at
        ):
            yield Violation(
                "memory", f"{lapse.what} at {lapse.replica} lapsed"
            )


def check_recovery(
    sent: Iterable[records.Sent], bounds: Bounds
) -> Iterator[Violation]:
    """Enough requests are served again after the time for recovery."""
    later = [
        each
        for each in sent
        if each.began_at > bounds.recovered_s and each.left_at is None
    ]
    served = sum(each.status == OK and each.whole for each in later)
    if not later or served < MIN_SERVED_SHARE * len(later):
        yield Violation("recovery", f"{served} of {len(later)} were served")


def check_crashing_parts(log: records.Log) -> Iterator[Violation]:
    """Few requests reach replicas once what crashes them must be known."""
    hosts = {each.id: each.host for each in log.sent}
    for part, crashes in _crashes_by_part(log).items():
        counted = _counted_crashes(part)
        if len(crashes) < counted:
            continue
        known_at = crashes[counted - 1] + STABLE_S
        late = [
            each
            for each in log.part_arrivals
            if each.part == part
            and each.at > known_at
            and is_undisturbed(
                log.spans, {hosts.get(each.id, "")}, each.at, each.at
            )
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            detail = f"{len(late)} with {part} after {counted} crashes"
            yield Violation("budget", f"{detail}: {late[-1]}")


def check_bystanders(log: records.Log) -> Iterator[Violation]:
    """Sound prompts are served while others with a crashing part come.

    Only requests count in whose time there is no other unplanned fault, and
    no other part that may still crash replicas.
    """
    spans = [span for span in log.spans if span.kind not in PLANNED_KINDS]
    crashed = {each.replica for each in log.part_crashes}
    others = [span for span in spans if span.target not in crashed]
    sound = [
        each
        for each in log.sent
        if each.target.startswith("/drafts/")
        and not each.part
        and each.left_at is None
    ]
    parts = _part_spans(log)
    calm = [each for each in sound if _is_calm([*spans, *parts], each)]
    by_part = _crashes_by_part(log)
    for _, part, _, end in parts:
        begin = _last_counted(part, by_part[part]) + 2 * STABLE_S
        allowed = [
            _allowed_crashes(other, crashes)
            for other, crashes in by_part.items()
            if other != part
        ]
        beside = [
            each
            for each in sound
            if begin <= each.began_at <= end
            and _is_calm([*others, *allowed], each)
        ]
        if min(len(beside), len(calm)) < MIN_BYSTANDERS:
            continue
        if _served_share(beside) < _served_share(calm) / 2:
            served = f"{_served_share(beside):.2f}, {_served_share(calm):.2f}"
            yield Violation("lost", f"beside {part} and calm: {served}")


def _crashes_by_part(log: records.Log) -> dict[str, list[float]]:
    """Returns the times of the crashes of each part, in order."""
    found: dict[str, list[float]] = {}
    for each in sorted(log.part_crashes, key=lambda crash: crash.at):
        found.setdefault(each.part, []).append(each.at)
    return found


def _allowed_crashes(part: str, crashes: list[float]) -> records.Span:
    """Returns the time in which ``part`` may crash replicas.

    Its effects may last for as long as those of other spans, after it.
    """
    until = _last_counted(part, crashes) + STABLE_S
    return records.Span("part", part, crashes[0], until)


def _counted_crashes(part: str) -> int:
    """Returns after how many crashes ``part`` must be known."""
    if records.is_request(part):
        return COUNTED_REQUEST_CRASHES
    return COUNTED_CRASHES


def _last_counted(part: str, crashes: list[float]) -> float:
    return crashes[: _counted_crashes(part)][-1]


def _is_calm(spans: Iterable[records.Span], sent: records.Sent) -> bool:
    """Returns whether none of ``spans`` is near a request, at any target."""
    return not any(
        span.began_at <= sent.ended_at
        and span.ended_at + STABLE_S >= sent.began_at
        for span in spans
    )


def _part_spans(log: records.Log) -> list[records.Span]:
    """Returns for each part the time in which requests with it came."""
    found = []
    for part in _crashes_by_part(log):
        times = [each.began_at for each in log.sent if each.part == part]
        found.append(records.Span("part", part, min(times), max(times)))
    return found


def _served_share(sent: list[records.Sent]) -> float:
    return sum(each.status == OK and each.whole for each in sent) / len(sent)


def check_limits(log: records.Log) -> Iterator[Violation]:
    """A replica gets not much more than it takes from hosts that know."""
    sent = {each.id: each for each in log.sent}
    for limit in log.limits:
        told = _told_at(log, limit, sent)
        times = sorted(
            run.began_at
            for run in log.runs
            if run.replica == limit.replica
            and limit.began_at + STABLE_S < run.began_at <= limit.ended_at
            and run.id in sent
            and _must_know(log, told, sent[run.id].host, run.began_at)
        )
        allowed = LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max(
            (
                sum(at - LIMIT_WINDOW_S < each <= at for each in times)
                for at in times
            ),
            default=0,
        )
        if most > allowed:
            detail = f"{most} requests in {LIMIT_WINDOW_S:g} s"
            yield Violation("limit", f"{limit}: {detail}, {allowed:g} allowed")


def _told_at(
    log: records.Log, limit: records.Limit, sent: dict[str, records.Sent]
) -> dict[str, float]:
    """Returns when each host first passed on an answer with the limit."""
    found: dict[str, float] = {}
    for run in log.runs:
        if run.replica != limit.replica or run.began_at < limit.began_at:
            continue
        request = sent.get(run.id)
        if request is None or not run.finished or not request.whole:
            continue
        at = found.get(request.host, request.ended_at)
        found[request.host] = min(at, request.ended_at)
    return found


def _must_know(
    log: records.Log, told: dict[str, float], host: str, at: float
) -> bool:
    """Returns whether a host was told and had no fault of its own since."""
    told_at = told.get(host)
    if told_at is None or at < told_at + TOLD_S:
        return False
    own = [span for span in log.spans if span.target == host]
    return is_undisturbed(own, {host}, told_at, at)


def check_cut_off(log: records.Log) -> Iterator[Violation]:
    """Hosts without any replica serve first tries like the others.

    That holds from ``STABLE_S`` after a cut began, for hosts to which nothing
    else was done, while something is served at the others. A caller that
    comes back with a stream makes no first try.
    """
    for cut in log.cut_offs:
        tries = [
            each
            for each in log.sent
            if cut.began_at + STABLE_S <= each.began_at <= cut.ended_at
            and each.ended_at <= cut.ended_at
            and each.left_at is None
            and not each.part
            and not each.resumes
            and is_undisturbed(
                log.spans, {each.host}, each.began_at, each.ended_at
            )
        ]
        at_cut = [each for each in tries if each.host in cut.hosts]
        others = [each for each in tries if each.host not in cut.hosts]
        failed = len(at_cut) - _count_served(at_cut)
        if failed <= CUT_OFF_SLACK + len(at_cut) / CUT_OFF_RATIO or not others:
            continue
        share = _count_served(at_cut) / len(at_cut)
        wanted = MIN_CUT_OFF_SHARE * _count_served(others) / len(others)
        if share < wanted:
            yield Violation(
                "cut_off",
                f"{len(at_cut) - failed} of {len(at_cut)} served at hosts "
                f"without replicas, {_count_served(others)} of {len(others)} "
                f"at the others, from {cut.began_at:.1f}",
            )


def _count_served(sent: Iterable[records.Sent]) -> int:
    return sum(each.status == OK and each.whole for each in sent)
