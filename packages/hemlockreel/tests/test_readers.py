from hemlockreel import configuration_reader
from hemlockreel import events
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import precedence
from hemlockreel import readers
from hemlockreel_standins import helper

HOSTS = 84  # the size of the region that the design is for
SOURCE = "configuration"


def make_region():
    boards = [
        helper.make_board(host=f"127.0.0.1:{9000 + index}", seed=index)
        for index in range(HOSTS)
    ]
    for board in boards:
        for other in boards:
            if other is not board:
                update = messages.MemberUpdate(
                    host=other.identity.host,
                    zone=helper.ZONE,
                    region=helper.REGION,
                    callers=other.identity.host,
                    epoch=1,
                    incarnation=0,
                    state=precedence.ALIVE,
                )
                list(membership.merge_update(board, update, 0.0))
    return boards


def test_unavailable_source_is_called_by_few_daemons():
    boards = make_region()
    for age_s in (0.0, 10.0, 3600.0):
        ranks = [
            readers.reader_rank(board, SOURCE, age_s, 0.0) for board in boards
        ]
        reader_count = sum(rank is not None for rank in ranks)
        assert 2 <= reader_count <= 2 + readers.MAX_EXTRA_READERS + 1


def test_failed_reads_back_off_with_jitter():
    board = helper.make_board()
    state = board.state(configuration_reader.State)
    waits = []
    for now in range(6):
        state.next_list = 1e9
        list(
            configuration_reader.handle(
                events.StoreResponded(configuration_reader.LIST_ID, 0, {}),
                board,
                float(now),
            )
        )
        waits.append(state.next_list - now)
    assert waits[0] < 1.0
    assert 1.0 <= waits[-1] <= 3.0
    assert len(set(waits)) == len(waits)
