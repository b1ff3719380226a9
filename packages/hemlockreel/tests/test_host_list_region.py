"""All daemons know within 4 s that a backend server is leaving.

This holds while readers die, fall silent or are replaced, and while messages
are lost.
"""

import itertools

import pytest

from hemlockreel import host_list
from hemlockreel import readers
from hemlockreel import replicas
from hemlockreel_standins import helper
from hemlockreel_standins import region

BOUND_S = 4.0
HOSTS = 12
DECODE = replicas.Role.DECODE
LIVE = helper.make_host_list(*[DECODE] * 6).hosts
LEAVING_ADDRESS = LIVE[2].address


def mark_leaving(listed):
    return tuple(
        replica._replace(leaving=replica.address == LEAVING_ADDRESS)
        for replica in listed
    )


def make_rig(count=HOSTS):
    rig = region.Region(count)
    rig.listed = LIVE
    rig.run(8)
    assert is_live_by_board(rig) == [True] * count
    return rig


def is_live_by_board(rig):
    found = []
    for board in rig.boards.values():
        is_live_everywhere = board.state(host_list.State).replicas.get(
            LEAVING_ADDRESS
        )
        found.append(
            is_live_everywhere is not None and not is_live_everywhere.leaving
        )
    return found


def all_leaving(rig):
    return not any(is_live_by_board(rig))


def kill_reader(rig):
    rig.kill(reader_numbers(rig)[0])


def kill_other_reader(rig):
    rig.kill(reader_numbers(rig)[-1])


def silence_reader(rig):
    rig.silent.add(reader_numbers(rig)[0])


def lose_messages(rig):
    rig.lost = 0.3


def replace_reader(rig):
    number = reader_numbers(rig)[0]
    rig.kill(number)
    rig.start(number)
    rig.refresh_members()


def reader_numbers(rig):
    return [
        number
        for number, board in rig.boards.items()
        if readers._preference_rank(board, host_list.DOCUMENT_PREFIX)
        < readers.READERS_PER_SOURCE
    ]


FAULTS = [
    kill_reader,
    kill_other_reader,
    silence_reader,
    lose_messages,
    replace_reader,
]


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize(
    "faults",
    [(fault,) for fault in FAULTS] + list(itertools.combinations(FAULTS, 2)),
    ids=lambda faults: "+".join(fault.__name__ for fault in faults),
)
def test_leaving_under_faults(faults, delay_s):
    rig = make_rig()
    rig.listed = mark_leaving(LIVE)
    # The faults occur before, during and after the readers' next reading.
    rig.run(delay_s)
    for fault in faults:
        if reader_numbers(rig):
            fault(rig)
    took_s = delay_s + rig.run_until(lambda: all_leaving(rig), 20)
    assert took_s < BOUND_S


def test_leaving_in_a_region_of_84_hosts():
    rig = make_rig(84)
    rig.listed = mark_leaving(LIVE)
    assert rig.run_until(lambda: all_leaving(rig), 20) < BOUND_S


def test_leaving_and_returning_with_the_same_address():
    rig = make_rig()
    for _ in range(3):
        rig.listed = mark_leaving(LIVE)
        assert rig.run_until(lambda: all_leaving(rig), 20) < BOUND_S
        rig.listed = LIVE
        assert rig.run_until(lambda: all(is_live_by_board(rig)), 20) < BOUND_S


def test_replica_missing_from_the_list_counts_as_leaving():
    rig = make_rig()
    rig.listed = tuple(
        host for host in LIVE if host.address != LEAVING_ADDRESS
    )
    assert rig.run_until(lambda: all_leaving(rig), 20) < BOUND_S


def test_unavailable_list_removes_no_replica():
    rig = make_rig()
    rig.silent.update(rig.boards)
    rig.run(120)
    assert all(is_live_by_board(rig))
    ages = [
        host_list.reading_age_s(board, rig.now)
        for board in rig.boards.values()
    ]
    assert min(ages) > 100


def test_old_reading_of_a_dead_reader_does_not_delay_a_new_replica():
    rig = make_rig()
    kill_reader(rig)
    new = helper.make_host_list(DECODE, first_port=9200).hosts
    rig.listed = LIVE + new

    def is_live_everywhere():
        return all(
            new[0].address in board.state(host_list.State).replicas
            and not board.state(host_list.State)
            .replicas[new[0].address]
            .leaving
            for board in rig.boards.values()
        )

    assert (
        rig.run_until(is_live_everywhere, 20) < 2 * host_list.MAX_READING_LAG_S
    )
