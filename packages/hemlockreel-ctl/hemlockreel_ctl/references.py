"""Checks declared objects against each other before they are written.

The daemons' own function decides, on what was read just before the write. Two
operators can still get past it together; the daemons check again what they
accept.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from hemlockreel import acceptance
from hemlockreel import declared_objects
from hemlockreel import documents

from . import manifest
from . import results

READ_KINDS = (*declared_objects.DECLARED_KINDS, "accepted")
ACCEPTED = ("accepted", "current")

Declared = dict[str, acceptance.Declared]


def check_writes(
    found: results.Listing, entries: Iterable[manifest.Entry]
) -> list[str]:
    """Returns what is wrong with ``entries`` beside the objects ``found``."""
    declared = _declare(found)
    keys = []
    for entry in entries:
        key = acceptance.object_key(entry.kind, entry.name)
        known = declared.get(key)
        if known is None or known.value != entry.value:
            declared[key] = acceptance.Declared(
                found.revision + 1, entry.value
            )
        keys.append(key)
    faults = _find_rejected(found, declared, keys)
    return faults + list(_find_plain_routes(declared, keys))


def check_deletion(found: results.Listing, kind: str, name: str) -> list[str]:
    """Returns why an object can't be deleted."""
    key = acceptance.object_key(kind, name)
    declared = _declare(found)
    declared.pop(key, None)
    return _find_rejected(found, declared, [key])


def get_accepted(items: Iterable[results.Stored]) -> documents.Document:
    """Returns the accepted document, empty if there is none."""
    for item in items:
        if (item.kind, item.name) == ACCEPTED:
            try:
                return msgspec.convert(item.value, documents.Document)
            except msgspec.ValidationError:
                return documents.EMPTY
    return documents.EMPTY


def _declare(found: results.Listing) -> Declared:
    return {
        acceptance.object_key(item.kind, item.name): acceptance.Declared(
            item.version, item.value
        )
        for item in found.items
        if item.kind in declared_objects.DECLARED_KINDS
    }


def _find_rejected(
    found: results.Listing, declared: Declared, keys: list[str]
) -> list[str]:
    accepted = get_accepted(found.items)
    # The daemons may not have merged yet what is in the store.
    at = max(found.revision, acceptance.merged_revision(accepted))
    before = acceptance.merge(accepted, _declare(found), at)
    merged = acceptance.merge(before, declared, at + 1)
    labelled = {
        acceptance.object_key(invalid.kind, invalid.name): invalid.reason
        for invalid in acceptance.rejected_objects(merged)
    }
    return [f"{key}: {labelled[key]}" for key in keys if key in labelled]


def _find_plain_routes(declared: Declared, keys: list[str]) -> Iterator[str]:
    """Yields routes that would send plain calls to model engines."""
    services: dict[str, dict[str, Any]] = {"modelpools": {}, "routes": {}}
    for key, item in declared.items():
        kind = key.partition("/")[0]
        if kind in services and isinstance(item.value, dict):
            services[kind][key] = item.value.get("service")
    for pool, service in services["modelpools"].items():
        for route, other in services["routes"].items():
            if service == other and (pool in keys or route in keys):
                yield f"{route}: {pool} uses the service {service!r}"
