"""Checks references between declared objects before they are written.

The check uses the daemons' own merge function on a listing that was read just
before the write. Two concurrent writes can each pass it and conflict together,
so the daemons check again before they accept objects.
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


def find_write_faults(
    listing: results.Listing, objects: Iterable[manifest.ManifestObject]
) -> list[str]:
    """Returns the faults of ``objects`` together with the stored ones."""
    declared = _select_declared(listing)
    keys = []
    for each in objects:
        key = acceptance.object_key(each.kind, each.name)
        current = declared.get(key)
        if current is None or current.value != each.value:
            declared[key] = acceptance.Declared(
                listing.revision + 1, each.value
            )
        keys.append(key)
    faults = _find_rejected(listing, declared, keys)
    return faults + list(_find_routes_to_model_pools(declared, keys))


def find_deletion_faults(
    listing: results.Listing, kind: str, name: str
) -> list[str]:
    """Returns the reasons why an object can't be deleted."""
    key = acceptance.object_key(kind, name)
    declared = _select_declared(listing)
    declared.pop(key, None)
    return _find_rejected(listing, declared, [key])


def get_accepted(items: Iterable[results.StoredObject]) -> documents.Document:
    """Returns the accepted document, empty if there is no valid one."""
    for item in items:
        if (item.kind, item.name) == ACCEPTED:
            try:
                return msgspec.convert(item.value, documents.Document)
            except msgspec.ValidationError:
                return documents.EMPTY
    return documents.EMPTY


def _select_declared(listing: results.Listing) -> Declared:
    return {
        acceptance.object_key(item.kind, item.name): acceptance.Declared(
            item.version, item.value
        )
        for item in listing.items
        if item.kind in declared_objects.DECLARED_KINDS
    }


def _find_rejected(
    listing: results.Listing, declared: Declared, keys: list[str]
) -> list[str]:
    accepted = get_accepted(listing.items)
    # The daemons may not have merged all stored objects yet.
    merge_revision = max(
        listing.revision, acceptance.merged_revision(accepted)
    )
    before = acceptance.merge(
        accepted, _select_declared(listing), merge_revision
    )
    merged = acceptance.merge(before, declared, merge_revision + 1)
    reasons = {
        acceptance.object_key(invalid.kind, invalid.name): invalid.reason
        for invalid in acceptance.rejected_objects(merged)
    }
    return [f"{key}: {reasons[key]}" for key in keys if key in reasons]


def _find_routes_to_model_pools(
    declared: Declared, keys: list[str]
) -> Iterator[str]:
    """Yields a fault for each route that uses the service of a model pool.

    Such a route would send plain calls to model engines.
    """
    services: dict[str, dict[str, Any]] = {"modelpools": {}, "routes": {}}
    for key, item in declared.items():
        kind = key.partition("/")[0]
        if kind in services and isinstance(item.value, dict):
            services[kind][key] = item.value.get("service")
    for pool, service in services["modelpools"].items():
        for route, route_service in services["routes"].items():
            if service == route_service and (pool in keys or route in keys):
                yield f"{route}: {pool} uses the service {service!r}"
