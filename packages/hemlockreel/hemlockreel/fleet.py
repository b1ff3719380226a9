"""The engines of a shard: which exist, in which role, and which are usable."""

from collections.abc import Iterable
import math
from typing import Literal
from typing import TypeVar

import msgspec

from . import engines
from . import objects
from . import replicas

Engine = TypeVar("Engine", engines.Prefill, engines.Decode)


class Report(msgspec.Struct, frozen=True):
    """What is used of an engine's load report."""

    pieces_total: int
    pieces_free: int
    role: Literal["prefill", "decode"] | None = None
    age_s: float = 0.0


class Fleet:
    """The stations of the live replicas of one shard.

    The host list tells which replicas exist; the role that an engine itself
    reports goes before the one in the list.
    """

    def __init__(self, pool: objects.ModelPool):
        self.pool = pool
        self.replicas: dict[str, replicas.Replica] = {}
        self.prefills: dict[str, engines.Prefill] = {}
        self.decodes: dict[str, engines.Decode] = {}
        self._known: dict[tuple[str, replicas.Role], engines.Station] = {}
        self._reported: dict[str, replicas.Role] = {}
        self._retiring: frozenset[str] = frozenset()
        self._freshest = -math.inf

    @property
    def changing(self) -> bool:
        """Whether a listed replica is on its way to another role."""
        return any(address in self.replicas for address in self._retiring)

    @property
    def pieces(self) -> int:
        """The decode memory of all listed replicas."""
        return sum(station.total for station in self.decodes.values())

    def set_pool(self, pool: objects.ModelPool) -> None:
        """Takes over a changed configuration of the pool."""
        self.pool = pool
        target_s = pool.between_tokens_ms / 1000
        for station in self._known.values():
            if isinstance(station, engines.Decode):
                station.set_target(target_s, pool.decode_batch)

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Takes over the live and leaving replicas."""
        found = {replica.address: replica for replica in members}
        if found != self.replicas:
            self.replicas = found
            self._arrange()

    def set_retiring(self, addresses: frozenset[str]) -> None:
        """Gives no new work to replicas that are to change their role."""
        if addresses != self._retiring:
            self._retiring = addresses
            self._arrange()

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Takes over a load report, see docs/design/protocols.md.

        A report that is not understood is passed over.
        """
        if address not in self.replicas:
            return
        try:
            report = msgspec.convert(load, Report)
        except msgspec.ValidationError:
            return
        if report.role is not None:
            self._take_role(address, replicas.Role(report.role))
        station = self._known.get((address, self.role(address)))
        if station is None:
            return
        station.reported_at = now - report.age_s
        self._freshest = max(self._freshest, station.reported_at)
        if isinstance(station, engines.Decode):
            station.report(report.pieces_total, report.pieces_free, now)

    def role(self, address: str) -> replicas.Role:
        """Returns the role of a listed replica."""
        return self._reported.get(address) or self.replicas[address].role

    def usable_prefills(
        self, exclude: Iterable[str], now: float
    ) -> list[engines.Prefill]:
        """Returns the prefill engines that may get new work."""
        return self._usable(self.prefills.values(), exclude, now)

    def usable_decodes(
        self, exclude: Iterable[str], now: float
    ) -> list[engines.Decode]:
        """Returns the decode engines that may get new work."""
        return self._usable(self.decodes.values(), exclude, now)

    def _usable(
        self, known: Iterable[Engine], exclude: Iterable[str], now: float
    ) -> list[Engine]:
        """Returns the engines that may get new work.

        One that failed a single request is left out only while there are
        others, since the fault may have been the request's own.
        """
        open_to = [
            station
            for station in known
            if station.usable(now, self._freshest)
            and station.address not in exclude
        ]
        steady = [x for x in open_to if not x.doubted(now)]
        return steady or open_to

    def _take_role(self, address: str, role: replicas.Role) -> None:
        """Takes over the role that an engine reports."""
        if self.role(address) is not role:
            self._reported[address] = role
            self._arrange()

    def _arrange(self) -> None:
        """Puts each listed replica into its role."""
        self.prefills = {}
        self.decodes = {}
        for address, replica in self.replicas.items():
            if self.role(address) is replicas.Role.PLAIN:
                continue
            station = self._station(address, self.role(address))
            station.leaving = replica.leaving or address in self._retiring
            if isinstance(station, engines.Prefill):
                self.prefills[address] = station
            elif isinstance(station, engines.Decode):
                self.decodes[address] = station
        self._known = {
            key: station
            for key, station in self._known.items()
            if key[0] in self.replicas or station.busy
        }
        for address in set(self._reported) - set(self.replicas):
            del self._reported[address]

    def _station(self, address: str, role: replicas.Role) -> engines.Station:
        """Returns the station of an engine, which keeps what it held."""
        found = self._known.get((address, role))
        if found is None:
            if role is replicas.Role.PREFILL:
                found = engines.Prefill(address)
            else:
                target_s = self.pool.between_tokens_ms / 1000
                limit = self.pool.decode_batch
                found = engines.Decode(address, target_s, limit)
            self._known[address, role] = found
        return found
