"""The base class of all messages."""

import msgspec


class Message(
    msgspec.Struct, frozen=True, array_like=True, tag=True, kw_only=True
):
    """A message from one run of a daemon.

    ``sender`` is its peer address; ``epoch`` identifies the run.
    """

    sender: str
    epoch: int
