"""Versioned documents that are passed on as differences.

A document is a map of keys to values. Each item carries the version of the
document at which it changed last, so the difference to any older version is
found without keeping that version.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

MAX_KEPT_REMOVALS = 500  # removed keys that are remembered for differences


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One value and its version; ``value`` is ``None`` once removed."""

    version: int
    value: Any = None


class Document(msgspec.Struct, frozen=True):
    """A document at ``version``.

    Differences to versions below ``floor`` can't be told, since the keys
    that were removed before are forgotten.
    """

    version: int = 0
    items: dict[str, Item] = {}
    floor: int = 0


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """What changed in a document between ``above`` and ``version``.

    With ``whole`` set the items are all there are.
    """

    above: int
    version: int
    items: dict[str, Item]
    floor: int = 0
    whole: bool = False


EMPTY = Document()


def values(document: Document) -> dict[str, Any]:
    """Returns the values of all keys that are not removed."""
    return {
        key: item.value
        for key, item in document.items.items()
        if item.value is not None
    }


def with_values(
    document: Document, wanted: Mapping[str, Any], version: int
) -> Document:
    """Returns ``document`` at ``version`` with the values ``wanted``."""
    items = dict(document.items)
    for key, item in document.items.items():
        if item.value is not None and key not in wanted:
            items[key] = Item(version)
    for key, value in wanted.items():
        known = items.get(key)
        if known is None or known.value != value:
            items[key] = Item(version, value)
    removed = [key for key, item in items.items() if item.value is None]
    removed.sort(key=lambda key: items[key].version)
    floor = document.floor
    for key in removed[: max(0, len(removed) - MAX_KEPT_REMOVALS)]:
        floor = max(floor, items.pop(key).version)
    return Document(version, items, floor)


def difference_since(document: Document, above: int) -> Difference:
    """Returns what ``document`` has that its version ``above`` had not."""
    whole = above < document.floor or above == 0
    items = {
        key: item
        for key, item in document.items.items()
        if whole or item.version > above
    }
    return Difference(above, document.version, items, document.floor, whole)


def apply_difference(
    document: Document, difference: Difference
) -> Document | None:
    """Returns the newer document, ``None`` if it can't be told from here.

    An older or equal version changes nothing: a document never goes back.
    """
    if difference.version <= document.version:
        return document
    if difference.whole:
        return Document(difference.version, difference.items, difference.floor)
    if difference.above > document.version:
        return None
    return Document(
        difference.version,
        document.items | difference.items,
        difference.floor,
    )
