"""Callers resume streams at any host while two software versions serve."""

import pytest

from hemlockreel import outcomes
from hemlockreel_standins import stream_rig

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import store_fanout
from hemlockreel.forwarding import stream_records
from hemlockreel.forwarding import stream_versions

KEEP_S = stream_versions.KEEP_S


def is_final(refused):
    assert refused.reason is outcomes.Reason.STREAM_LOST
    assert refused.ran is outcomes.Ran.NOT_RUN
    return refused.retry_after_s is None


def mixed_site(hosts=13):
    site = stream_rig.Site(hosts)
    site.fleet.fabric.run(2.0)
    site.list_versions("v1", "v2")
    site.fleet.fabric.run(2.0)
    return site


@pytest.mark.parametrize("hosts", [1, 13, 195])
def test_any_host_knows_which_version_began_a_stream(hosts):
    site = mixed_site(hosts)
    ids = [
        site.begin(site.hosts[turn % hosts], ("v1", "v2")[turn % 2])
        for turn in range(8)
    ]
    site.fleet.fabric.run(0.1)
    for turn, id in enumerate(ids):
        host = site.hosts[(3 * turn + 1) % hosts]
        assert site.ask(host, id) == site.began[id]


def test_streams_from_before_the_second_version_are_known():
    site = stream_rig.Site()
    site.fleet.fabric.run(KEEP_S + 2.0)
    id = site.begin(site.hosts[0], "v1")
    site.fleet.fabric.run(1.0)
    site.list_versions("v1", "v2")
    site.fleet.fabric.run(1.0)
    site.fleet.fabric.kill(site.hosts[0])
    assert site.ask(site.hosts[5], id) == "v1"


def test_a_service_with_one_version_needs_no_messages_and_writes():
    site = stream_rig.Site()
    site.fleet.fabric.run(KEEP_S + 2.0)
    writes, sent = site.fleet.writes, site.fleet.sent()
    site.fleet.fabric.run(3.0)
    idle = site.fleet.sent() - sent
    for turn in range(60):
        id = site.begin(site.hosts[turn % 13], "v1")
        site.fleet.fabric.run(0.05)
    assert site.fleet.sent() - sent - idle <= 1.1 * idle
    assert site.fleet.writes == writes
    assert site.ask(site.hosts[7], id) == "v1"
    assert site.ask(site.hosts[7], "of a host that was lost") == "v1"


def test_the_messages_of_a_stream_do_not_grow_with_the_hosts():
    counts = []
    for hosts in (20, 80):
        site = mixed_site(hosts)
        before = sum(
            type(each.message).__name__.startswith("Stream")
            for sent in site.fleet.fabric.sent.values()
            for each in sent
        )
        id = site.begin(site.hosts[0], "v1")
        site.fleet.fabric.run(0.1)
        site.ask(site.hosts[1], id)
        counts.append(
            sum(
                type(each.message).__name__.startswith("Stream")
                for sent in site.fleet.fabric.sent.values()
                for each in sent
            )
            - before
        )
    assert counts[0] == counts[1] <= 10


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v2",)])
def test_streams_outlast_all_hosts(versions):
    """ORDER of issue 27: all hosts were killed, and the first version left."""
    site = mixed_site()
    old = [site.begin(site.hosts[n], ("v1", "v2")[n % 2]) for n in range(6)]
    site.fleet.fabric.run(2.5)
    new = [site.begin(site.hosts[n], ("v1", "v2")[n % 2]) for n in range(6)]
    site.restart_all()
    site.list_versions(*versions)
    site.fleet.fabric.run(2.0)
    for id in old:
        assert site.ask(site.hosts[8], id) == site.began[id]
    for id in new:
        found = site.ask(site.hosts[9], id)
        assert found == site.began[id] or is_final(found)


