"""Shards: groups of replicas of one service that share an owner.

Prefill and decode replicas of a shard are granted by one daemon, so a prefill
place and the decode memory behind it are one decision in one place.
"""

from collections.abc import Iterable

from . import board as boards
from . import hosts
from . import membership
from . import rendezvous
from . import replicas

SHARD_REPLICAS = 8  # target size; larger services are split


def name(service: str, region: str, index: int) -> str:
    """Returns the name of a shard."""
    return f"{service}@{region}/{index}"


def split(
    service: str, region: str, members: Iterable[replicas.Replica]
) -> dict[str, list[replicas.Replica]]:
    """Returns the shards of ``service`` in ``region`` with their replicas."""
    known = sorted(members)
    count = max(1, round(len(known) / SHARD_REPLICAS))
    names = [name(service, region, index) for index in range(count)]
    found: dict[str, list[replicas.Replica]] = {shard: [] for shard in names}
    for replica in known:
        found[rendezvous.rank(replica.address, names)[0]].append(replica)
    return found


def get(
    board: boards.Board, service: str
) -> dict[str, list[replicas.Replica]]:
    """Returns the shards of ``service`` in this daemon's region."""
    return split(service, board.identity.region, hosts.get(board, service))


def rank_owners(board: boards.Board, shard: str) -> list[str]:
    """Returns the hosts that may own ``shard``, the owner first."""
    members = membership.live(board, board.identity.region)
    takers = [member.host for member in members if not member.draining]
    return rendezvous.rank(shard, takers)
