"""``hemlockreel watch``: prints changes as they happen.

A watch can hang without an error, so each one has a timeout. After a watch
without changes the objects are listed again, and differences that the watch
did not report are printed as well.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import time

from . import command
from . import get
from . import output
from . import results

WATCH_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 1.0

KnownObjects = dict[tuple[str, str], results.StoredObject]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=get.READABLE_KINDS, metavar="KIND")
    parser.add_argument(
        "--for",
        dest="duration_s",
        type=float,
        metavar="SECONDS",
        help="end after this time instead of watching for ever",
    )


def _run(context: command.Context, options: argparse.Namespace) -> None:
    listing = command.check_read(
        context.client.list([options.kind]), options.kind
    )
    for item in sorted(listing.items):
        _print_change(context, results.ChangeEvent("put", item))
    known = {(item.kind, item.name): item for item in listing.items}
    revision = listing.revision
    deadline = float("inf")
    if options.duration_s is not None:
        deadline = time.monotonic() + options.duration_s
    while (remaining_s := deadline - time.monotonic()) > 0:
        timeout_s = min(WATCH_TIMEOUT_S, remaining_s)
        result = context.client.watch([options.kind], revision, timeout_s)
        if isinstance(result, results.Changes) and result.events:
            revision = max(revision, result.revision)
            _print_new_changes(context, known, result.events)
            continue
        if isinstance(result, results.Rejected):
            command.check_read(result, options.kind)
        if not isinstance(result, results.Changes | results.HistoryExpired):
            time.sleep(min(RETRY_PAUSE_S, remaining_s))
        revision = _relist(context, options.kind, known, revision)


def _relist(
    context: command.Context, kind: str, known: KnownObjects, revision: int
) -> int:
    """Lists the objects, prints the changes since ``known``.

    Returns the revision of the list. A list that is older than ``revision``
    comes from a stale read and is ignored.
    """
    listing = context.client.list([kind])
    if not isinstance(listing, results.Listing) or listing.revision < revision:
        return revision
    _print_new_changes(context, known, find_missed_changes(known, listing))
    return listing.revision


def find_missed_changes(
    known: KnownObjects, listing: results.Listing
) -> Iterator[results.ChangeEvent]:
    """Yields the changes that lead from ``known`` to ``found``."""
    listed = {(item.kind, item.name): item for item in listing.items}
    for key in known.keys() - listed.keys():
        yield results.ChangeEvent("delete", known[key])
    for item in sorted(listing.items, key=lambda item: item.version):
        yield results.ChangeEvent("put", item)


def _print_new_changes(
    context: command.Context,
    known: KnownObjects,
    events: Iterable[results.ChangeEvent],
) -> None:
    """Prints the events that are newer than ``known`` and updates it."""
    for event in list(events):
        item = event.object
        key = (item.kind, item.name)
        previous = known.get(key)
        if event.type == "delete":
            if known.pop(key, None) is None:
                continue
        elif previous is not None and previous.version >= item.version:
            continue
        else:
            known[key] = item
        _print_change(context, event)


def _print_change(
    context: command.Context, event: results.ChangeEvent
) -> None:
    item = event.object
    if context.json:
        shown = {"type": event.type, "object": output.to_json_object(item)}
        output.write_line(context.out, shown)
        return
    value = output.summarize(item.value)
    line = f"{event.type:6}  {item.kind}/{item.name}  {item.version}  {value}"
    print(line, file=context.out, flush=True)


COMMAND = command.Command(
    "watch", "print changes of a kind as they happen", _add_arguments, _run
)
