"""Turns what a write came to into what the operator is told.

A write whose answer was lost is settled by reading the object back. The
message never claims more than what was read.
"""

import functools
from typing import Any
from typing import NamedTuple
from typing import NoReturn

from . import errors
from . import results
from . import store


class Write(NamedTuple):
    """A conditional write that was sent.

    ``value`` is ``None`` for a deletion; ``expected`` is the version that
    the write was made for, 0 for "must not exist".
    """

    kind: str
    name: str
    value: Any
    expected: int

    @property
    def label(self) -> str:
        """``KIND/NAME``, as in all messages."""
        return f"{self.kind}/{self.name}"


class Settled(NamedTuple):
    """The write is in effect; ``version`` is 0 after a deletion."""

    version: int
    note: str = ""


@functools.singledispatch
def settle(result: Any, write: Write, client: store.Client) -> Settled:
    """Returns how ``write`` is in effect.

    Raises :class:`errors.UserError` when it is not, or when that is not
    known.
    """
    raise TypeError(f"no write result: {result!r}")


@settle.register
def _written(
    result: results.Written, write: Write, client: store.Client
) -> Settled:
    if write.value is None or result.object is None:
        return Settled(0)
    return Settled(result.object.version)


@settle.register
def _conflict(
    result: results.Conflict, write: Write, client: store.Client
) -> NoReturn:
    now = _describe(result.current)
    raise errors.UserError(
        f"{write.label} was changed by someone else: the write was made for "
        f"{_expected(write)}, {now}; nothing was written. Look at it with "
        f"'hemlockreel get {write.kind} {write.name}' and try again",
        errors.ExitCode.LOST_RACE,
    )


@settle.register
def _missing(
    result: results.Missing, write: Write, client: store.Client
) -> NoReturn:
    raise errors.UserError(f"{write.label} does not exist")


@settle.register
def _rejected(
    result: results.Rejected, write: Write, client: store.Client
) -> NoReturn:
    raise errors.UserError(
        f"the store refused {write.label} with status {result.status}: "
        f"{result.reason}"
    )


@settle.register
def _unavailable(
    result: results.Unavailable, write: Write, client: store.Client
) -> NoReturn:
    raise errors.UserError(
        f"the store is not available: {describe_unavailable(result)}; "
        f"{write.label} was not written",
        errors.ExitCode.UNAVAILABLE,
    )


@settle.register
def _unanswered(
    result: results.Unanswered, write: Write, client: store.Client
) -> Settled:
    found = client.get(write.kind, write.name)
    if isinstance(found, results.Missing):
        found = None
    if not (found is None or isinstance(found, results.Stored)):
        raise _unknown(write, f"{result.reason}, and it can't be read back")
    version = 0 if found is None else found.version
    if version == write.expected:
        raise _unknown(
            write,
            f"{result.reason}; read back, it had not taken effect, but it "
            "still may",
        )
    value = None if found is None else found.value
    if value == write.value:
        note = "the answer was lost; the object was read back"
        return Settled(version, note)
    raise _unknown(
        write,
        f"{result.reason}; read back, {_describe(found)} with another value: "
        "another write came before it or after it",
    )


def describe_unavailable(result: results.Unavailable) -> str:
    """Returns the reason and, if known, when to come back."""
    if result.retry_after_s is None:
        return result.reason
    return f"{result.reason}, try again in {result.retry_after_s:g} s"


def _unknown(write: Write, reason: str) -> errors.UserError:
    return errors.UserError(
        f"it is not known whether {write.label} was written: {reason}",
        errors.ExitCode.UNKNOWN,
    )


def _expected(write: Write) -> str:
    if write.expected == 0:
        return "an object that does not exist"
    return f"version {write.expected}"


def _describe(current: results.Stored | None) -> str:
    if current is None:
        return "it does not exist now"
    return f"it is at version {current.version} now"
