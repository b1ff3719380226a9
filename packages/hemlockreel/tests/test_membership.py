"""Faults of membership; the bounds are those of docs/design/membership.md."""

import pytest

from hemlockreel import actions
from hemlockreel import events
from hemlockreel import membership
from hemlockreel import precedence
from hemlockreel import probes
from hemlockreel import process_pauses
from hemlockreel_standins import fabric as fabrics

GONE_WITHIN_S = 2.6  # leaves 1.4 s of the 4 s to find and cancel requests
ZONES = ("trondheim-a", "trondheim-b", "orkanger")


def host(index):
    return f"10.0.{index % 3}.{index}:9000"


def step(board, event, now):
    """Runs the controllers of the membership alone."""
    done = list(process_pauses.handle(event, board, now))
    done += membership.handle(event, board, now)
    return done + list(probes.handle(event, board, now))


def region(count=12, seed=1):
    """Returns a joined region; host i is in the zone i modulo 3."""
    made = fabrics.Fabric(seed)
    made.step = step
    for index in range(count):
        made.add(host(index), ZONES[index % 3], (host(0), host(1)))
    made.run(5.0)
    return made


def seen(made, at):
    return {member.host for member in membership.live_members(made.boards[at])}


def views(made):
    return [seen(made, at) for at in made.boards]


def everybody(count):
    return {host(index) for index in range(count)}


def of_zone(zone, count=12):
    return {host(index) for index in range(count) if ZONES[index % 3] == zone}


def removals(made, at):
    """Returns the members that ``at`` held for dead at any time."""
    logs = [log for log in made.told(at, actions.Log) if log.event == "member"]
    return {
        log.fields["member"] for log in logs if log.fields["state"] == "dead"
    }


@pytest.mark.parametrize("count", [2, 3, 12, 60])
def test_all_join_through_two_seeds(count):
    made = region(count)
    assert views(made) == [everybody(count)] * count


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("fault", ["killed", "frozen"])
@pytest.mark.parametrize("count", [2, 3, 12])
def test_silent_host_is_gone_in_time(fault, count, seed):
    made = region(count, seed)
    if fault == "killed":
        made.kill(host(1))
    else:
        made.frozen.add(host(1))
    made.run(GONE_WITHIN_S)
    left = everybody(count) - {host(1)}
    views_left = [seen(made, at) for at in sorted(left)]
    assert views_left == [left] * (count - 1)


def test_frozen_host_that_continues_comes_back_and_removes_nobody():
    made = region()
    made.frozen.add(host(5))
    made.run(10.0)
    made.frozen.clear()
    made.run(4.0)
    assert views(made) == [everybody(12)] * 12
    assert removals(made, host(5)) == set()


def accusers(made, suspected):
    """Returns the hosts that are about to remove ``suspected``."""
    return [
        at
        for at, board in made.boards.items()
        if suspected in board.state(probes.State).suspected_here
    ]


def test_pause_of_the_accuser_does_not_use_up_the_time_to_refute():
    made = region()
    made.frozen.add(host(3))
    while not accusers(made, host(3)):
        made.run(0.05)
    paused = accusers(made, host(3))
    made.frozen = set(paused)
    made.run(5.0)
    made.frozen.clear()
    made.run(4.0)
    assert [removals(made, at) for at in paused] == [set()] * len(paused)
    assert views(made) == [everybody(12)] * 12


def test_short_freeze_is_no_change():
    made = region()
    for _ in range(5):
        made.frozen.add(host(5))
        made.run(0.8)
        made.frozen.clear()
        made.run(3.0)
    assert [removals(made, at) for at in made.boards] == [set()] * 12


@pytest.mark.parametrize("direction", ["in", "out"])
def test_one_way_cut_between_two_hosts_is_no_change(direction):
    made = region()
    pair = (host(3), host(4))
    made.cuts.add(pair if direction == "in" else pair[::-1])
    made.run(30.0)
    assert [removals(made, at) for at in made.boards] == [set()] * 12


@pytest.mark.parametrize("direction", ["in", "out", "both"])
def test_host_cut_off_is_removed_once_and_removes_nobody(direction):
    made = region()
    others = everybody(12) - {host(3)}
    if direction in ("in", "both"):
        made.cut(others, {host(3)})
    if direction in ("out", "both"):
        made.cut({host(3)}, others)
    made.run(20.0)
    assert removals(made, host(3)) == set()
    for at in sorted(others):
        assert seen(made, at) == others
        changes = [
            log.fields["state"]
            for log in made.told(at, actions.Log)
            if log.event == "member" and log.fields["member"] == host(3)
        ]
        assert changes.count("dead") == 1
    made.cuts.clear()
    made.run(5.0)
    assert views(made) == [everybody(12)] * 12


