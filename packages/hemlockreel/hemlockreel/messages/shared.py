"""What each message carries."""

import msgspec


class Message(
    msgspec.Struct, frozen=True, array_like=True, tag=True, kw_only=True
):
    """A message; the sender is one run of a daemon."""

    sender: str
    epoch: int
