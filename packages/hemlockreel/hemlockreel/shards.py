"""Shards: groups of replicas of one service that share an owner.

Prefill and decode replicas of a shard are granted by one daemon, so a prefill
place and the decode memory behind it are one decision in one place.

The replicas of an availability zone form a group of their own if they can
serve a request without the rest of the region; the others share a group. A
group is split by the bits of the hashes of its replicas' addresses, like an
extendible hash table, until its parts are small. So a replica that joins or
leaves changes one shard, or splits or joins two, and no other.
"""

from collections.abc import Iterable
from typing import Any

import xxhash

from . import board as boards
from . import host_list
from . import membership
from . import rendezvous
from . import replicas

MAX_REPLICAS = 12  # a larger shard is split if both parts can serve
ZONE_REPLICAS = 6  # a smaller availability zone has no group of its own
MAX_BITS = 16
SHARED = "shared"  # the group of the zones without one of their own

Members = list[replicas.Replica]


class State:
    """Shards and owners, kept until the lists behind them change."""

    def __init__(self):
        self.listed: Any = None
        self.by_service: dict[str, dict[str, Members]] = {}
        self.version = -1
        self.owners: dict[str, list[str]] = {}


def split(
    service: str, region: str, members: Iterable[replicas.Replica]
) -> dict[str, Members]:
    """Returns the shards of ``service`` in ``region`` with their replicas."""
    found: dict[str, Members] = {}
    for group, listed in _groups(sorted(members)).items():
        _divide(f"{service}@{region}/{group}/", "", listed, found)
    if not found:
        found[f"{service}@{region}/{SHARED}/"] = []
    return found


def _groups(members: Members) -> dict[str, Members]:
    """Returns the replicas by availability zone, small zones together."""
    zones: dict[str, Members] = {}
    for replica in members:
        zones.setdefault(replica.zone, []).append(replica)
    rest: Members = []
    groups: dict[str, Members] = {}
    for zone, listed in sorted(zones.items()):
        if len(listed) >= ZONE_REPLICAS and _whole(listed):
            groups[zone] = listed
        else:
            rest += listed
    if rest and groups and not _whole(rest):
        # Alone these replicas could serve nothing.
        first = min(groups)
        groups[first] = groups[first] + rest
    elif rest:
        groups[SHARED] = rest
    return groups


def _whole(members: Members) -> bool:
    """Returns whether ``members`` can serve requests without others."""
    roles = {replica.role for replica in members}
    return roles == {replicas.Role.PLAIN} or roles >= {
        replicas.Role.PREFILL,
        replicas.Role.DECODE,
    }


def _divide(
    prefix: str, bits: str, members: Members, found: dict[str, Members]
) -> None:
    """Adds the shards of a group, or of the part of it named ``bits``."""
    if len(members) > MAX_REPLICAS and len(bits) < MAX_BITS:
        parts: tuple[Members, Members] = ([], [])
        for replica in members:
            parts[_bit(replica.address, len(bits))].append(replica)
        if _whole(parts[0]) and _whole(parts[1]):
            _divide(prefix, bits + "0", parts[0], found)
            _divide(prefix, bits + "1", parts[1], found)
            return
    found[prefix + bits] = members


def _bit(address: str, index: int) -> int:
    return xxhash.xxh64_intdigest(address.encode()) >> index & 1


def zone_of(shard: str) -> str:
    """Returns the availability zone of ``shard``, or :data:`SHARED`.

    >>> zone_of("lesar@midt-norge/orkanger/01")
    'orkanger'
    """
    return shard.split("/")[1]


def service_of(shard: str) -> str:
    """Returns the service of ``shard``.

    >>> service_of("lesar@midt-norge/orkanger/01")
    'lesar'
    """
    return shard.partition("@")[0]


def get(board: boards.Board, service: str) -> dict[str, Members]:
    """Returns the shards of ``service`` in this daemon's region."""
    state = board.state(State)
    listed = board.state(host_list.State).replicas
    if state.listed is not listed:
        state.listed = listed
        state.by_service.clear()
    found = state.by_service.get(service)
    if found is None:
        region = board.identity.region
        found = split(service, region, host_list.replicas_of(board, service))
        state.by_service[service] = found
    return found


def rank_owners(board: boards.Board, shard: str) -> list[str]:
    """Returns the hosts that may own ``shard``, the owner first.

    Hosts of the shard's availability zone come before others, then come hosts
    out of reach, and last those that are about to stop.
    """
    state = board.state(State)
    table = membership.table(board)
    if state.version != table.version:
        state.version = table.version
        state.owners.clear()
    ranked = state.owners.get(shard)
    if ranked is None:
        ranked = state.owners[shard] = _rank(board, shard)
    return list(ranked)


def _rank(board: boards.Board, shard: str) -> list[str]:
    zone = zone_of(shard)
    missing = membership.table(board).unreachable
    takers = {
        member.host: (
            member.draining,
            member.host in missing,
            member.zone != zone,
        )
        for member in membership.live_members(board, board.identity.region)
    }
    ranked = rendezvous.rank(shard, takers)
    return sorted(ranked, key=lambda host: takers[host])


def is_owner(board: boards.Board, shard: str) -> bool:
    """Returns whether this daemon believes that it owns ``shard``."""
    return rank_owners(board, shard)[:1] == [board.identity.host]