def test_resumes_wait_for_the_record_when_the_store_is_away():
    site = mixed_site()
    id = site.begin(site.hosts[0], "v1")
    site.fleet.fabric.run(2.5)
    site.fleet.store_is_down = True
    site.restart_all()
    site.list_versions("v2")
    site.fleet.fabric.run(2.0)
    refused = site.ask(site.hosts[3], id)
    assert refused.reason is outcomes.Reason.STREAM_LOST
    assert refused.retry_after_s > 0
    site.fleet.store_is_down = False
    site.fleet.fabric.run(3.0)
    assert site.ask(site.hosts[3], id) == "v1"


def test_a_host_that_knows_only_the_old_version_asks_the_others():
    """It is cut off from the store, so its list is old."""
    site = stream_rig.Site()
    site.fleet.fabric.run(KEEP_S + 2.0)
    late = site.hosts[4]
    others = tuple(host for host in site.hosts if host != late)
    site.list_versions("v1", "v2", hosts=others)
    site.fleet.fabric.run(1.0)
    id = site.begin(others[0], "v2")
    site.fleet.fabric.run(0.1)
    assert site.ask(late, id) == "v2"
    assert site.ask(late, "unknown") not in ("v1", "v2")


def test_a_host_without_any_other_refuses_what_it_did_not_begin():
    site = mixed_site()
    alone = site.hosts[4]
    others = [host for host in site.hosts if host != alone]
    id = site.begin(others[0], "v1")
    own = site.begin(alone, "v2")
    site.fleet.fabric.cut([alone], others)
    site.fleet.fabric.cut(others, [alone])
    site.fleet.fabric.run(0.2)
    assert site.ask(alone, own) == "v2"
    found = site.ask(alone, id)
    assert found == "v1" or not is_final(found)


def test_a_host_that_was_cut_off_before_the_second_version_resumes_nothing():
    """It remembers streams for the others, and knows the old version only."""
    site = stream_rig.Site()
    site.fleet.fabric.run(KEEP_S + 2.0)
    board = site.fleet.fabric.boards[site.hosts[0]]
    alone = stream_versions.recorders(board)[0]
    others = tuple(host for host in site.hosts if host != alone)
    site.fleet.fabric.cut([alone], others)
    site.fleet.fabric.cut(others, [alone])
    site.list_versions("v1", "v2", hosts=others)
    site.fleet.fabric.run(0.5)
    id = site.begin(others[0], "v2")
    assert not is_final(site.ask(alone, id))


def test_a_stream_goes_on_while_a_recorder_is_silent():
    """One was just killed, and the others have fresh lists of one version."""
    site = stream_rig.Site()
    site.fleet.fabric.run(KEEP_S + 2.0)
    kind = store_fanout.ObjectKind.INSTANCES
    for host in site.hosts:
        read = store_fanout.StoreRead(kind, 9, False, era=site.fleet.era)
        site.fleet.fabric.post(host, read)
    board = site.fleet.fabric.boards[site.hosts[0]]
    gone, *_ = stream_versions.recorders(board)
    site.fleet.fabric.run(0.1)
    site.fleet.fabric.kill(gone)
    assert site.ask(site.hosts[-1], "of the host that was killed") == "v1"


def test_a_restored_store_is_written_again():
    site = mixed_site()
    id = site.begin(site.hosts[0], "v1")
    site.fleet.fabric.run(2.0)
    site.fleet.lose_store()
    site.fleet.fabric.run(3.0)
    site.restart_all()
    site.list_versions("v2")
    site.fleet.fabric.run(2.0)
    assert site.ask(site.hosts[3], id) == "v1"


def test_a_version_that_left_long_ago_is_forgotten():
    site = mixed_site()
    site.list_versions("v2")
    site.fleet.fabric.run(KEEP_S + 4.0)
    site.restart_all()
    site.list_versions("v2")
    site.fleet.fabric.run(2.0)
    assert site.ask(site.hosts[3], "unknown") == "v2"
    (stored,) = [
        found["value"]
        for path, found in site.fleet.objects.items()
        if stream_records.KIND in path
    ]
    assert [row[:2] for row in stored["versions"]] == [["lesar", "v2"]]
    assert stored["streams"] == []


