"""Shards: groups of replicas of one service that have the same owner.

A shard of a model has both prefill and decode replicas, so that one daemon
decides on the prefill and the decode memory of a request at once.

The replicas of an availability zone form a group of their own if there are
enough of them to serve requests without the rest of the region; the others
form a shared group. A group is split by the bits of the hashes of its
replicas' addresses, as in an extendible hash table, until its parts are
small. A replica that joins or leaves therefore changes only its own shard, or
splits it, or merges it with one other.
"""

from collections.abc import Iterable
from typing import Any

import xxhash

from . import board as boards
from . import host_list
from . import membership
from . import rendezvous
from . import replicas

MAX_REPLICAS = 12  # a larger shard is split if both parts can serve requests
MIN_ZONE_REPLICAS = 6  # a smaller availability zone has no group of its own
MAX_SPLIT_BITS = 16
SHARED_GROUP = "shared"  # of availability zones without a group of their own

Members = list[replicas.Replica]


class State:
    """Cached shards and owner ranks.

    The shards are those of ``replica_list``; the ranks are those of the
    member table at ``table_version``.
    """

    def __init__(self):
        self.replica_list: Any = None
        self.by_service: dict[str, dict[str, Members]] = {}
        self.table_version = -1
        self.ranked_hosts: dict[str, list[str]] = {}


def split(
    service: str, region: str, members: Iterable[replicas.Replica]
) -> dict[str, Members]:
    """Returns the shards of ``service`` in ``region`` with their replicas."""
    found: dict[str, Members] = {}
    for group, listed in _groups(sorted(members)).items():
        _split_group(f"{service}@{region}/{group}/", "", listed, found)
    if not found:
        found[f"{service}@{region}/{SHARED_GROUP}/"] = []
    return found


def _groups(members: Members) -> dict[str, Members]:
    """Returns the replicas by group.

    A group is an availability zone with enough replicas, or the shared one.
    """
    zones: dict[str, Members] = {}
    for replica in members:
        zones.setdefault(replica.zone, []).append(replica)
    rest: Members = []
    groups: dict[str, Members] = {}
    for zone, listed in sorted(zones.items()):
        if len(listed) >= MIN_ZONE_REPLICAS and _can_serve(listed):
            groups[zone] = listed
        else:
            rest += listed
    if rest and groups and not _can_serve(rest):
        # The remaining replicas alone can't serve requests.
        first = min(groups)
        groups[first] = groups[first] + rest
    elif rest:
        groups[SHARED_GROUP] = rest
    return groups


def _can_serve(members: Members) -> bool:
    """Returns whether ``members`` can serve requests on their own.

    They can if all are plain, or if there are both prefill and decode
    replicas.
    """
    roles = {replica.role for replica in members}
    return roles == {replicas.Role.PLAIN} or roles >= {
        replicas.Role.PREFILL,
        replicas.Role.DECODE,
    }


def _split_group(
    prefix: str, bits: str, members: Members, found: dict[str, Members]
) -> None:
    """Adds the shards of the part ``bits`` of a group to ``found``.

    The part has the replicas whose hashes start with ``bits``, counted from
    the lowest bit.
    """
    if len(members) > MAX_REPLICAS and len(bits) < MAX_SPLIT_BITS:
        parts: tuple[Members, Members] = ([], [])
        for replica in members:
            parts[_hash_bit(replica.address, len(bits))].append(replica)
        if _can_serve(parts[0]) and _can_serve(parts[1]):
            _split_group(prefix, bits + "0", parts[0], found)
            _split_group(prefix, bits + "1", parts[1], found)
            return
    found[prefix + bits] = members


def _hash_bit(address: str, index: int) -> int:
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
    if state.replica_list is not listed:
        state.replica_list = listed
        state.by_service.clear()
    found = state.by_service.get(service)
    if found is None:
        region = board.identity.region
        found = split(service, region, host_list.replicas_of(board, service))
        state.by_service[service] = found
    return found


def rank_owners(board: boards.Board, shard: str) -> list[str]:
    """Returns the hosts that may own ``shard``, with the owner first.

    Hosts in the shard's availability zone come before hosts in others.
    Unreachable hosts come after these, and draining ones last. Hosts of the
    same kind are in the order of a rendezvous hash.
    """
    state = board.state(State)
    table = membership.table(board)
    if state.table_version != table.version:
        state.table_version = table.version
        state.ranked_hosts.clear()
    ranked = state.ranked_hosts.get(shard)
    if ranked is None:
        ranked = state.ranked_hosts[shard] = _rank_hosts(board, shard)
    return list(ranked)


def _rank_hosts(board: boards.Board, shard: str) -> list[str]:
    zone = zone_of(shard)
    unreachable_hosts = membership.table(board).unreachable
    sort_keys = {
        member.host: (
            member.draining,
            member.host in unreachable_hosts,
            member.zone != zone,
        )
        for member in membership.live_members(board, board.identity.region)
    }
    ranked = rendezvous.rank(shard, sort_keys)
    return sorted(ranked, key=lambda host: sort_keys[host])


def is_owner(board: boards.Board, shard: str) -> bool:
    """Returns whether this daemon owns ``shard`` by its member table."""
    return rank_owners(board, shard)[:1] == [board.identity.host]
