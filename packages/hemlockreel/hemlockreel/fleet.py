"""The engines of a shard: which exist, in which role, and which are usable.

An engine's state is kept by address and role, so that grants at an engine
that has changed its role are still counted.
"""

from collections.abc import Iterable
import math
from typing import Literal
from typing import TypeVar

import msgspec

from . import declared_objects
from . import engines
from . import replicas

AnyEngine = TypeVar("AnyEngine", engines.PrefillEngine, engines.DecodeEngine)


class LoadReport(msgspec.Struct, frozen=True):
    """The used part of an engine's load report.

    A piece in the engines' protocol is a KV block.
    """

    pieces_total: int
    pieces_free: int
    role: Literal["prefill", "decode"] | None = None
    age_s: float = 0.0


class Fleet:
    """The engines of the listed replicas of one shard.

    The host list says which replicas exist. The role that an engine reports
    takes precedence over the listed one.
    """

    def __init__(self, pool: declared_objects.ModelPool):
        self.pool = pool
        self.replicas: dict[str, replicas.Replica] = {}
        self.prefills: dict[str, engines.PrefillEngine] = {}
        self.decodes: dict[str, engines.DecodeEngine] = {}
        self._engines: dict[tuple[str, replicas.Role], engines.Engine] = {}
        self._reported_roles: dict[str, replicas.Role] = {}
        self._retiring: frozenset[str] = frozenset()
        self._newest_report_at = -math.inf

    @property
    def is_role_change_pending(self) -> bool:
        """Whether a listed replica is retired for a change."""
        return any(address in self.replicas for address in self._retiring)

    @property
    def capacity_kv_blocks(self) -> int:
        """The KV blocks of all listed decode engines."""
        return sum(engine.total_kv_blocks for engine in self.decodes.values())

    def set_pool(self, pool: declared_objects.ModelPool) -> None:
        """Applies a changed configuration of the pool."""
        self.pool = pool
        target_s = pool.between_tokens_ms / 1000
        for engine in self._engines.values():
            if isinstance(engine, engines.DecodeEngine):
                engine.set_target(target_s, pool.decode_batch)

    def set_replicas(self, members: Iterable[replicas.Replica]) -> None:
        """Replaces the list of live and leaving replicas."""
        listed = {replica.address: replica for replica in members}
        if listed != self.replicas:
            self.replicas = listed
            self._assign_roles()

    def set_retiring(self, addresses: frozenset[str]) -> None:
        """Sets the replicas that get no new work since they are to change."""
        if addresses != self._retiring:
            self._retiring = addresses
            self._assign_roles()

    def set_load(self, address: str, load: dict, now: float) -> None:
        """Applies a load report, see docs/design/protocols.md.

        Reports of unlisted replicas and malformed ones are ignored.
        """
        if address not in self.replicas:
            return
        try:
            report = msgspec.convert(load, LoadReport)
        except msgspec.ValidationError:
            return
        if report.role is not None:
            self._apply_reported_role(address, replicas.Role(report.role))
        engine = self._engines.get((address, self.role(address)))
        if engine is None:
            return
        engine.reported_at = now - report.age_s
        self._newest_report_at = max(
            self._newest_report_at, engine.reported_at
        )
        if isinstance(engine, engines.DecodeEngine):
            engine.apply_report(report.pieces_total, report.pieces_free, now)

    def role(self, address: str) -> replicas.Role:
        """Returns the role of a listed replica."""
        return self._reported_roles.get(address) or self.replicas[address].role

    def usable_prefills(
        self, exclude: Iterable[str], now: float
    ) -> list[engines.PrefillEngine]:
        """Returns the prefill engines that may get new work."""
        return self._usable(self.prefills.values(), exclude, now)

    def usable_decodes(
        self, exclude: Iterable[str], now: float
    ) -> list[engines.DecodeEngine]:
        """Returns the decode engines that may get new work."""
        return self._usable(self.decodes.values(), exclude, now)

    def _usable(
        self,
        candidates: Iterable[AnyEngine],
        exclude: Iterable[str],
        now: float,
    ) -> list[AnyEngine]:
        """Returns the engines that may get new work.

        An engine that just failed a single request is left out only if there
        are others, since the request may have been at fault.
        """
        available = [
            engine
            for engine in candidates
            if engine.is_usable(now, self._newest_report_at)
            and engine.address not in exclude
        ]
        trusted = [x for x in available if not x.is_suspect(now)]
        return trusted or available

    def _apply_reported_role(self, address: str, role: replicas.Role) -> None:
        """Applies the role that an engine reports."""
        if self.role(address) is not role:
            self._reported_roles[address] = role
            self._assign_roles()

    def _assign_roles(self) -> None:
        """Rebuilds ``prefills`` and ``decodes`` from the list and the roles.

        The state of unlisted engines is dropped once they hold no grant.
        """
        self.prefills = {}
        self.decodes = {}
        for address, replica in self.replicas.items():
            if self.role(address) is replicas.Role.PLAIN:
                continue
            engine = self._engine(address, self.role(address))
            engine.draining = replica.leaving or address in self._retiring
            if isinstance(engine, engines.PrefillEngine):
                self.prefills[address] = engine
            elif isinstance(engine, engines.DecodeEngine):
                self.decodes[address] = engine
        self._engines = {
            key: engine
            for key, engine in self._engines.items()
            if key[0] in self.replicas or engine.is_busy
        }
        for address in set(self._reported_roles) - set(self.replicas):
            del self._reported_roles[address]

    def _engine(self, address: str, role: replicas.Role) -> engines.Engine:
        """Returns the engine's state in ``role``, new or as it was left."""
        engine = self._engines.get((address, role))
        if engine is None:
            if role is replicas.Role.PREFILL:
                engine = engines.PrefillEngine(address)
            else:
                target_s = self.pool.between_tokens_ms / 1000
                limit = self.pool.decode_batch
                engine = engines.DecodeEngine(address, target_s, limit)
            self._engines[address, role] = engine
        return engine
