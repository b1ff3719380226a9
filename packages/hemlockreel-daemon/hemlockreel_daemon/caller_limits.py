"""The limits of what callers make a daemon hold, and refusals by them."""

from typing import NamedTuple


class Limits(NamedTuple):
    """The limits of all callers together.

    ``memory_bytes`` is for everything that is held for them, ``connections``
    the number of their open connections. A body arrives within ``body_s``.
    """

    memory_bytes: int = 32 * 2**20
    connections: int = 1000
    body_s: float = 60.0


class Refused(Exception):
    """A caller met a limit while its request was read, so it has not run.

    ``limit`` names the limit in metrics and logs.
    """

    def __init__(self, status: int, limit: str, message: str):
        super().__init__(message)
        self.status = status
        self.limit = limit

    def copy(self) -> "Refused":
        """Returns an equal one to raise.

        One that was raised refers to all that its callers held.
        """
        return Refused(self.status, self.limit, str(self))


class MalformedBody(ValueError):
    """The body is not what the head states, or ended early."""