@pytest.mark.parametrize("seed", range(5))
def test_zone_cut_off_keeps_the_others_in_its_table(seed):
    made = region(12, seed)
    inside = of_zone("orkanger")
    outside = everybody(12) - inside
    made.cut(inside, outside)
    made.cut(outside, inside)
    made.run(20.0)
    for at in sorted(inside):
        assert seen(made, at) == everybody(12)
        assert removals(made, at) == set()
        board = made.boards[at]
        assert membership.is_isolated(board)
        reachable = {m.host for m in membership.reachable_members(board)}
        assert reachable == inside
    for at in sorted(outside):
        assert seen(made, at) == outside
    made.cuts.clear()
    made.run(10.0)
    assert views(made) == [everybody(12)] * 12
    assert not any(membership.is_isolated(b) for b in made.boards.values())


def test_lost_zone_of_two_is_removed_once_the_list_drops_it():
    made = region(12)
    lost = {host(index) for index in range(6)}
    left = everybody(12) - lost
    for at in lost:
        made.kill(at)
    made.run(6.0)
    assert seen(made, host(7)) == everybody(12)
    listed = events.HostListRead((), tuple(sorted(left)))
    for at in left:
        made.post(at, listed)
    made.run(4.0)
    assert views(made) == [left] * 6


def test_replaced_host_is_known_by_its_new_epoch():
    made = region()
    made.add(host(4), ZONES[1], (host(0),), epoch=2)
    made.run(3.0)
    for board in made.boards.values():
        assert membership.find_member(board, host(4)).epoch == 2
    assert views(made) == [everybody(12)] * 12


@pytest.mark.parametrize("down_s", [0.5, 5.0])
def test_host_whose_clock_was_set_back_is_known_again(down_s):
    """The epoch comes from the time of day, which may go back."""
    made = region()
    made.add(host(4), ZONES[1], (host(0),), epoch=20)
    made.run(3.0)
    made.kill(host(4))
    made.run(down_s)
    made.add(host(4), ZONES[1], (host(0),), epoch=3)
    made.run(3.0)
    assert views(made) == [everybody(12)] * 12
    epochs = {
        membership.find_member(board, host(4)).epoch
        for board in made.boards.values()
    }
    assert epochs == {made.boards[host(4)].identity.epoch}


def test_graceful_stop_is_known_at_once_and_suspected_by_nobody():
    made = region()
    stopping = made.boards[host(2)]
    for action in membership.announce_leave(stopping):
        made.post(action.to, action.message)
    made.kill(host(2))
    made.run(0.1)
    left = everybody(12) - {host(2)}
    assert views(made) == [left] * 11
    made.run(10.0)
    for at in sorted(left):
        assert membership.find_member(made.boards[at], host(2)).state == "left"


def test_change_of_configuration_reaches_all_in_four_seconds():
    made = region(60)
    membership.table(made.boards[host(7)]).configuration = 12
    made.run(4.0)
    known = [
        membership.find_member(board, host(7)).configuration
        for board in made.boards.values()
    ]
    assert known == [12] * 60


def test_loss_of_one_message_in_twenty_removes_nobody():
    made = region(30)
    made.loss = 0.05
    made.run(120.0)
    assert [removals(made, at) for at in made.boards] == [set()] * 30


def test_old_rumour_does_not_revive_a_dead_member():
    made = region(3)
    rumour = membership.find_member(made.boards[host(0)], host(1))
    made.kill(host(1))
    made.run(GONE_WITHIN_S)
    board = made.boards[host(0)]
    assert list(membership.merge_update(board, rumour, made.now)) == []
    assert membership.find_member(board, host(1)).state == precedence.DEAD


def test_another_region_stays_out_of_the_table():
    made = region(3)
    far = "10.9.9.9:9000"
    made.add(far, "highlands-a", (host(0),), region="highlands")
    made.run(5.0)
    assert views(made)[:3] == [everybody(3)] * 3
    assert seen(made, far) == {far}


def test_bytes_a_second_do_not_grow_with_the_region():
    per_host = []
    for count in (12, 84):
        made = region(count)
        made.run(60.0)  # the news of the start have spread
        made.sent_bytes.clear()
        made.run(60.0)
        per_host.append(sum(made.sent_bytes.values()) / count / 60)
    assert max(per_host) < 1000  # a third of the 3 KB a second of a node
    assert per_host[1] < 1.2 * per_host[0]


def test_silent_connection_is_opened_anew_before_anybody_is_suspected():
    made = region(3)
    made.cuts.add((host(0), host(1)))
    while not made.told(host(0), actions.Reconnect):
        made.run(0.1)
        assert made.now < 10.0
    assert made.told(host(0), actions.Reconnect)[0].to == host(1)
    made.cuts.clear()  # The new connection works.
    made.run(5.0)
    assert [removals(made, at) for at in made.boards] == [set()] * 3
