"""``hemlockreel get``: reads objects."""

import argparse

from hemlockreel import declared_objects

from . import command
from . import output

# Operators can read, but not write, the kinds that the system itself writes.
READABLE_KINDS = (
    *declared_objects.DECLARED_KINDS,
    "accepted",
    "leases",
    "status",
)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=READABLE_KINDS, metavar="KIND")
    parser.add_argument("name", nargs="?", metavar="NAME")


def _run(context: command.Context, options: argparse.Namespace) -> None:
    if options.name is not None:
        _show_one(context, options.kind, options.name)
        return
    result = context.client.list([options.kind])
    found = command.check_read(result, options.kind)
    items = sorted(found.items)
    if context.json:
        shown = [output.to_json_object(item) for item in items]
        output.write_json(context.out, shown)
        return
    rows = [
        (item.name, item.version, output.summarize(item.value))
        for item in items
    ]
    output.write_table(context.out, ("NAME", "VERSION", "VALUE"), rows)


def _show_one(context: command.Context, kind: str, name: str) -> None:
    result = context.client.get(kind, name)
    item = command.check_read(result, f"{kind}/{name}")
    if context.json:
        output.write_json(context.out, output.to_json_object(item))
        return
    rows = [
        (key, output.summarize(value))
        for key, value in sorted(item.value.items())
    ]
    rows.insert(0, ("version", str(item.version)))
    output.write_table(context.out, ("FIELD", "VALUE"), rows)


COMMAND = command.Command(
    "get", "read objects of a kind, or one object", _add_arguments, _run
)
