"""Replicas of a service as the platform's host list tells them."""

import enum
from typing import NamedTuple


class Role(enum.Enum):
    """What a replica does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Replica(NamedTuple):
    """One backend server process of a service.

    ``address`` is ``IP:PORT``. ``leaving`` replicas finish what they run and
    get nothing new.
    """

    address: str
    service: str
    zone: str
    region: str
    role: Role
    leaving: bool = False
