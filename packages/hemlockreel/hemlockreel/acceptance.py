"""Merges the operators' objects into the accepted configuration.

The accepted configuration is a document in the store that only daemons write.
:func:`merge` depends only on the accepted document and on the declared
objects, so any two daemons that read the same write the same. An object that
is invalid or conflicts with others is listed as rejected, and its last
accepted version stays in force.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from . import declared_objects
from . import documents
from . import object_validation

# Keys of the document besides the objects: the revision of the store at which
# the merged objects were read, and the list of rejected objects.
REVISION = "revision"
REJECTED = "rejected"
# Fields that must differ between any two objects of a kind.
UNIQUE_FIELDS = {
    "modelpools": ("model", "service"),
    "routes": ("prefix",),
    "rollouts": ("pool",),
    "quotas": (),
}


class Declared(NamedTuple):
    """An object as an operator wrote it, with its version in the store."""

    version: int
    value: Any


class _Change(NamedTuple):
    """A difference between an object as declared and as in force.

    ``parsed`` is ``None`` if the object was deleted.
    """

    key: str
    version: int
    value: Any
    parsed: declared_objects.Declared | None


Objects = dict[str, declared_objects.Declared]


def object_key(kind: str, name: str) -> str:
    """Returns the key of an object in the accepted document."""
    return f"{kind}/{name}"


def parse_accepted(document: documents.Document) -> Objects:
    """Returns the objects in force, parsed, by key."""
    found = {}
    for key, value in documents.values(document).items():
        kind, _, name = key.partition("/")
        if not name:
            continue
        parsed = declared_objects.parse(kind, name, value["value"])
        # An older release of the daemon does not know newer fields. It leaves
        # out the objects that it can't parse.
        if not isinstance(parsed, declared_objects.Invalid):
            found[key] = parsed
    return found


def rejected_objects(
    document: documents.Document,
) -> tuple[declared_objects.Invalid, ...]:
    """Returns the rejected objects with their reasons."""
    listed = documents.values(document).get(REJECTED) or []
    return tuple(
        declared_objects.Invalid(item["kind"], item["name"], item["reason"])
        for item in listed
    )


def merged_revision(document: documents.Document) -> int:
    """Returns the store's revision at which the merged objects were read."""
    return documents.values(document).get(REVISION, 0)


def merge(
    before: documents.Document,
    declared: Mapping[str, Declared],
    revision: int,
) -> documents.Document:
    """Returns the accepted document after merging the objects ``declared``.

    ``revision`` is the store's revision at which they were read. The result is
    ``before`` itself if nothing changes or if ``revision`` is older than that
    of the last merge.
    """
    if revision < merged_revision(before):
        return before
    accepted = _Accepted(before)
    invalid = accepted.apply_changes(_find_changes(before, declared))
    values: dict[str, Any] = dict(accepted.values)
    values[REJECTED] = invalid
    known = documents.values(before)
    if values == {REJECTED: [], **_without(known, REVISION)}:
        return before
    values[REVISION] = revision
    return documents.with_values(before, values, before.version + 1)


def _without(values: dict[str, Any], key: str) -> dict[str, Any]:
    return {name: value for name, value in values.items() if name != key}


def _find_changes(
    before: documents.Document, declared: Mapping[str, Declared]
) -> list[tuple[str, Declared | None]]:
    """Returns the changes in the order in which they are to be applied.

    Deletions come last; the others are sorted by kind, with pools first, and
    by version.
    """
    known = documents.values(before)
    found: list[tuple[str, Declared | None]] = []
    for key, item in declared.items():
        if key not in known or known[key]["version"] != item.version:
            found.append((key, item))
    for key in known:
        if "/" in key and key not in declared:
            found.append((key, None))
    return sorted(found, key=_sort_key)


def _sort_key(
    change: tuple[str, Declared | None],
) -> tuple[bool, int, int, str]:
    key, item = change
    kind = key.partition("/")[0]
    kind_order = declared_objects.DECLARED_KINDS.index(kind)
    return item is None, kind_order, 0 if item is None else item.version, key


