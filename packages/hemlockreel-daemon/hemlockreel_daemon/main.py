"""The command line of `hemlockreeld`: starts, drains and ends the process."""

import argparse
from importlib import metadata
import signal
import sys
from typing import NoReturn

from hemlockreel import events

from . import applications
from . import caller_memory
from . import callers
from . import daemon as daemons
from . import http_calls
from . import logs
from . import operators
from . import process_exit
from . import process_memory
from . import servers
from . import settings

OPERATOR_THREADS = 4
# Beyond ``max_in_flight``, so that requests over this limit are refused at
# once instead of waiting for a thread.
REFUSAL_THREADS = 16
REPORT_PERIOD_S = 0.1


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(
        prog="hemlockreeld", description="The hemlockreel daemon."
    )
    parser.add_argument("--config", metavar="FILE", help="the settings")
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"hemlockreeld {metadata.version('hemlockreel-daemon')}",
    )
    options = parser.parse_args(arguments)
    if not options.config:
        parser.error("--config FILE is needed")
    return options


def main(arguments: list[str] | None = None) -> int:
    """Runs the daemon until it has drained; returns the exit code."""
    options = parse_arguments(arguments)
    try:
        loaded = settings.load(options.config)
    except settings.SettingsError as error:
        print(f"hemlockreeld: {error}", file=sys.stderr)
        return 1
    if options.check:
        print(f"{options.config}: settings are valid")
        return 0
    logs.configure(loaded.log_level)
    http_calls.set_limits(loaded.responses.limits)
    process_memory.limit()
    return _serve(loaded)


def _serve(loaded: settings.Settings) -> int:
    try:
        daemon = daemons.Daemon(loaded)
    except Exception as error:
        print(f"hemlockreeld: can't listen: {error}", file=sys.stderr)
        return 1
    root = callers.Callers(daemon)

    def report_limit(limit: str) -> None:
        daemon.metrics.count("caller_limits", 1, (limit,))
        logs.write("caller_limit", {"limit": limit})

    account = caller_memory.Account(loaded.callers.limits, report_limit)
    listeners = [
        servers.Server(
            loaded.listen.callers,
            applications.make(root),
            loaded.max_in_flight + REFUSAL_THREADS,
            account,
        ),
        servers.Server(
            loaded.listen.operators,
            applications.make(operators.Operators(daemon)),
            OPERATOR_THREADS,
            account,
        ),
    ]
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number, lambda *_: daemon.loop.post(events.DrainRequested())
        )
    try:
        for server in listeners:
            server.start()
    except OSError as error:
        print(f"hemlockreeld: can't listen: {error}", file=sys.stderr)
        return 1
    daemon.start()
    logs.write("started", {"host": daemon.board.identity.host})
    _report_active_callers(daemon, root, account)
    for server in listeners:
        server.stop()
    daemon.stop()
    if daemon.failed:
        return 1
    logs.write("stopped", {"host": daemon.board.identity.host})
    return 0


def _report_active_callers(
    daemon: daemons.Daemon,
    root: callers.Callers,
    account: caller_memory.Account,
) -> None:
    """Reports the number of active requests while draining, until the exit.

    Requests are counted after ``closed`` was read. As later ones are refused,
    none is in progress after a count of zero.
    """
    while not daemon.exiting.wait(REPORT_PERIOD_S):
        account.sweep()
        if daemon.loop.closed:
            daemon.loop.post(events.CallersCounted(root.active))


def run() -> NoReturn:
    """Runs :func:`main` and ends the process; the script's entry point."""
    process_exit.run_and_exit(main)
