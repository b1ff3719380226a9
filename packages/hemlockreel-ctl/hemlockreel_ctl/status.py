"""``hemlockreel status``: shows the status objects that the daemons write."""

import argparse

from . import command
from . import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "name", nargs="?", metavar="NAME", help="one status object only"
    )


def _run(context: command.Context, options: argparse.Namespace) -> None:
    if options.name is not None:
        result = context.client.get("status", options.name)
        items = [command.check_read(result, f"status/{options.name}")]
    else:
        found = command.check_read(context.client.list(["status"]), "status")
        items = sorted(found.items)
    if context.json:
        shown = [output.to_json_object(item) for item in items]
        output.write_json(context.out, shown)
        return
    if not items:
        print("no status has been written yet", file=context.out)
    for item in items:
        print(f"{item.name} (version {item.version})", file=context.out)
        rows = [
            (f"  {key}", output.summarize(value))
            for key, value in sorted(item.value.items())
        ]
        output.write_table(context.out, ("  FIELD", "VALUE"), rows)


COMMAND = command.Command(
    "status", "show what the system reports", _add_arguments, _run
)
