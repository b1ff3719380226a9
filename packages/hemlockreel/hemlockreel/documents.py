"""Versioned documents that are transferred as differences.

A document maps keys to values. Each item has the version of the document at
which it last changed, so the difference to any older version can be computed
without keeping that version.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

MAX_KEPT_REMOVALS = 500  # removed keys that are kept for differences


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A value and the version of its last change; ``None`` if removed."""

    version: int
    value: Any = None


class Document(msgspec.Struct, frozen=True):
    """A document at ``version``.

    A difference to a version below ``floor`` holds the whole document, since
    keys that were removed before ``floor`` are no longer known.
    """

    version: int = 0
    items: dict[str, Item] = {}
    floor: int = 0


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """The items that changed between ``above`` and ``version``.

    If ``whole`` is set, ``items`` is the complete document.
    """

    above: int
    version: int
    items: dict[str, Item]
    floor: int = 0
    whole: bool = False


EMPTY = Document()


def values(document: Document) -> dict[str, Any]:
    """Returns the values of all keys that have not been removed."""
    return {
        key: item.value
        for key, item in document.items.items()
        if item.value is not None
    }


def with_values(
    document: Document, wanted: Mapping[str, Any], version: int
) -> Document:
    """Returns a new ``version`` of ``document`` with the values ``wanted``."""
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
    """Returns the changes of ``document`` since its version ``above``."""
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
    """Returns ``document`` with ``difference`` applied.

    The result is ``None`` if the difference begins above the version of
    ``document``. A difference to an older or equal version changes nothing.
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
