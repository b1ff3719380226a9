"""``hemlockreel watch``: prints changes as they happen.

A watch can go silent for good without an error, so each one has a deadline,
and after each one that brought nothing the objects are listed again on a
fresh connection. What the list shows beyond the watch is printed as well.
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

Objects = dict[tuple[str, str], results.Stored]


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
    found = command.check_read(
        context.client.list([options.kind]), options.kind
    )
    for item in sorted(found.items):
        _show(context, results.Event("put", item))
    known = {(item.kind, item.name): item for item in found.items}
    revision = found.revision
    end = float("inf")
    if options.duration_s is not None:
        end = time.monotonic() + options.duration_s
    while (left_s := end - time.monotonic()) > 0:
        timeout_s = min(WATCH_TIMEOUT_S, left_s)
        result = context.client.watch([options.kind], revision, timeout_s)
        if isinstance(result, results.Changes) and result.events:
            revision = max(revision, result.revision)
            _follow(context, known, result.events)
            continue
        if isinstance(result, results.Rejected):
            command.check_read(result, options.kind)
        if not isinstance(result, results.Changes | results.Expired):
            time.sleep(min(RETRY_PAUSE_S, left_s))
        revision = _relist(context, options.kind, known, revision)


def _relist(
    context: command.Context, kind: str, known: Objects, revision: int
) -> int:
    """Prints what a list shows beyond ``known``; returns its revision.

    A list that is older than what was seen already is left aside.
    """
    found = context.client.list([kind])
    if not isinstance(found, results.Listing) or found.revision < revision:
        return revision
    _follow(context, known, missed(known, found))
    return found.revision


def missed(known: Objects, found: results.Listing) -> Iterator[results.Event]:
    """Yields the changes that lead from ``known`` to ``found``."""
    listed = {(item.kind, item.name): item for item in found.items}
    for key in known.keys() - listed.keys():
        yield results.Event("delete", known[key])
    for item in sorted(found.items, key=lambda item: item.version):
        yield results.Event("put", item)


def _follow(
    context: command.Context,
    known: Objects,
    events: Iterable[results.Event],
) -> None:
    """Prints the events that are news and takes them over."""
    for event in list(events):
        item = event.object
        key = (item.kind, item.name)
        before = known.get(key)
        if event.type == "delete":
            if known.pop(key, None) is None:
                continue
        elif before is not None and before.version >= item.version:
            continue
        else:
            known[key] = item
        _show(context, event)


def _show(context: command.Context, event: results.Event) -> None:
    item = event.object
    if context.json:
        shown = {"type": event.type, "object": output.as_json(item)}
        output.write_line(context.out, shown)
        return
    value = output.summary(item.value)
    line = f"{event.type:6}  {item.kind}/{item.name}  {item.version}  {value}"
    print(line, file=context.out, flush=True)


COMMAND = command.Command(
    "watch", "print changes of a kind as they happen", _add_arguments, _run
)
