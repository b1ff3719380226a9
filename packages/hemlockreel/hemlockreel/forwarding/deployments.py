"""The operator's configuration: routes, services and limits.

A deployment is read and replaced as a whole. These types don't depend on its
stored format, which the platform adapter decodes.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

import xxhash

from . import organisations as orgs


class RouteKind(enum.Enum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services for requests of one host name and path prefix.

    ``timeout_s`` is the longest time that a request may take, ``objective_s``
    the latency objective, which for a stream covers the time to its first
    event. ``max_attempts`` is the number of replicas that one request may be
    sent to. A stream may run more than once only if it is ``resumable``: each
    run then continues after the last event of the previous one.
    ``generates`` marks routes whose requests are for a model. ``is_open``
    routes need no key.
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
    is_open: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class EngineConfig(NamedTuple):
    """The configuration of a service's model engines.

    ``memory_tokens`` is the KV cache memory of a replica in tokens,
    ``hold_s`` the time until a reservation expires, ``handle_s`` the time
    until a prefill result expires, and ``switch_s`` the time that an engine
    takes to change its stage. Each event of a stream holds ``event_tokens``
    tokens.
    """

    slots: int
    memory_tokens: int
    hold_s: float
    handle_s: float
    switch_s: float
    event_tokens: int = 1


class Service(NamedTuple):
    """One service; ``engine`` is ``None`` for one without a model."""

    name: str
    max_connections: int
    engine: EngineConfig | None = None


class Limits(NamedTuple):
    """Limits on requests and on idle connections of callers."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 2**20
    idle_s: float = 15.0
    head_s: float = 3.0  # for the head of a request


class Deployment(NamedTuple):
    """One version of the configuration.

    If it has ``organisations``, requests need a key of one of them, except
    those of open routes.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits = Limits()
    organisations: tuple[orgs.Organisation, ...] = ()


def find_route(deployment: Deployment, host: str, path: str) -> Route | None:
    """Returns the route of ``host`` with the longest prefix of ``path``.

    A port in ``host`` is ignored.

    >>> shares = (WeightedService("s", 1),)
    >>> short = Route("a", "h", "/a/", RouteKind.STREAM, shares, 1, 1)
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

    The choice is a hash of the request id, so every host sends a request and
    its retries to the same service.
    """
    total = sum(share.weight for share in route.shares)
    hashed = xxhash.xxh64_intdigest(f"{route.name}\0{request_id}".encode())
    point = hashed / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
