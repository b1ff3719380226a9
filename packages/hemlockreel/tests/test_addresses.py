from hemlockreel import addresses
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import precedence
from hemlockreel_standins import helper


def add_member(board, host, zone, configuration=3, draining=False):
    update = messages.MemberUpdate(
        host=host,
        zone=zone,
        region=helper.REGION,
        callers=host,
        epoch=1,
        incarnation=0,
        state=precedence.ALIVE,
        draining=draining,
        configuration=configuration,
    )
    list(membership.merge_update(board, update, 0.0))


def test_own_zone_first_unconfigured_last_draining_left_out():
    board = helper.make_board(host="127.0.0.1:9000", zone="orkanger")
    add_member(board, "127.0.0.1:9001", "trondheim-a")
    add_member(board, "127.0.0.1:9002", "orkanger")
    add_member(board, "127.0.0.1:9003", "orkanger", draining=True)
    # This daemon has no configuration yet, so it comes last.
    assert addresses.rank_for_caller(board, "me")[0] == [
        "127.0.0.1:9002",
        "127.0.0.1:9001",
        "127.0.0.1:9000",
    ]


def test_unreachable_members_come_after_reachable_ones():
    board = helper.make_board(host="127.0.0.1:9000", zone="orkanger")
    add_member(board, "127.0.0.1:9001", "trondheim-a")
    add_member(board, "127.0.0.1:9002", "orkanger")
    membership.table(board).unreachable.add("127.0.0.1:9002")
    assert addresses.rank_for_caller(board, "me")[0][0] == "127.0.0.1:9001"
