"""Stability of shards and order of owners.

The bounds are those of docs/design/ownership.md.
"""

import random

import pytest

from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import replicas
from hemlockreel import shards
from hemlockreel_standins import helper

REGION = "midt-norge"
ROLES = [replicas.Role.PREFILL] + 2 * [replicas.Role.DECODE]
ZONES = ("orkanger", "trondheim-a", "trondheim-b")


def service(count, seed=1, zones=ZONES):
    rng = random.Random(seed)
    return [
        replicas.Replica(
            f"10.{index}.{rng.randrange(250)}.1:80",
            "lesar",
            zones[index % len(zones)],
            REGION,
            rng.choice(ROLES),
        )
        for index in range(count)
    ]


def shard_by_address(members):
    found = shards.split("lesar", REGION, members)
    return {m.address: name for name, held in found.items() for m in held}


def test_small_service_is_one_shard():
    members = service(5)
    found = shards.split("lesar", REGION, members)
    assert list(found) == ["lesar@midt-norge/shared/"]
    assert sorted(found["lesar@midt-norge/shared/"]) == sorted(members)


@pytest.mark.parametrize("seed", range(5))
def test_each_shard_can_serve_requests_and_is_in_one_zone(seed):
    members = service(108, seed)
    found = shards.split("lesar", REGION, members)
    assert sum(map(len, found.values())) == len(members)
    for held in found.values():
        assert {m.role for m in held} >= {
            replicas.Role.PREFILL,
            replicas.Role.DECODE,
        }
        assert len({m.zone for m in held}) == 1


@pytest.mark.parametrize("seed", range(5))
def test_leaving_replica_moves_at_most_two_shards_of_others(seed):
    members = service(108, seed)
    before = shard_by_address(members)
    for gone in members:
        after = shard_by_address([m for m in members if m != gone])
        moved = [at for at, name in after.items() if before[at] != name]
        assert len(moved) <= 2 * shards.MAX_REPLICAS


def test_owner_is_in_the_zone_of_the_shard_if_possible():
    board = helper.make_board(zone="orkanger")
    table = membership.table(board)
    for index in range(6):
        zone = ZONES[index % 3]
        host = f"10.0.0.{index}:9000"
        table.members[host] = messages.MemberUpdate(
            host, zone, REGION, host, 1, 0, "alive"
        )
    ranked = shards.rank_owners(board, "lesar@midt-norge/trondheim-b/")
    zones = [membership.find_member(board, host).zone for host in ranked]
    assert zones[:2] == ["trondheim-b"] * 2
    assert "trondheim-b" not in zones[2:]


def test_unreachable_host_ranks_last():
    board = helper.make_board(zone="orkanger")
    shard = "lesar@midt-norge/trondheim-b/"
    far = messages.MemberUpdate(
        "10.0.0.1:9000", "trondheim-b", REGION, "c", 1, 0, "alive"
    )
    assert list(membership.merge_update(board, far, 0.0))
    assert shards.rank_owners(board, shard)[0] == far.host
    membership.table(board).unreachable.add(far.host)
    membership.table(board).version += 1
    assert shards.rank_owners(board, shard)[-1] == far.host


def test_draining_host_ranks_last_and_owns_shards_without_another():
    board = helper.make_board()
    shard = "lesar@midt-norge/shared/"
    membership.table(board).draining = True
    membership.table(board).version += 1
    assert shards.is_owner(board, shard)
    other = messages.MemberUpdate(
        "10.0.0.1:9000", "orkanger", REGION, "c", 1, 0, "alive"
    )
    assert list(membership.merge_update(board, other, 0.0))
    assert shards.rank_owners(board, shard) == [other.host, helper.HOST]