class _Accepted:
    """The objects in force while a merge applies changes to them."""

    def __init__(self, before: documents.Document):
        self.values = {
            key: value
            for key, value in documents.values(before).items()
            if "/" in key
        }
        self.objects = parse_accepted(before)

    def apply_changes(
        self, changes: list[tuple[str, Declared | None]]
    ) -> list[dict[str, Any]]:
        """Applies all changes without a conflict; returns the rejected ones.

        A change may conflict only until another one is applied, so the rest
        is tried again until no further change can be applied.
        """
        rejections = {}
        waiting = []
        for key, item in changes:
            parsed = _parse(key, item)
            if isinstance(parsed, declared_objects.Invalid):
                rejections[key] = _rejection(key, item, parsed.reason)
            else:
                waiting.append(_make_change(key, item, parsed))
        if not self._apply_together(waiting):
            waiting = self._apply_each(waiting)
            for change in waiting:
                reason = self._find_conflict(change)
                rejections[change.key] = _rejection(change.key, change, reason)
        return [rejections[key] for key in sorted(rejections)]

    def _apply_together(self, changes: list[_Change]) -> bool:
        """Applies all changes, or none if any of them has a conflict."""
        before = dict(self.objects)
        for change in changes:
            self._set_object(self.objects, change)
        if any(self._find_conflict(change) for change in changes):
            self.objects = before
            return False
        for change in changes:
            self._record_value(change)
        return True

    def _apply_each(self, changes: list[_Change]) -> list[_Change]:
        """Applies the changes without a conflict; returns the others."""
        waiting = changes
        while True:
            conflicting = []
            for change in waiting:
                if self._find_conflict(change):
                    conflicting.append(change)
                    continue
                self._set_object(self.objects, change)
                self._record_value(change)
            if len(conflicting) == len(waiting):
                return conflicting
            waiting = conflicting

    def _set_object(self, found: Objects, change: _Change) -> None:
        if change.parsed is None:
            found.pop(change.key, None)
        else:
            found[change.key] = change.parsed

    def _record_value(self, change: _Change) -> None:
        if change.parsed is None:
            self.values.pop(change.key, None)
            return
        self.values[change.key] = {
            "version": change.version,
            "value": change.value,
        }

    def _find_conflict(self, change: _Change) -> str:
        """Returns why ``change`` conflicts with the objects, empty if not."""
        if change.parsed is None:
            return _find_referrer(self.objects, change.key)
        return _find_duplicate(
            self.objects, change
        ) or _find_missing_reference(self.objects, change)


def _parse(
    key: str, item: Declared | None
) -> declared_objects.Declared | declared_objects.Invalid | None:
    if item is None:
        return None
    kind, _, name = key.partition("/")
    parsed = declared_objects.parse(kind, name, item.value)
    if isinstance(parsed, declared_objects.Invalid):
        return parsed
    violation = object_validation.find_violation(parsed)
    return (
        declared_objects.Invalid(kind, name, violation)
        if violation
        else parsed
    )


def _make_change(
    key: str, item: Declared | None, parsed: declared_objects.Declared | None
) -> _Change:
    if item is None:
        return _Change(key, 0, None, None)
    return _Change(key, item.version, item.value, parsed)


def _rejection(
    key: str, item: Declared | _Change | None, reason: str
) -> dict[str, Any]:
    kind, _, name = key.partition("/")
    version = 0 if item is None else item.version
    return {"kind": kind, "name": name, "version": version, "reason": reason}


def _find_duplicate(found: Objects, change: _Change) -> str:
    """Returns a conflict if another object has the same unique field."""
    kind = change.key.partition("/")[0]
    for key, other in found.items():
        if key == change.key or not key.startswith(f"{kind}/"):
            continue
        for field in UNIQUE_FIELDS[kind]:
            value = getattr(change.parsed, field)
            if getattr(other, field) == value:
                return f"{key} has the {field} {value!r} already"
    return ""


def _find_missing_reference(found: Objects, change: _Change) -> str:
    """Returns a conflict if a referenced object does not exist."""
    if not isinstance(change.parsed, declared_objects.Rollout):
        return ""
    pool = object_key("modelpools", change.parsed.pool)
    return "" if pool in found else f"{pool} does not exist - at `$.pool`"


def _find_referrer(found: Objects, key: str) -> str:
    """Returns a conflict if an object still refers to the deleted one."""
    for referrer, other in found.items():
        if not isinstance(other, declared_objects.Rollout):
            continue
        if object_key("modelpools", other.pool) == key:
            return f"deleted, but {referrer} refers to it"
    return ""
