"""Reads the files that ``hemlockreel apply`` takes."""

import re
import sys
from typing import Any
from typing import NamedTuple

import msgspec

from hemlockreel import declared_objects

from . import errors

STANDARD_INPUT = "-"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class Item(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One object in a file, as the operator wrote it."""

    kind: str
    name: str
    value: dict[str, Any]


class Entry(NamedTuple):
    """A checked object: the value to write and its typed form."""

    kind: str
    name: str
    value: dict[str, Any]
    declared: declared_objects.Declared


def read(path: str) -> list[Entry]:
    """Reads one object or a list of objects from the JSON file ``path``.

    The objects come back in an order in which none is written before one
    that it refers to. Raises :class:`errors.UserError` that names the place
    of each fault.
    """
    data = _read_bytes(path)
    try:
        raw = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise errors.UserError(f"{path} is no JSON: {error}") from error
    listed = raw if isinstance(raw, list) else [raw]
    entries = [
        _check(path, index, value) for index, value in enumerate(listed)
    ]
    if not entries:
        raise errors.UserError(f"{path} holds no object")
    _check_unique(path, entries)
    order = declared_objects.DECLARED_KINDS.index
    return sorted(entries, key=lambda entry: order(entry.kind))


def _read_bytes(path: str) -> bytes:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise errors.UserError(f"{path}: {error.strerror}") from error


def _check(path: str, index: int, raw: Any) -> Entry:
    place = f"{path}: object {index + 1}"
    try:
        item = msgspec.convert(raw, Item)
    except msgspec.ValidationError as error:
        raise errors.UserError(f"{place}: {error}") from error
    if not _NAME.fullmatch(item.name):
        raise errors.UserError(
            f"{place}: the name {item.name!r} must start with a letter or a "
            "digit and hold only letters, digits, '.', '_' and '-'"
        )
    parsed = declared_objects.parse(item.kind, item.name, item.value)
    if isinstance(parsed, declared_objects.Invalid):
        label = f"{item.kind}/{item.name}"
        raise errors.UserError(f"{place}, {label}: {parsed.reason}")
    return Entry(item.kind, item.name, item.value, parsed)


def _check_unique(path: str, entries: list[Entry]) -> None:
    seen = set()
    for entry in entries:
        key = (entry.kind, entry.name)
        if key in seen:
            label = f"{entry.kind}/{entry.name}"
            raise errors.UserError(f"{path}: {label} is there twice")
        seen.add(key)
