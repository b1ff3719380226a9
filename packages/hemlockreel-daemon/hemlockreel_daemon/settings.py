"""The daemon's settings: a JSON file that is validated when loaded."""

import ipaddress
import json
from typing import Annotated
from typing import Any

import msgspec

from . import bounded_sockets
from . import caller_limits

# A head of 1 KiB holds the headers of any platform; a body must hold a page
# of the store's lists, 1 MiB.
HeadBytes = Annotated[int, msgspec.Meta(ge=1024, le=2**20)]
BodyBytes = Annotated[int, msgspec.Meta(ge=2**20, le=64 * 2**20)]
EventBytes = Annotated[int, msgspec.Meta(ge=1024, le=16 * 2**20)]
MemoryBytes = Annotated[int, msgspec.Meta(ge=8 * 2**20, le=64 * 2**30)]
Connections = Annotated[int, msgspec.Meta(ge=16, le=10**6)]
BodySeconds = Annotated[float, msgspec.Meta(ge=5, le=3600)]
TotalBytes = Annotated[int, msgspec.Meta(ge=2**20, le=1024 * 2**20)]


class SettingsError(Exception):
    """The settings are invalid; the message is for the operator."""


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The addresses that the daemon listens on, each ``IP:PORT``.

    Without ``paths`` it opens no connections to replicas for other hosts.
    """

    callers: str
    operators: str
    peers: str
    paths: str = ""


class Responses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The largest parts of a response that the daemon reads, in bytes.

    The defaults are those of :class:`bounded_sockets.ResponseLimits`.
    """

    head_bytes: HeadBytes = bounded_sockets.ResponseLimits().head_bytes
    body_bytes: BodyBytes = bounded_sockets.ResponseLimits().body_bytes
    event_bytes: EventBytes = bounded_sockets.ResponseLimits().event_bytes
    total_bytes: TotalBytes = bounded_sockets.ResponseLimits().total_bytes

    @property
    def limits(self) -> bounded_sockets.ResponseLimits:
        """The limits as the HTTP calls take them."""
        return bounded_sockets.ResponseLimits(
            self.head_bytes,
            self.body_bytes,
            self.event_bytes,
            self.total_bytes,
        )


class Callers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all callers together may make the daemon hold.

    The defaults are those of :class:`caller_limits.Limits`.
    """

    memory_bytes: MemoryBytes = caller_limits.Limits().memory_bytes
    connections: Connections = caller_limits.Limits().connections
    body_s: BodySeconds = caller_limits.Limits().body_s

    @property
    def limits(self) -> caller_limits.Limits:
        """The limits as the listeners take them."""
        return caller_limits.Limits(
            self.memory_bytes, self.connections, self.body_s
        )


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All settings of one daemon.

    ``store`` and ``host_list`` are the addresses of the platform's services,
    ``seeds`` the peer addresses of some other daemons. ``max_in_flight``
    limits the concurrent requests of callers, ``responses`` the size of the
    responses of other servers, ``callers`` what is held for callers.
    """

    zone: str
    region: str
    listen: Listen
    store: str
    host_list: str
    seeds: tuple[str, ...] = ()
    max_in_flight: int = 600
    log_level: str = "INFO"
    responses: Responses = Responses()
    callers: Callers = Callers()


def load(path: str) -> Settings:
    """Reads and validates the file ``path``.

    Raises :class:`SettingsError` with the path of the invalid setting within
    the file and the expected type or format.
    """
    try:
        with open(path, "rb") as file:
            loaded = msgspec.json.decode(file.read(), type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    _check_addresses(path, loaded)
    return loaded


def _check_addresses(path: str, loaded: Settings) -> None:
    listen: dict[str, Any] = msgspec.structs.asdict(loaded.listen)
    named = {f"$.listen.{name}": value for name, value in listen.items()}
    if not loaded.listen.paths:
        del named["$.listen.paths"]
    named["$.store"] = loaded.store
    named["$.host_list"] = loaded.host_list
    for index, seed in enumerate(loaded.seeds):
        named[f"$.seeds[{index}]"] = seed
    for place, value in named.items():
        if not _is_address(value):
            shown = json.dumps(value)
            raise SettingsError(
                f"{path}: Expected `IP:PORT`, got {shown} - at `{place}`"
            )


def _is_address(value: str) -> bool:
    """Returns whether ``value`` is an IP address with a port."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65536
    except ValueError:
        return False
