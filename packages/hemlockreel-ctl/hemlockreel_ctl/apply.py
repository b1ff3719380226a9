"""``hemlockreel apply``: writes the declared objects of a file."""

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
from . import waiting
from . import write_outcomes


class Change(NamedTuple):
    """An object of the file and the stored object that it replaces."""

    declared: manifest.ManifestObject
    stored: results.StoredObject | None

    @property
    def label(self) -> str:
        """``KIND/NAME``, as messages name the object."""
        return f"{self.declared.kind}/{self.declared.name}"

    @property
    def version(self) -> int:
        """The stored version, 0 if there is no stored object."""
        return 0 if self.stored is None else self.stored.version

    @property
    def is_needed(self) -> bool:
        """Whether the stored value differs or does not exist."""
        return self.stored is None or self.stored.value != self.declared.value


class AppliedObject(NamedTuple):
    """The outcome of one object of the file, as it is printed."""

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
    objects = manifest.read(options.file)
    if options.if_version is not None and len(objects) != 1:
        raise errors.UserError(
            f"--if-version needs a file with one object, {options.file} "
            f"holds {len(objects)}"
        )
    listing = command.check_read(
        context.client.list(references.READ_KINDS), "the declared objects"
    )
    faults = references.find_write_faults(listing, objects)
    if faults:
        raise errors.UserError("nothing was written: " + "; ".join(faults))
    changes = _find_changes(objects, listing)
    if options.diff and not context.json:
        for change in changes:
            context.out.writelines(_diff(change))
    applied: list[AppliedObject] = []
    try:
        for change in changes:
            applied.append(_apply(context, options, change))
    except errors.UserError as error:
        not_tried = [change.label for change in changes[len(applied) + 1 :]]
        raise errors.UserError(
            _add_progress(error, applied, not_tried), error.code
        ) from None
    _print_applied(context, applied)
    if options.wait is not None and not options.dry_run:
        _wait_until_in_force(context, changes, applied, options.wait)


def _wait_until_in_force(
    context: command.Context,
    changes: list[Change],
    applied: list[AppliedObject],
    timeout_s: float,
) -> None:
    versions = {
        acceptance.object_key(
            change.declared.kind, change.declared.name
        ): each.version
        for change, each in zip(changes, applied, strict=True)
    }
    in_force = waiting.wait_until_in_force(context.client, versions, timeout_s)
    if not context.json:
        print(
            f"in force on {in_force.members} daemons of {in_force.regions} "
            f"regions, generation {in_force.generation}",
            file=context.out,
        )


def _find_changes(
    objects: list[manifest.ManifestObject], listing: results.Listing
) -> list[Change]:
    stored = {(item.kind, item.name): item for item in listing.items}
    return [
        Change(declared, stored.get((declared.kind, declared.name)))
        for declared in objects
    ]


def _apply(
    context: command.Context, options: argparse.Namespace, change: Change
) -> AppliedObject:
    """Writes one object, unless the store already holds the same value."""
    expected = change.version
    if options.if_version is not None:
        expected = options.if_version
    write = write_outcomes.ConditionalWrite(
        change.declared.kind,
        change.declared.name,
        change.declared.value,
        expected,
    )
    if expected != change.version:
        # The listing may be stale, so the store decides whether this is a
        # conflict. A dry run sends no write and reports it from the listing.
        if options.dry_run:
            write_outcomes.resolve(
                results.Conflict(change.stored), write, context.client
            )
    elif not change.is_needed:
        return AppliedObject(change.label, "unchanged", change.version)
    outcome = "created" if expected == 0 else "changed"
    if options.dry_run:
        return AppliedObject(
            change.label, f"would be {outcome}", change.version
        )
    result = context.client.put(*write)
    effective = write_outcomes.resolve(result, write, context.client)
    return AppliedObject(
        change.label, outcome, effective.version, effective.note
    )


def _add_progress(
    error: errors.UserError, applied: list[AppliedObject], not_tried: list[str]
) -> str:
    """Returns the message of ``error`` and which objects were written."""
    message = str(error)
    written = [each.label for each in applied if each.outcome != "unchanged"]
    if written:
        message += f". Written before it: {', '.join(written)}"
    if not_tried:
        message += f". Not tried: {', '.join(not_tried)}"
    return message


def _diff(change: Change) -> Iterator[str]:
    stored = (
        [] if change.stored is None else _to_json_lines(change.stored.value)
    )
    yield from difflib.unified_diff(
        stored,
        _to_json_lines(change.declared.value),
        f"{change.label} version {change.version}",
        f"{change.label} in the file",
    )


def _to_json_lines(value: Any) -> list[str]:
    text = json.dumps(value, indent=2, sort_keys=True) + "\n"
    return text.splitlines(keepends=True)


def _print_applied(
    context: command.Context, applied: list[AppliedObject]
) -> None:
    if context.json:
        shown = [each._asdict() for each in applied]
        output.write_json(context.out, shown)
        return
    for each in applied:
        note = f" ({each.note})" if each.note else ""
        version = f" at version {each.version}" if each.version else ""
        print(f"{each.label} {each.outcome}{version}{note}", file=context.out)


COMMAND = command.Command(
    "apply", "write declared objects from a file", _add_arguments, _run
)
