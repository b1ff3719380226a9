"""A leaving backend server is known everywhere within 4 s."""

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
LIVE = helper.listed(*[DECODE] * 6).hosts
ONE = LIVE[2].address


def leave(listed):
    return tuple(
        replica._replace(leaving=replica.address == ONE) for replica in listed
    )


def make(count=HOSTS):
    made = region.Region(count)
    made.listed = LIVE
    made.run(8)
    assert live(made) == [True] * count
    return made


def live(made):
    found = []
    for board in made.boards.values():
        known = board.state(host_list.State).replicas.get(ONE)
        found.append(known is not None and not known.leaving)
    return found


def all_leaving(made):
    return not any(live(made))


def kill_reader(made):
    made.kill(reader_numbers(made)[0])


def kill_other_reader(made):
    made.kill(reader_numbers(made)[-1])


def silence_reader(made):
    made.silent.add(reader_numbers(made)[0])


def lose_messages(made):
    made.lost = 0.3


def replace_reader(made):
    number = reader_numbers(made)[0]
    made.kill(number)
    made.start(number)
    made.know_all()


def reader_numbers(made):
    return [
        number
        for number, board in made.boards.items()
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
    made = make()
    made.listed = leave(LIVE)
    # The faults fall before, at and after the readers' next reading.
    made.run(delay_s)
    for fault in faults:
        if reader_numbers(made):
            fault(made)
    took_s = delay_s + made.run_until(lambda: all_leaving(made), 20)
    assert took_s < BOUND_S


def test_leaving_in_a_region_of_the_letters_size():
    made = make(84)
    made.listed = leave(LIVE)
    assert made.run_until(lambda: all_leaving(made), 20) < BOUND_S


def test_leaving_and_coming_back_under_the_same_address():
    made = make()
    for _ in range(3):
        made.listed = leave(LIVE)
        assert made.run_until(lambda: all_leaving(made), 20) < BOUND_S
        made.listed = LIVE
        assert made.run_until(lambda: all(live(made)), 20) < BOUND_S


def test_gone_at_once_counts_as_leaving():
    made = make()
    made.listed = tuple(host for host in LIVE if host.address != ONE)
    assert made.run_until(lambda: all_leaving(made), 20) < BOUND_S


def test_list_that_is_down_removes_nothing():
    made = make()
    made.silent.update(made.boards)
    made.run(120)
    assert all(live(made))
    ages = [
        host_list.reading_age_s(board, made.now)
        for board in made.boards.values()
    ]
    assert min(ages) > 100


def test_old_reading_of_a_dead_reader_does_not_hold_a_new_replica_back():
    made = make()
    kill_reader(made)
    new = helper.listed(DECODE, first_port=9200).hosts
    made.listed = LIVE + new

    def known():
        return all(
            new[0].address in board.state(host_list.State).replicas
            and not board.state(host_list.State)
            .replicas[new[0].address]
            .leaving
            for board in made.boards.values()
        )

    assert made.run_until(known, 20) < 2 * host_list.MAX_READING_LAG_S