def test_what_is_no_record_is_left_out():
    site = mixed_site()
    site.fleet.fabric.run(1.0)
    (path,) = [p for p in site.fleet.objects if stream_records.KIND in p]
    site.fleet.objects[path]["value"] = {
        "versions": [["lesar", 7, 0], None, ["lesar", "v1", 1.0]],
        "streams": [["s", "lesar", "v1", -1], "s", [1, 2]],
    }
    site.restart_all()
    site.list_versions("v1")
    site.fleet.fabric.run(2.0)
    assert site.ask(site.hosts[3], "s") == "v1"


def test_plain_services_have_no_streams():
    site = stream_rig.Site(1, ())
    plain = instances.Instance("s1", "orders", "s1:1", "z", 6, software="v9")
    listed = instances.InstancesListed((plain,))
    site.fleet.fabric.post(site.hosts[0], listed)
    site.fleet.fabric.run(1.0)
    board = site.fleet.fabric.boards[site.hosts[0]]
    state = board.state(stream_versions.State)
    assert not stream_versions.recent(state, "orders", 3.0)


def old_site(hosts):
    """A site at v1 only, for so long that v1 began every stream."""
    site = stream_rig.Site(hosts)
    site.fleet.fabric.run(1.0)
    for board in site.fleet.fabric.boards.values():
        state = board.state(stream_versions.State)
        state.started_at = site.fleet.fabric.now - KEEP_S - 1.0
    site.confirm_lists()
    return site


# ORDER of issue 30: a host that was cut off while v2 joined went on at v1.
@pytest.mark.parametrize(
    ("hosts", "rank"),
    [(3, 0), (3, 2), (13, 0), (13, 2), (13, None), (195, 0)],
)
def test_host_that_is_out_of_step_joins_no_versions(hosts, rank):
    site = old_site(hosts)
    ranked = stream_versions.recorders(site.fleet.fabric.boards[site.hosts[0]])
    others = [each for each in site.hosts if each not in ranked]
    alone = ranked[rank] if rank is not None else (others or ranked)[0]
    rest = [each for each in site.hosts if each != alone]
    site.fleet.fabric.cut([alone], rest)
    site.fleet.fabric.cut(rest, [alone])
    site.list_versions("v1", "v2", hosts=tuple(rest))
    ids = [site.begin(rest[turn % len(rest)], "v2") for turn in range(6)]
    site.fleet.fabric.run(1.5)
    found = site.ask_all([(alone, id) for id in ids])
    assert all(found != "v1" for found in found)
    assert not any(is_final(each) for each in found)


def test_host_that_stood_still_joins_no_versions():
    site = old_site(13)
    alone = stream_versions.recorders(site.fleet.fabric.boards[site.hosts[0]])[
        0
    ]
    rest = [each for each in site.hosts if each != alone]
    site.fleet.fabric.frozen.add(alone)
    site.list_versions("v1", "v2", hosts=tuple(rest))
    ids = [site.begin(rest[turn % len(rest)], "v2") for turn in range(6)]
    site.fleet.fabric.run(2.0)
    site.fleet.fabric.frozen.clear()
    assert set(site.ask_all([(alone, id) for id in ids])) == {"v2"}


# Refusing is no way out: one recorder that is gone must not cost streams.
@pytest.mark.parametrize("hosts", [4, 13])
def test_streams_go_on_while_one_recorder_is_silent(hosts):
    site = old_site(hosts)
    id = site.begin(site.hosts[0], "v1")
    ranked = stream_versions.recorders(site.fleet.fabric.boards[site.hosts[0]])
    site.fleet.fabric.kill(ranked[1])
    asker = next(e for e in site.hosts[1:] if e not in ranked)
    assert site.ask(asker, id) == "v1"
