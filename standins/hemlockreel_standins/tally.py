"""Counters and results of one simulated run."""

import collections
from typing import NamedTuple

from hdrh import histogram

from . import workload

HIGHEST_MS = 600_000


class Targets(NamedTuple):
    """The latency targets of a good response, in seconds."""

    first_token_s: float
    between_tokens_s: float


class Figures(NamedTuple):
    """The results of one run.

    ``goodput`` is in good responses per second, ``wasted`` the share of
    prefilled tokens that were never used. Latencies are p50/p95/p99 in
    milliseconds, as text.
    """

    goodput: float
    wasted: float
    first_ms: str
    between_ms: str
    counts: dict[str, int]
    refusals: dict[str, int]
    good_by_second: dict[int, int]
    good_by_organisation: dict[str, int]

    def rate(self, start: float, end: float) -> float:
        """Returns good responses per second to tries made in an interval."""
        good = sum(
            count
            for second, count in self.good_by_second.items()
            if start <= second < end
        )
        return good / (end - start)


class Tally:
    """The counts and histograms of one run, from ``start`` to ``end``.

    Earlier calls only warm up the engines and are not counted.
    """

    def __init__(self, targets: Targets, start: float, end: float):
        self.targets = targets
        self.start = start
        self.end = end
        self.counts: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.good_by_second: collections.Counter[int] = collections.Counter()
        self.good_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.first_ms = histogram.HdrHistogram(1, HIGHEST_MS, 3)
        self.between_ms = histogram.HdrHistogram(1, HIGHEST_MS, 3)
        self.prefill_tokens = 0
        self.wasted_tokens = 0

    @property
    def goodput(self) -> float:
        """Good interactive responses per second."""
        return self.counts["good"] / (self.end - self.start)

    @property
    def wasted(self) -> float:
        """The share of prefilled tokens whose result was never used."""
        return self.wasted_tokens / max(self.prefill_tokens, 1)

    def is_counted(self, at: float) -> bool:
        """Returns whether an event at ``at`` lies in the counted interval."""
        return self.start <= at < self.end

    def count_prefill(self, tokens: int, used: bool, at: float) -> None:
        """Counts a prefill once it is known whether it was used."""
        if not self.is_counted(at):
            return
        self.prefill_tokens += tokens
        if not used:
            self.wasted_tokens += tokens

    def count_try(self, call: workload.Call, tries: int) -> None:
        """Counts a try of a call, after ``tries`` earlier ones."""
        if not self.is_counted(call.at):
            return
        self.counts["tries"] += 1
        self.counts["returned"] += tries == 1
        self.counts["calls"] += tries == 0
        deferrable = call.klass == "deferrable"
        self.counts["deferrable"] += deferrable and tries == 0

    def count_refusal(
        self, call: workload.Call, tries: int, reason: str, will_retry: bool
    ) -> None:
        """Counts a refusal; ``will_retry`` if the caller tries again later."""
        if not self.is_counted(call.at):
            return
        self.refusals[reason] += 1
        self.counts["refused"] += tries == 0
        self.counts["returned refused"] += tries == 1
        if call.klass == "deferrable":
            self.counts["deferrable refused"] += 1
            self.counts["deferrable given up"] += not call.obeys_retry_after
        if will_retry:
            self.counts["told"] += 1
            self.counts["followers"] += tries == 0

    def count_response(
        self,
        organisation: str,
        submitted_at: float,
        first_s: float,
        between_s: float,
    ) -> None:
        """Counts a whole response to an interactive try.

        ``submitted_at`` is the time of the try.
        """
        if not self.is_counted(submitted_at):
            return
        self.counts["answered"] += 1
        self.first_ms.record_value(max(1, round(first_s * 1000)))
        self.between_ms.record_value(max(1, round(between_s * 1000)))
        in_time = first_s <= self.targets.first_token_s
        if in_time and between_s <= self.targets.between_tokens_s:
            self.counts["good"] += 1
            self.good_by_organisation[organisation] += 1
            self.good_by_second[int(submitted_at)] += 1

    def figures(self) -> Figures:
        """Returns the figures counted so far."""
        return Figures(
            self.goodput,
            self.wasted,
            percentiles(self.first_ms),
            percentiles(self.between_ms),
            dict(self.counts),
            dict(self.refusals.most_common()),
            dict(self.good_by_second),
            dict(self.good_by_organisation),
        )


def percentiles(latencies: histogram.HdrHistogram) -> str:
    """Returns p50/p95/p99 as text, such as ``"12/80/143"``."""
    values = (latencies.get_value_at_percentile(x) for x in (50, 95, 99))
    return "/".join(str(int(value)) for value in values)
