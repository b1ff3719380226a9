"""What an operator has configured: routes, services and limits.

A deployment is read whole and replaced whole. Nothing here knows how it is
written down outside; the edges decode it.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

import xxhash


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its part of a route's requests, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    ``timeout_s`` is the longest time that a request is kept waiting,
    ``objective_s`` the latency objective, for a stream up to its first event.
    ``max_attempts`` bounds the replicas that one request may be sent to. Only
    a ``resumable`` stream may run more than once, each run going on after the
    last event of the one before. ``generates`` marks requests for a model.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    resumable: bool = False
    generates: bool = False
    priority: int = 5

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run a second time."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class EngineConfig(NamedTuple):
    """What is configured of a service's model engines.

    ``memory_tokens`` is the memory of a replica, ``hold_s`` the longest time
    that a reservation stands, ``switch_s`` how long a change of stage takes.
    An event of a stream carries ``event_tokens`` tokens.
    """

    slots: int
    memory_tokens: int
    hold_s: float
    handle_s: float
    switch_s: float
    event_tokens: int = 1


class Service(NamedTuple):
    """One service; ``engine`` is ``None`` for a plain one."""

    name: str
    max_connections: int
    engine: EngineConfig | None = None


class Limits(NamedTuple):
    """What callers may send, and how long they may stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 2**20
    idle_s: float = 15.0


class Deployment(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits = Limits()


def find_route(deployment: Deployment, host: str, path: str) -> Route | None:
    """Returns the route with the longest prefix that begins ``path``.

    ``host`` may name a port, which does not count.

    >>> shares = (Share("s", 1),)
    >>> short = Route("a", "h", "/a/", Kind.STREAM, shares, 1, 1)
    >>> longer = short._replace(name="b", prefix="/a/b/")
    >>> made = Deployment(1, (short, longer), {})
    >>> find_route(made, "h:80", "/a/b/c").name
    'b'
    """
    name = host.partition(":")[0].lower()
    matching = [
        route
        for route in deployment.routes
        if route.host == name and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


def pick_service(route: Route, request_id: str) -> str:
    """Returns the service of one request, by the weights of the split.

    The same request goes to the same service at every host.
    """
    total = sum(share.weight for share in route.shares)
    hashed = xxhash.xxh64_intdigest(f"{route.name}\0{request_id}".encode())
    point = hashed / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
