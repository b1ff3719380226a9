"""``hemlockreel apply``: writes declared objects."""

import argparse
from collections.abc import Iterator
import difflib
import json
from typing import Any
from typing import NamedTuple

from hemlockreel import acceptance

from . import command
from . import errors
from . import manifest
from . import output
from . import references
from . import results
from . import settle
from . import waiting


class Change(NamedTuple):
    """An object of the file beside what the store holds of it."""

    entry: manifest.Entry
    before: results.Stored | None

    @property
    def label(self) -> str:
        """``KIND/NAME``, as in all messages."""
        return f"{self.entry.kind}/{self.entry.name}"

    @property
    def version(self) -> int:
        """The version in the store, 0 when there is no object."""
        return 0 if self.before is None else self.before.version

    @property
    def needed(self) -> bool:
        """Whether the store holds another value."""
        return self.before is None or self.before.value != self.entry.value


class Line(NamedTuple):
    """What became of one object of the file."""

    label: str
    outcome: str
    version: int
    note: str = ""


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "-f",
        "--file",
        required=True,
        help="JSON file with one object or a list, '-' for standard input",
    )
    parser.add_argument(
        "--if-version",
        type=int,
        metavar="VERSION",
        help="write only over this version, 0 for an object that must not "
        "exist; the file must hold one object",
    )
    parser.add_argument(
        "--dry-run",
        action="store_true",
        help="check, show what would be written, and write nothing",
    )
    parser.add_argument(
        "--wait",
        type=float,
        metavar="SECONDS",
        help="wait until all daemons have the objects in force",
    )
    parser.add_argument(
        "--diff", action="store_true", help="show the changes line by line"
    )


def _run(context: command.Context, options: argparse.Namespace) -> None:
    entries = manifest.read(options.file)
    if options.if_version is not None and len(entries) != 1:
        raise errors.UserError(
            f"--if-version needs a file with one object, {options.file} "
            f"holds {len(entries)}"
        )
    found = command.check_read(
        context.client.list(references.READ_KINDS), "the declared objects"
    )
    faults = references.check_writes(found, entries)
    if faults:
        raise errors.UserError("nothing was written: " + "; ".join(faults))
    changes = _compare(entries, found)
    if options.diff and not context.json:
        for change in changes:
            context.out.writelines(_diff(change))
    lines: list[Line] = []
    try:
        for change in changes:
            lines.append(_apply(context, options, change))
    except errors.UserError as error:
        left = [change.label for change in changes[len(lines) + 1 :]]
        raise errors.UserError(_tell(error, lines, left), error.code) from None
    _show(context, lines)
    if options.wait is not None and not options.dry_run:
        _await_force(context, changes, lines, options.wait)


def _await_force(
    context: command.Context,
    changes: list[Change],
    lines: list[Line],
    seconds: float,
) -> None:
    versions = {
        acceptance.object_key(
            change.entry.kind, change.entry.name
        ): line.version
        for change, line in zip(changes, lines, strict=True)
    }
    force = waiting.wait(context.client, versions, seconds)
    if not context.json:
        print(
            f"in force on {force.members} daemons of {force.regions} "
            f"regions, generation {force.generation}",
            file=context.out,
        )


def _compare(
    entries: list[manifest.Entry], found: results.Listing
) -> list[Change]:
    stored = {(item.kind, item.name): item for item in found.items}
    return [
        Change(entry, stored.get((entry.kind, entry.name)))
        for entry in entries
    ]


def _apply(
    context: command.Context, options: argparse.Namespace, change: Change
) -> Line:
    """Writes one object, unless the store holds it already."""
    expected = change.version
    if options.if_version is not None:
        expected = options.if_version
    write = settle.Write(
        change.entry.kind, change.entry.name, change.entry.value, expected
    )
    if expected != change.version:
        # The store's answer would be the same, but for a stale read.
        if options.dry_run:
            settle.settle(
                results.Conflict(change.before), write, context.client
            )
    elif not change.needed:
        return Line(change.label, "unchanged", change.version)
    outcome = "created" if expected == 0 else "changed"
    if options.dry_run:
        return Line(change.label, f"would be {outcome}", change.version)
    result = context.client.put(*write)
    settled = settle.settle(result, write, context.client)
    return Line(change.label, outcome, settled.version, settled.note)


def _tell(error: errors.UserError, lines: list[Line], left: list[str]) -> str:
    """Returns the message of ``error`` with what was written before it."""
    message = str(error)
    written = [line.label for line in lines if line.outcome != "unchanged"]
    if written:
        message += f". Written before it: {', '.join(written)}"
    if left:
        message += f". Not tried: {', '.join(left)}"
    return message


def _diff(change: Change) -> Iterator[str]:
    before = [] if change.before is None else _pretty(change.before.value)
    yield from difflib.unified_diff(
        before,
        _pretty(change.entry.value),
        f"{change.label} version {change.version}",
        f"{change.label} in the file",
    )


def _pretty(value: Any) -> list[str]:
    text = json.dumps(value, indent=2, sort_keys=True) + "\n"
    return text.splitlines(keepends=True)


def _show(context: command.Context, lines: list[Line]) -> None:
    if context.json:
        shown = [line._asdict() for line in lines]
        output.write_json(context.out, shown)
        return
    for line in lines:
        note = f" ({line.note})" if line.note else ""
        version = f" at version {line.version}" if line.version else ""
        print(f"{line.label} {line.outcome}{version}{note}", file=context.out)


COMMAND = command.Command(
    "apply", "write declared objects from a file", _add_arguments, _run
)
