"""Turns the result of a write into its outcome or an error message.

If the response to a write was lost, the object is read back to find out
whether the write took effect. If that leaves it open, the error says so and
claims neither success nor failure.
"""

import functools
from typing import Any
from typing import NamedTuple
from typing import NoReturn

from . import errors
from . import results
from . import store


class ConditionalWrite(NamedTuple):
    """A write that applies only to an expected version of the object.

    ``value`` is ``None`` for a deletion. ``expected`` is the version that the
    object must have, 0 if it must not exist.
    """

    kind: str
    name: str
    value: Any
    expected: int

    @property
    def label(self) -> str:
        """``KIND/NAME``, as messages name the object."""
        return f"{self.kind}/{self.name}"


class EffectiveWrite(NamedTuple):
    """A write that took effect; ``version`` is 0 after a deletion."""

    version: int
    note: str = ""


@functools.singledispatch
def resolve(
    result: Any, write: ConditionalWrite, client: store.Client
) -> EffectiveWrite:
    """Returns the outcome of ``write``, which got the given ``result``.

    Raises :class:`errors.UserError` if the write did not take effect or if
    that is unknown.
    """
    raise TypeError(f"no write result: {result!r}")


@resolve.register
def _written(
    result: results.Written, write: ConditionalWrite, client: store.Client
) -> EffectiveWrite:
    if write.value is None or result.object is None:
        return EffectiveWrite(0)
    return EffectiveWrite(result.object.version)


@resolve.register
def _conflict(
    result: results.Conflict, write: ConditionalWrite, client: store.Client
) -> NoReturn:
    current_state = _describe_current(result.current)
    raise errors.UserError(
        f"{write.label} was changed by someone else: the write was made for "
        f"{_describe_expected(write)}, {current_state}; nothing was "
        f"written. Look at it with 'hemlockreel get {write.kind} "
        f"{write.name}' and try again",
        errors.ExitCode.LOST_RACE,
    )


@resolve.register
def _not_found(
    result: results.NotFound, write: ConditionalWrite, client: store.Client
) -> NoReturn:
    raise errors.UserError(f"{write.label} does not exist")


@resolve.register
def _rejected(
    result: results.Rejected, write: ConditionalWrite, client: store.Client
) -> NoReturn:
    raise errors.UserError(
        f"the store refused {write.label} with status {result.status}: "
        f"{result.reason}"
    )


@resolve.register
def _unavailable(
    result: results.Unavailable, write: ConditionalWrite, client: store.Client
) -> NoReturn:
    raise errors.UserError(
        f"the store is not available: {describe_unavailable(result)}; "
        f"{write.label} was not written",
        errors.ExitCode.UNAVAILABLE,
    )


@resolve.register
def _no_response(
    result: results.NoResponse, write: ConditionalWrite, client: store.Client
) -> EffectiveWrite:
    read_back = client.get(write.kind, write.name)
    if isinstance(read_back, results.NotFound):
        read_back = None
    if not (read_back is None or isinstance(read_back, results.StoredObject)):
        raise _outcome_unknown(
            write, f"{result.reason}, and it can't be read back"
        )
    version = 0 if read_back is None else read_back.version
    if version == write.expected:
        raise _outcome_unknown(
            write,
            f"{result.reason}; read back, it had not taken effect, but it "
            "still may",
        )
    value = None if read_back is None else read_back.value
    if value == write.value:
        note = "the answer was lost; the object was read back"
        return EffectiveWrite(version, note)
    raise _outcome_unknown(
        write,
        f"{result.reason}; read back, {_describe_current(read_back)} with "
        "another value: another write came before it or after it",
    )


def describe_unavailable(result: results.Unavailable) -> str:
    """Returns the reason and, if known, when to try again."""
    if result.retry_after_s is None:
        return result.reason
    return f"{result.reason}, try again in {result.retry_after_s:g} s"


def _outcome_unknown(write: ConditionalWrite, reason: str) -> errors.UserError:
    return errors.UserError(
        f"it is not known whether {write.label} was written: {reason}",
        errors.ExitCode.UNKNOWN,
    )


def _describe_expected(write: ConditionalWrite) -> str:
    if write.expected == 0:
        return "an object that does not exist"
    return f"version {write.expected}"


def _describe_current(current: results.StoredObject | None) -> str:
    if current is None:
        return "it does not exist now"
    return f"it is at version {current.version} now"
