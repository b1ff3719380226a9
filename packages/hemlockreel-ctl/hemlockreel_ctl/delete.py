"""``hemlockreel delete``: deletes one declared object."""

import argparse

from hemlockreel import declared_objects

from . import command
from . import errors
from . import output
from . import references
from . import write_outcomes


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "kind", choices=declared_objects.DECLARED_KINDS, metavar="KIND"
    )
    parser.add_argument("name", metavar="NAME")
    parser.add_argument(
        "--if-version",
        type=int,
        metavar="VERSION",
        help="delete only this version",
    )


def _run(context: command.Context, options: argparse.Namespace) -> None:
    key = (options.kind, options.name)
    label = "/".join(key)
    listing = command.check_read(
        context.client.list(references.READ_KINDS), "the declared objects"
    )
    faults = references.find_deletion_faults(listing, *key)
    if faults:
        raise errors.UserError("nothing was deleted: " + "; ".join(faults))
    expected = options.if_version
    if expected is None:
        versions = {
            (item.kind, item.name): item.version for item in listing.items
        }
        if key not in versions:
            raise errors.UserError(f"{label} does not exist")
        expected = versions[key]
    write = write_outcomes.ConditionalWrite(
        options.kind, options.name, None, expected
    )
    result = context.client.delete(options.kind, options.name, expected)
    effective = write_outcomes.resolve(result, write, context.client)
    if context.json:
        shown = {"label": label, "outcome": "deleted", "note": effective.note}
        output.write_json(context.out, shown)
        return
    note = f" ({effective.note})" if effective.note else ""
    print(f"{label} deleted{note}", file=context.out)


COMMAND = command.Command(
    "delete", "delete one declared object", _add_arguments, _run
)
