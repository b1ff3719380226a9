"""Measures goodput, wasted prefill and refusals of admission policies.

Run by ``make measure``. All runs are simulated in virtual time with fixed
seeds, so a second run prints the same figures.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import functools
import random
from typing import Any
from typing import NamedTuple

import msgspec

from hemlockreel import ledger

from . import baseline
from . import bench
from . import scenarios
from . import tally as tallies
from . import workload

WARM_UP_S = 60.0
RUN_S = 300.0
DRAIN_S = 200.0  # for calls in progress and for retries after a refusal
SEEDS = 6
WORKERS = 4
LOADS = (0.5, 1.0, 1.5, 2.0)
FAULT_AT_S = 160.0
RECOVERY_S = 10.0


class Setup(NamedTuple):
    """An admission policy under test and how to make it for a profile."""

    name: str
    make: Callable[[workload.Profile], Any]


def _make_no_affinity(profile: workload.Profile) -> ledger.Ledger:
    return baseline.NoAffinity(profile.pool)


def _make_ledger(profile: workload.Profile, **changed: Any) -> ledger.Ledger:
    return ledger.Ledger(msgspec.structs.replace(profile.pool, **changed))


def _make_baseline(
    profile: workload.Profile, policy: type[baseline.RoundRobin]
) -> baseline.RoundRobin:
    return policy()


NO_MARGIN_MS = -1_000_000_000  # no request is ever shed as too late
POLICIES = (
    Setup(
        "naive", functools.partial(_make_baseline, policy=baseline.RoundRobin)
    ),
    Setup(
        "least loaded",
        functools.partial(_make_baseline, policy=baseline.LeastLoaded),
    ),
    Setup(
        "power of two",
        functools.partial(_make_baseline, policy=baseline.PowerOfTwo),
    ),
    Setup(
        "reserve, no shedding",
        functools.partial(
            _make_ledger,
            overcommit=0.0,
            margin_ms=NO_MARGIN_MS,
            queue_limit=9999,
        ),
    ),
    Setup("reserve", functools.partial(_make_ledger, overcommit=0.0)),
    Setup("ahead 0.3", functools.partial(_make_ledger, overcommit=0.3)),
    Setup("ahead 0.9", functools.partial(_make_ledger, overcommit=0.9)),
    Setup("adaptive, no affinity", _make_no_affinity),
    Setup("adaptive", functools.partial(_make_ledger, overcommit="adaptive")),
)
NAIVE = POLICIES[0]
ADAPTIVE = POLICIES[-1]


class Run(NamedTuple):
    """One run of a policy under a steady load.

    ``load`` is a multiple of the profile's capacity. ``prepare`` holds the
    name of a function of :mod:`scenarios` and its arguments; ``extra`` holds
    the load, start, end and fixed fields of a :func:`scenarios.burst`. Runs
    hold names and plain values because they are sent to other processes.
    """

    profile: workload.Profile
    setup: Setup
    load: float
    prepare: tuple[Any, ...] = ()
    extra: tuple[Any, ...] = ()


def simulate(
    profile: workload.Profile,
    setup: Setup,
    load: float,
    seed: int,
    prepare: scenarios.Prepare | None = None,
    extra: Iterable[workload.Call] = (),
) -> tallies.Figures:
    """Simulates a policy under a steady load and returns its figures."""
    end = WARM_UP_S + RUN_S
    rng = random.Random(seed)
    source = workload.Source(profile, seed)
    rate = load * workload.capacity(profile)
    times = workload.arrivals(rate, 0.0, end, rng)
    calls = [source.draw(at) for at in times]
    return simulate_calls(profile, setup, [*calls, *extra], prepare)


def simulate_calls(
    profile: workload.Profile,
    setup: Setup,
    calls: Iterable[workload.Call],
    prepare: scenarios.Prepare | None = None,
    end: float = 0.0,
) -> tallies.Figures:
    """Simulates a policy under given calls and returns its figures."""
    targets = tallies.Targets(
        profile.pool.first_token_ms / 1000,
        profile.pool.between_tokens_ms / 1000,
    )
    end = end or WARM_UP_S + RUN_S
    tally = tallies.Tally(targets, WARM_UP_S, end)
    simulation = bench.Simulation(profile, setup.make(profile), tally)
    if prepare is not None:
        prepare(simulation)
    simulation.run(calls, end + DRAIN_S)
    return tally.figures()


def _simulate_run(run: Run, seed: int) -> tallies.Figures:
    prepare = None
    if run.prepare:
        name, *rest = run.prepare
        prepare = getattr(scenarios, name)(*rest)
    extra: Iterable[workload.Call] = ()
    if run.extra:
        load, start, end, fixed = run.extra
        extra = scenarios.burst(run.profile, load, start, end, seed, **fixed)
    return simulate(run.profile, run.setup, run.load, seed, prepare, extra)


def _simulate_day(
    profile: workload.Profile, position: float, seed: int, balanced: bool
) -> tallies.Figures:
    best = max(workload.capacity(profile, x, 8 - x) for x in range(1, 8))
    end = scenarios.DAY_S
    calls = scenarios.draw_day(profile, best, end, position, seed)
    prepare = scenarios.balance_roles if balanced else None
    return simulate_calls(profile, ADAPTIVE, calls, prepare, end)


class Seeds:
    """Simulates each run with several seeds, in parallel processes."""

    def __init__(self, pool: futures.Executor, count: int):
        self._pool = pool
        self._seeds = range(1, count + 1)

    def simulate(self, runs: Iterable[Run]) -> list[list[tallies.Figures]]:
        """Returns, for each run, the figures of all seeds."""
        started = [
            [
                self._pool.submit(_simulate_run, run, seed)
                for seed in self._seeds
            ]
            for run in runs
        ]
        return [[one.result() for one in row] for row in started]

    def simulate_days(
        self, days: Iterable[tuple[workload.Profile, float, bool]]
    ) -> list[list[tallies.Figures]]:
        """Returns, for each simulated day, the figures of all seeds."""
        started = [
            [
                self._pool.submit(
                    _simulate_day, profile, position, seed, balanced
                )
                for seed in self._seeds
            ]
            for profile, position, balanced in days
        ]
        return [[one.result() for one in row] for row in started]


def total(results: list[tallies.Figures], name: str) -> int:
    """Returns the sum of one count over all seeds."""
    return sum(figures.counts.get(name, 0) for figures in results)


def mean_rate(
    results: list[tallies.Figures], start: float, end: float
) -> float:
    """Returns the mean goodput, per second, between two times of the runs."""
    return sum(x.rate(start, end) for x in results) / len(results)


def format_line(name: str, results: list[tallies.Figures]) -> str:
    """Returns one table line for the runs of one policy.

    Goodput and waste are means over the seeds; latencies and refusals are
    those of the first seed.
    """
    count = len(results)
    goodput = sum(x.goodput for x in results) / count
    wasted = sum(x.wasted for x in results) / count
    first = results[0]
    refused = ", ".join(
        f"{reason} {number}" for reason, number in first.refusals.items()
    )
    return (
        f"{name:<24} {goodput:7.2f} {wasted:8.2%} "
        f"{first.first_ms:>18} {first.between_ms:>12}  {refused}"
    )


HEADER = (
    f"{'':<24} {'good/s':>7} {'wasted':>8} "
    f"{'first ms 50/95/99':>18} {'gap ms':>12}  refusals (first seed)"
)


def show_loads(profile: workload.Profile, seeds: Seeds) -> None:
    """Prints a comparison of all policies at all loads."""
    runs = [Run(profile, setup, x) for x in LOADS for setup in POLICIES]
    results = iter(seeds.simulate(runs))
    for load in LOADS:
        print(f"\nload {load:g}\n{HEADER}")
        for setup in POLICIES:
            print(format_line(setup.name, next(results)), flush=True)


FAULTS = {
    "no fault": (),
    "decode engine dies": ("engine_dies", "decode", FAULT_AT_S),
    "prefill engine dies": ("engine_dies", "prefill", FAULT_AT_S),
    "decode engine 4x slower": ("engine_slows", "decode", 4.0, FAULT_AT_S),
    "prefill engine 4x slower": ("engine_slows", "prefill", 4.0, FAULT_AT_S),
    "links at a tenth": ("links_slow", 0.1, FAULT_AT_S),
}


def show_faults(profile: workload.Profile, seeds: Seeds) -> None:
    """Prints goodput during faults at load 1 and after them."""
    setups = (NAIVE, ADAPTIVE)
    runs = [
        Run(profile, setup, 1.0, fault)
        for setup in setups
        for fault in FAULTS.values()
    ]
    results = iter(seeds.simulate(runs))
    fault_ends = FAULT_AT_S + scenarios.FAULT_S
    print(f"\nfaults of {scenarios.FAULT_S:.0f} s at load 1: good/s")
    print(f"{'':<34} {'during':>7} {'after*':>7} {'wasted':>8} {'retries':>8}")
    for setup in setups:
        for name in FAULTS:
            figures = next(results)
            during = mean_rate(figures, FAULT_AT_S, fault_ends)
            after = mean_rate(
                figures, fault_ends + RECOVERY_S, fault_ends + 70
            )
            wasted = sum(x.wasted for x in figures) / len(figures)
            retries = total(figures, "failed") + total(figures, "evicted")
            retries /= total(figures, "tries")
            print(
                f"{setup.name + ': ' + name:<34} {during:7.2f} {after:7.2f} "
                f"{wasted:8.2%} {retries:8.2%}",
                flush=True,
            )
    print(f"* from {RECOVERY_S:.0f} s after the end, for 60 s")


def show_sharing(profile: workload.Profile, seeds: Seeds) -> None:
    """Prints the effect of floods, deferrable calls and retrying callers."""
    end = WARM_UP_S + RUN_S
    flood = (1.5, 100.0, end, {"organisation": "flood"})
    draft = {"klass": "deferrable"}
    runs = [
        Run(profile, ADAPTIVE, 0.7),
        Run(profile, ADAPTIVE, 0.7, extra=flood),
        Run(profile, NAIVE, 0.7),
        Run(profile, NAIVE, 0.7, extra=flood),
        Run(profile, ADAPTIVE, 0.7, extra=(0.1, 0.0, end, draft)),
        Run(profile, ADAPTIVE, 0.7, extra=(0.6, 0.0, end, draft)),
        Run(profile, ADAPTIVE, 0.6, extra=(1.5, 100.0, 120.0, {})),
        Run(profile, ADAPTIVE, 0.8, extra=(1.5, 100.0, 120.0, {})),
        Run(profile, ADAPTIVE, 2.0),
    ]
    results = seeds.simulate(runs)
    print("\nflood of 1.5 by one organisation beside 0.7: good of the others")
    for name, index in (("adaptive", 0), ("naive", 2)):
        alone, beside = (_good_of_others(results[index + x]) for x in (0, 1))
        print(f"{name:<24} {alone} without, {beside} with the flood")
    print("\ndeferrable beside 0.7: interactive good, deferrable")
    for name, index in (("load 0.1", 4), ("load 0.6", 5)):
        figures = results[index]
        print(
            f"{name:<24} {total(results[0], 'good')} without, "
            f"{total(figures, 'good')} with; "
            f"{total(figures, 'deferrable')} asked, "
            f"{total(figures, 'deferrable done')} done, "
            f"{total(figures, 'deferrable given up')} refused for good, "
            f"{total(figures, 'deferrable cancelled')} cancelled"
        )
    print("\ncallers who come back when told: served at the first return")
    names = ("burst of 20 s, load 0.6", "burst of 20 s, load 0.8", "load 2")
    for name, index in zip(names, (6, 7, 8), strict=True):
        retried = total(results[index], "returned")
        refused = total(results[index], "returned refused")
        print(
            f"{name:<24} {retried} came back, "
            f"{1 - refused / retried:.1%} served"
        )


def _good_of_others(results: list[tallies.Figures]) -> int:
    return sum(
        count
        for figures in results
        for name, count in figures.good_by_organisation.items()
        if name != "flood"
    )


def show_days(profile: workload.Profile, seeds: Seeds) -> None:
    """Prints balanced roles against fixed splits of 8 replicas, over a day."""
    splits = [profile._replace(prefills=x, decodes=8 - x) for x in range(1, 6)]
    days = []
    for position in scenarios.PEAK_POSITIONS:
        days += [(split, position, False) for split in splits]
        days += [(splits[-1], position, True)]
    results = iter(seeds.simulate_days(days))
    print("\na day with a peak, 8 replicas: good answers by split")
    for position in scenarios.PEAK_POSITIONS:
        fixed = [total(next(results), "good") for _ in splits]
        figures = next(results)
        balanced = total(figures, "good")
        print(
            f"peak at {position:.0%}: fixed 1:7 to 5:3 {fixed}, balanced "
            f"from 5:3 {balanced} ({balanced / max(fixed):.1%} of the best), "
            f"{total(figures, 'role changes')} changes",
            flush=True,
        )


PARTS = {
    "loads": show_loads,
    "faults": show_faults,
    "sharing": show_sharing,
    "days": show_days,
}


def main() -> None:
    """Prints the tables chosen on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", action="append", choices=list(workload.PROFILES)
    )
    parser.add_argument("--part", action="append", choices=list(PARTS))
    parser.add_argument("--seeds", type=int, default=SEEDS)
    options = parser.parse_args()
    names = options.profile or ["fjellpulver", "loch-ashie", "letter"]
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        seeds = Seeds(pool, options.seeds)
        for name in names:
            profile = workload.PROFILES[name]
            rate = workload.capacity(profile)
            print(f"\n{name}: capacity {rate:.2f} calls/s")
            for part in options.part or PARTS:
                PARTS[part](profile, seeds)


if __name__ == "__main__":
    main()
