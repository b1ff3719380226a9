"""Checks the values of an operator's object beyond its field types."""

import functools
from typing import Any

import msgspec

from . import declared_objects

# The callers' interface handles these paths itself.
RESERVED_PREFIX = "/v1/"


@functools.singledispatch
def find_violation(declared: Any) -> str:
    """Returns the first violation that an object has, empty if none.

    >>> find_violation(declared_objects.Quota(weight=0))
    'Expected more than 0 - at `$.weight`'
    """
    raise TypeError(f"unsupported object: {declared!r}")


@find_violation.register
def _pool(declared: declared_objects.ModelPool) -> str:
    positive = (
        "first_token_ms",
        "between_tokens_ms",
        "piece_tokens",
        "max_prompt_tokens",
        "max_output_tokens",
        "decode_batch",
    )
    non_negative = (
        "margin_ms",
        "queue_limit",
        "deferrable_wait_s",
        "min_prefill",
        "min_decode",
    )
    return (
        _find_empty(declared, ("service", "model"))
        or _find_not_positive(declared, positive)
        or _find_negative(declared, non_negative)
        or _overcommit(declared)
    )


def _overcommit(declared: declared_objects.ModelPool) -> str:
    if declared.overcommit == "adaptive" or 0 <= declared.overcommit <= 1:
        return ""
    return "Expected `adaptive` or 0 to 1 - at `$.overcommit`"


@find_violation.register
def _route(declared: declared_objects.Route) -> str:
    if not declared.prefix.startswith("/"):
        return "Expected a path that begins with / - at `$.prefix`"
    if f"{declared.prefix}/".startswith(RESERVED_PREFIX):
        return f"Paths below {RESERVED_PREFIX} are reserved - at `$.prefix`"
    return (
        _find_empty(declared, ("service",))
        or _find_not_positive(declared, ("timeout_ms", "max_in_flight"))
        or _find_negative(declared, ("max_body_bytes",))
    )


@find_violation.register
def _rollout(declared: declared_objects.Rollout) -> str:
    return _find_empty(declared, ("pool", "version")) or _find_not_positive(
        declared, ("max_unavailable",)
    )


@find_violation.register
def _quota(declared: declared_objects.Quota) -> str:
    return _find_not_positive(declared, ("weight",)) or _find_negative(
        declared, ("max_in_flight",)
    )


def _find_empty(declared: msgspec.Struct, fields: tuple[str, ...]) -> str:
    for field in fields:
        if not getattr(declared, field):
            return f"Expected a name - at `$.{field}`"
    return ""


def _find_not_positive(
    declared: msgspec.Struct, fields: tuple[str, ...]
) -> str:
    for field in fields:
        if getattr(declared, field) <= 0:
            return f"Expected more than 0 - at `$.{field}`"
    return ""


def _find_negative(declared: msgspec.Struct, fields: tuple[str, ...]) -> str:
    for field in fields:
        if getattr(declared, field) < 0:
            return f"Expected 0 or more - at `$.{field}`"
    return ""
