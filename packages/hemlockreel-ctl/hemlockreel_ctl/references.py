"""Checks declared objects against each other.

The check is made against what was read before the write, so two operators can
still get past it together; the daemons check what they accept again.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import functools
from typing import Any

from hemlockreel import objects

from . import results

Key = tuple[str, str]
Declared = Mapping[Key, objects.Declared]


def parse(items: Iterable[results.Stored]) -> dict[Key, objects.Declared]:
    """Returns the objects of the store that are valid, by kind and name."""
    parsed = {
        (item.kind, item.name): objects.parse(item.kind, item.name, item.value)
        for item in items
    }
    return {
        key: declared
        for key, declared in parsed.items()
        if not isinstance(declared, objects.Invalid)
    }


@functools.singledispatch
def check(declared: Any, key: Key, others: Declared) -> Iterator[str]:
    """Yields what is wrong with ``declared`` beside ``others``."""
    yield from ()


@check.register
def _model_pool(
    declared: objects.ModelPool, key: Key, others: Declared
) -> Iterator[str]:
    for label, other in _rest(others, key, objects.ModelPool):
        if other.model == declared.model:
            yield f"{label} serves the model {declared.model!r} already"
        if other.service == declared.service:
            yield f"{label} uses the service {declared.service!r} already"
    for label, other in _rest(others, key, objects.Route):
        if other.service == declared.service:
            yield f"{label} routes plain calls to {declared.service!r}"


@check.register
def _route(
    declared: objects.Route, key: Key, others: Declared
) -> Iterator[str]:
    if not declared.prefix.startswith("/"):
        yield f"the prefix {declared.prefix!r} does not start with '/'"
    for label, other in _rest(others, key, objects.Route):
        if other.prefix == declared.prefix:
            yield f"{label} has the prefix {declared.prefix!r} already"
    for label, other in _rest(others, key, objects.ModelPool):
        if other.service == declared.service:
            yield f"{label} uses {declared.service!r} for a model"


@check.register
def _rollout(
    declared: objects.Rollout, key: Key, others: Declared
) -> Iterator[str]:
    if ("modelpools", declared.pool) not in others:
        yield f"it refers to modelpools/{declared.pool}, which does not exist"
    for label, other in _rest(others, key, objects.Rollout):
        if other.pool == declared.pool:
            yield f"{label} rolls out to the pool {declared.pool!r} already"


def referrers(key: Key, others: Declared) -> list[str]:
    """Returns the labels of the objects that refer to ``key``."""
    kind, name = key
    if kind != "modelpools":
        return []
    return [
        label
        for label, other in _rest(others, key, objects.Rollout)
        if other.pool == name
    ]


def _rest(others: Declared, key: Key, kind: type) -> Iterator[tuple[str, Any]]:
    for other_key, other in others.items():
        if other_key != key and isinstance(other, kind):
            yield "/".join(other_key), other
