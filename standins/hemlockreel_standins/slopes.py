"""Measures how the cost of a daemon grows with load, for docs/CAPACITY.md.

Each part runs real daemons with stand-ins of the platform at three sizes, fits
a straight line to each quantity and prints it as a table of that page.
``--only NAME`` runs one part.
"""

import argparse
from collections.abc import Callable
import signal
import statistics
import sys
from typing import NamedTuple

from . import footprint
from . import slope_idle
from . import slope_loads
from . import slope_rig


class Series(NamedTuple):
    """One measured quantity; ``points`` are pairs of size and value."""

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> tuple[float, float]:
        """Returns slope and intercept of the least-squares line."""
        sizes, values = zip(*self.points, strict=True)
        found = statistics.linear_regression(sizes, values)
        return found.slope, found.intercept


class Part(NamedTuple):
    """A part of the measurement: the size that grows, and how to measure."""

    name: str
    grows: str
    sizes: tuple[int, ...]
    measure: Callable[[int], slope_rig.Values]


PARTS = (
    Part(
        "threads",
        "threads for callers",
        (40, 200, 600),
        slope_idle.measure_threads,
    ),
    Part("daemons", "daemons", (3, 12, 48), slope_idle.measure_daemons),
    Part("replicas", "replicas", (5, 50, 500), slope_idle.measure_replicas),
    Part(
        "listed",
        "listed replicas elsewhere",
        (5, 50, 500),
        slope_idle.measure_listed,
    ),
    Part(
        "objects",
        "declared objects",
        (10, 100, 1000),
        slope_idle.measure_objects,
    ),
    Part("streams", "open streams", (1, 10, 100), slope_loads.measure_streams),
    Part(
        "requests",
        "requests a second",
        (3, 15, 45),
        slope_loads.measure_requests,
    ),
    Part(
        "calls", "bookings a second", (3, 15, 45), slope_loads.measure_bookings
    ),
)


def _show_footprint() -> None:
    print("\n| step | resident, MB | added, MB |\n|---|---|---|")
    for step in footprint.measure(footprint.STEPS):
        print(f"| {step.name} | {step.total:.1f} | {step.added:.1f} |")
    for step in footprint.measure(footprint.COMMAND_LINE_STEPS):
        print(f"| command line: {step.name} | {step.total:.1f} | |")


def _measure(part: Part) -> list[Series]:
    columns: dict[str, list[tuple[float, float]]] = {}
    units: dict[str, str] = {}
    for size in part.sizes:
        print(f"measuring {part.name}: {size}", file=sys.stderr, flush=True)
        for name, (unit, value) in part.measure(size).items():
            columns.setdefault(name, []).append((size, value))
            units[name] = unit
    return [
        Series(name, units[name], tuple(points))
        for name, points in columns.items()
    ]


def _show(part: Part, found: list[Series]) -> None:
    sizes = " | ".join(map(str, part.sizes))
    print(f"\n| per daemon, by number of {part.grows} | {sizes} | line |")
    print("|---" * (len(part.sizes) + 2) + "|")
    for series in found:
        values = " | ".join(f"{value:.4g}" for _, value in series.points)
        if len(series.points) > 1:
            slope, intercept = series.fit()
            line = f"{intercept:.4g} + {slope:.3g} x"
        else:
            line = ""
        unit = f", {series.unit}" if series.unit else ""
        print(f"| {series.name}{unit} | {values} | {line} |", flush=True)


def main() -> int:
    """Measures all parts, or those chosen by ``--only``."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = ("footprint", *(part.name for part in PARTS))
    parser.add_argument("--only", action="append", choices=names)
    options = parser.parse_args()
    # SystemExit lets the deployments stop their processes; the default
    # action of the signal would not.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    wanted = options.only or names
    if "footprint" in wanted:
        _show_footprint()
    for part in PARTS:
        if part.name in wanted:
            _show(part, _measure(part))
    return 0


if __name__ == "__main__":
    sys.exit(main())
