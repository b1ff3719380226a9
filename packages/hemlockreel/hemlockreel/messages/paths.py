"""Messages of :mod:`hemlockreel.forwarding.reachability`."""

from . import shared


class PauseTold(shared.Message):
    """A replica wants no calls of the receiver for ``for_s`` seconds.

    It said so in a response that the receiver carried for the sender.
    """

    replica: str
    born: int
    for_s: float
