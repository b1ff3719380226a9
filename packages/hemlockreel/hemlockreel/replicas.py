"""Replicas of a service as listed in the platform's host list."""

import enum
from typing import NamedTuple


class Role(enum.Enum):
    """The kind of work that a replica does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Replica(NamedTuple):
    """One backend server process of a service.

    ``address`` is ``IP:PORT``. ``leaving`` replicas finish their requests and
    get no new ones.
    """

    address: str
    service: str
    zone: str
    region: str
    role: Role
    leaving: bool = False
