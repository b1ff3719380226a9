"""What the handlers of completions and of plain calls depend on."""

from typing import NamedTuple

from . import backends
from . import daemon as daemons
from . import engine_client
from . import service_client


class HandlerContext(NamedTuple):
    """A daemon and the clients of its backend servers."""

    daemon: daemons.Daemon
    engines: backends.Engines
    services: backends.Services


def with_http_clients(daemon: daemons.Daemon) -> HandlerContext:
    """Returns a context with the clients of the product's HTTP protocols."""
    return HandlerContext(
        daemon, engine_client.Engines(), service_client.Services()
    )
