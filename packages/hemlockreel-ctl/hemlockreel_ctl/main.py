"""The command line ``hemlockreel`` for operators."""

import argparse
from collections.abc import Sequence
import os
import sys

from . import apply
from . import command
from . import delete
from . import errors
from . import get
from . import status
from . import store
from . import watch

VERSION = "0.1.0"
STORE_VARIABLE = "HEMLOCKREEL_STORE"
COMMANDS = (
    apply.COMMAND,
    get.COMMAND,
    watch.COMMAND,
    delete.COMMAND,
    status.COMMAND,
)


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="hemlockreel",
        description="Declares model pools, routes, rollouts and quotas.",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument(
        "--store",
        default=os.environ.get(STORE_VARIABLE),
        metavar="ADDRESS",
        help=f"IP:PORT or URL of the object API, default ${STORE_VARIABLE}",
    )
    shared.add_argument(
        "--output",
        choices=("table", "json"),
        default="table",
        help="the form of what is printed",
    )
    shared.add_argument(
        "--timeout",
        type=float,
        default=store.READ_TIMEOUT_S,
        metavar="SECONDS",
        help="how long the store may take to answer",
    )
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for each in COMMANDS:
        subparser = subparsers.add_parser(
            each.name, help=each.help, parents=[shared]
        )
        each.add_arguments(subparser)
        subparser.set_defaults(run=each.run)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        _run(options)
    except errors.UserError as error:
        print(f"hemlockreel: {error}", file=sys.stderr)
        return int(error.code)
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        # The reader of the pipe has exited. Closing stderr suppresses the
        # message of the interpreter about the broken pipe.
        sys.stderr.close()
        return int(errors.ExitCode.USER_ERROR)
    return int(errors.ExitCode.OK)


def _run(options: argparse.Namespace) -> None:
    if not options.store:
        raise errors.UserError(
            f"which store? Give --store ADDRESS or set {STORE_VARIABLE}"
        )
    context = command.Context(
        store.Client(options.store, options.timeout),
        sys.stdout,
        options.output == "json",
    )
    options.run(context, options)


if __name__ == "__main__":
    sys.exit(main())
