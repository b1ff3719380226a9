"""The types of the objects that operators declare.

Each kind is a typed struct. :func:`parse` converts the plain value of an
object into its struct, or into an :class:`Invalid` whose reason names the
field with the error.
"""

from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

DECLARED_KINDS = ("modelpools", "routes", "rollouts", "quotas")

KV_BLOCK_TOKENS = 4096  # default number of tokens in one KV block


class ModelPool(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model served by the prefill and decode replicas of one service.

    Times are in milliseconds, lengths in tokens. ``overcommit`` is the share
    of the expected memory releases that may be granted before they happen;
    with ``adaptive`` the owner derives it from the measured share of idle
    memory. ``piece_tokens`` is the size of a KV block.
    """

    service: str
    model: str
    first_token_ms: int = 1900
    between_tokens_ms: int = 79
    piece_tokens: int = KV_BLOCK_TOKENS
    max_prompt_tokens: int = 32768
    max_output_tokens: int = 2048
    default_class: Literal["interactive", "deferrable"] = "interactive"
    overcommit: float | Literal["adaptive"] = "adaptive"
    margin_ms: int = 300
    queue_limit: int = 256
    deferrable_wait_s: float = 600.0
    decode_batch: int = 20
    min_prefill: int = 1
    min_decode: int = 1
    balance_roles: bool = False


class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A path prefix that is routed to a plain service.

    Methods in ``non_idempotent`` run at most once; with ``key_required`` they
    are refused without an ``Idempotency-Key``.
    """

    service: str
    prefix: str
    non_idempotent: tuple[str, ...] = ("POST", "PATCH")
    key_required: bool = False
    timeout_ms: int = 10000
    max_body_bytes: int = 1048576
    max_in_flight: int = 64


class Rollout(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The version or adapter that the replicas of a pool should run."""

    pool: str
    version: str
    adapters: tuple[str, ...] = ()
    max_unavailable: int = 1


class Quota(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The share and the limits of one organisation.

    ``weight`` is relative to the other organisations. ``max_in_flight`` is
    the number of concurrent requests per entry host.
    """

    weight: float = 1.0
    max_in_flight: int = 256


Declared = ModelPool | Route | Rollout | Quota

TYPES: dict[str, type] = {
    "modelpools": ModelPool,
    "routes": Route,
    "rollouts": Rollout,
    "quotas": Quota,
}


class Invalid(NamedTuple):
    """The reason why an object is not accepted."""

    kind: str
    name: str
    reason: str


def parse(kind: str, name: str, value: Any) -> Declared | Invalid:
    """Converts the plain ``value`` of an object of ``kind``.

    >>> parse("quotas", "acme", {"weight": "big"}).reason
    'Expected `float`, got `str` - at `$.weight`'
    """
    kind_type = TYPES.get(kind)
    if kind_type is None:
        return Invalid(kind, name, f"unknown kind {kind!r}")
    try:
        return msgspec.convert(value, kind_type)
    except msgspec.ValidationError as error:
        return Invalid(kind, name, str(error))
