"""Measures the policy: goodput, wasted prefill and refusals under load.

Run by ``make measure``. All runs are in virtual time with fixed seeds.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
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
DRAIN_S = 200.0  # for the calls under way, and for those who come back
SEEDS = (1, 2, 3)
LOADS = (0.5, 1.0, 1.5, 2.0)


class Setup(NamedTuple):
    """A policy under test."""

    name: str
    make: Callable[[workload.Profile], Any]


def _ledger(profile: workload.Profile, **changed: Any) -> ledger.Ledger:
    return ledger.Ledger(msgspec.structs.replace(profile.pool, **changed))


POLICIES = (
    Setup("naive", lambda profile: baseline.RoundRobin()),
    Setup("reserve", functools.partial(_ledger, overcommit=0.0)),
    Setup("ahead 0.3", functools.partial(_ledger, overcommit=0.3)),
    Setup("ahead 0.9", functools.partial(_ledger, overcommit=0.9)),
    Setup("adaptive", functools.partial(_ledger, overcommit="adaptive")),
)


def play(
    profile: workload.Profile,
    setup: Setup,
    load: float,
    seed: int,
    prepare: scenarios.Prepare | None = None,
    extra: Iterable[workload.Call] = (),
) -> tallies.Figures:
    """Runs one policy under a steady load and returns what it counted."""
    end = WARM_UP_S + RUN_S
    rng = random.Random(seed)
    source = workload.Source(profile, seed)
    rate = load * workload.capacity(profile)
    times = workload.arrivals(rate, 0.0, end, rng)
    calls = [source.draw(at) for at in times]
    return play_calls(profile, setup, [*calls, *extra], seed, prepare)


def play_calls(
    profile: workload.Profile,
    setup: Setup,
    calls: Iterable[workload.Call],
    seed: int,
    prepare: scenarios.Prepare | None = None,
) -> tallies.Figures:
    """Runs one policy under given calls and returns what it counted."""
    targets = tallies.Targets(
        profile.pool.first_token_ms / 1000,
        profile.pool.between_tokens_ms / 1000,
    )
    end = WARM_UP_S + RUN_S
    tally = tallies.Tally(targets, WARM_UP_S, end)
    made = bench.Bench(profile, setup.make(profile), tally, seed)
    if prepare is not None:
        prepare(made)
    made.run(calls, end + DRAIN_S)
    return tally.figures()


def line(name: str, found: list[tallies.Figures]) -> str:
    """Returns the figures of some runs of one policy as a line."""
    count = len(found)
    goodput = sum(x.goodput for x in found) / count
    wasted = sum(x.wasted for x in found) / count
    tally = found[0]
    refused = ", ".join(
        f"{reason} {number}" for reason, number in tally.refusals.items()
    )
    return (
        f"{name:<24} {goodput:7.2f} {wasted:8.2%} "
        f"{tally.first_ms:>18} "
        f"{tally.between_ms:>12}  {refused}"
    )


HEADER = (
    f"{'policy':<24} {'good/s':>7} {'wasted':>8} "
    f"{'first ms 50/95/99':>18} {'gap ms':>12}  refusals (first seed)"
)


def show_loads(
    profile: workload.Profile, loads: Iterable[float], seeds: Iterable[int]
) -> None:
    """Prints all policies at all loads."""
    rate = workload.capacity(profile)
    print(f"\n{profile.name}: capacity {rate:.2f} calls/s")
    for load in loads:
        print(f"\nload {load:g}\n{HEADER}")
        for setup in POLICIES:
            found = [play(profile, setup, load, seed) for seed in seeds]
            print(line(setup.name, found), flush=True)
            print("    ", dict(found[0].counts))


def main() -> None:
    """Prints the tables that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="append")
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--seed", type=int, action="append")
    options = parser.parse_args()
    names = options.profile or ["fjellpulver", "loch-ashie", "letter"]
    for name in names:
        show_loads(
            workload.PROFILES[name],
            options.load or LOADS,
            options.seed or SEEDS,
        )


if __name__ == "__main__":
    main()
