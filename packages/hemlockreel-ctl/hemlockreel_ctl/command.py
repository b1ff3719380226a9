"""The interface of the subcommands, and their common handling of reads."""

import argparse
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import TextIO

from . import errors
from . import results
from . import store
from . import write_outcomes


class Context(NamedTuple):
    """The environment of a command; ``json`` selects JSON output."""

    client: store.Client
    out: TextIO
    json: bool


class Command(NamedTuple):
    """A subcommand: its arguments and the function that runs it.

    ``run`` raises :class:`errors.UserError` when the command fails.
    """

    name: str
    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Callable[[Context, argparse.Namespace], None]


def check_read(result: Any, label: str) -> Any:
    """Returns the result of a successful read.

    Raises :class:`errors.UserError` for any other result; ``label`` names in
    the message what was read.
    """
    match result:
        case results.NotFound():
            raise errors.UserError(f"{label} does not exist")
        case results.Rejected():
            raise errors.UserError(
                f"the store refused to read {label} with status "
                f"{result.status}: {result.reason}"
            )
        case results.Unavailable():
            reason = write_outcomes.describe_unavailable(result)
        case results.NoResponse():
            reason = result.reason
        case _:
            return result
    raise errors.UserError(
        f"{label} can't be read, the store is not available: {reason}",
        errors.ExitCode.UNAVAILABLE,
    )
