"""Runs the soak test for one or more seeds and prints broken promises.

The exit code is 1 if a run broke a promise. With ``--keep``, the daemons'
logs and the records of such a run are kept.
"""

import argparse
import pathlib
import shutil
import sys
import tempfile
import time

from . import play

SECONDS = 15.0
HOSTS = 4
CALLERS = 12


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parses and checks the options of the command line."""
    parser = argparse.ArgumentParser(
        prog="make soak ARGS=...", description=__doc__
    )
    parser.add_argument(
        "--seed",
        type=int,
        default=time.time_ns() % 2**32,
        help="the first seed",
    )
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=SECONDS,
        help="time in which faults begin",
    )
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument(
        "--keep", metavar="DIR", help="where to keep the logs of failed runs"
    )
    options = parser.parse_args(arguments)
    for name in ("seeds", "seconds", "hosts", "callers"):
        if getattr(options, name) < 1:
            parser.error(f"--{name} must be 1 or more")
    return options


def main() -> int:
    """Runs all seeds and returns the exit code."""
    options = parse_arguments()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        found = play.play(
            seed, options.seconds, options.hosts, options.callers, folder
        )
        print(
            f"seed {seed}: {found.steps} faults in {found.faults_s:.0f} s, "
            f"answers {found.statuses}, {len(found.violations)} broken",
            flush=True,
        )
        for violation in found.violations[:20]:
            print(
                f"  {violation.promise}: {violation.detail[:300]}", flush=True
            )
        if found.violations:
            failed += 1
            _keep_records(options.keep, folder, found)
        shutil.rmtree(folder)
    print(f"soak: {options.seeds} seeds, {failed} broken")
    return 1 if failed else 0


def _keep_records(
    where: str | None, folder: pathlib.Path, found: play.Result
) -> None:
    """Copies the logs to ``where`` and writes the records beside them."""
    if where is None:
        return
    kept = pathlib.Path(where) / f"seed-{found.seed}"
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    lines = [*found.log.spans, *found.log.sent, *found.log.runs]
    lines += [*found.log.lapses, *found.log.part_arrivals]
    lines += [*found.log.part_crashes, *found.log.limits]
    lines += found.log.cut_offs
    (kept / "records.txt").write_text("\n".join(map(repr, lines)) + "\n")
    print(f"  kept in {kept}")


if __name__ == "__main__":
    sys.exit(main())
