"""Reads the files that ``hemlockreel apply`` takes."""

import re
import sys
from typing import Any
from typing import NamedTuple

import msgspec

from hemlockreel import declared_objects

from . import errors

STANDARD_INPUT = "-"
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class RawObject(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One object as it is written in a file."""

    kind: str
    name: str
    value: dict[str, Any]


class ManifestObject(NamedTuple):
    """A checked object; ``declared`` is the typed form of ``value``."""

    kind: str
    name: str
    value: dict[str, Any]
    declared: declared_objects.Declared


def read(path: str) -> list[ManifestObject]:
    """Reads one object or a list of objects from the JSON file ``path``.

    The objects are returned in an order in which each follows those that it
    refers to. Raises :class:`errors.UserError` that names the position of the
    first fault.
    """
    data = _read_bytes(path)
    try:
        decoded = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise errors.UserError(f"{path} is no JSON: {error}") from error
    listed = decoded if isinstance(decoded, list) else [decoded]
    objects = [
        _parse_object(path, index, value) for index, value in enumerate(listed)
    ]
    if not objects:
        raise errors.UserError(f"{path} holds no object")
    _check_unique(path, objects)
    order = declared_objects.DECLARED_KINDS.index
    return sorted(objects, key=lambda each: order(each.kind))


def _read_bytes(path: str) -> bytes:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise errors.UserError(f"{path}: {error.strerror}") from error


def _parse_object(path: str, index: int, decoded: Any) -> ManifestObject:
    position = f"{path}: object {index + 1}"
    try:
        raw_object = msgspec.convert(decoded, RawObject)
    except msgspec.ValidationError as error:
        raise errors.UserError(f"{position}: {error}") from error
    if not _NAME_PATTERN.fullmatch(raw_object.name):
        raise errors.UserError(
            f"{position}: the name {raw_object.name!r} must start with a "
            "letter or a digit and hold only letters, digits, '.', '_' and '-'"
        )
    parsed = declared_objects.parse(
        raw_object.kind, raw_object.name, raw_object.value
    )
    if isinstance(parsed, declared_objects.Invalid):
        label = f"{raw_object.kind}/{raw_object.name}"
        raise errors.UserError(f"{position}, {label}: {parsed.reason}")
    return ManifestObject(
        raw_object.kind, raw_object.name, raw_object.value, parsed
    )


def _check_unique(path: str, objects: list[ManifestObject]) -> None:
    seen = set()
    for each in objects:
        key = (each.kind, each.name)
        if key in seen:
            label = f"{each.kind}/{each.name}"
            raise errors.UserError(f"{path}: {label} is there twice")
        seen.add(key)
