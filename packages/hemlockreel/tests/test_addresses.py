from hemlockreel import addresses
from hemlockreel import membership
from hemlockreel import messages
from hemlockreel import precedence
from hemlockreel_standins import helper


def add(made, host, zone, configuration=3, draining=False):
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
    list(membership.merge_update(made, update, 0.0))


def test_order_of_the_addresses():
    made = helper.make_board(host="127.0.0.1:9000", zone="orkanger")
    add(made, "127.0.0.1:9001", "trondheim-a")
    add(made, "127.0.0.1:9002", "orkanger")
    add(made, "127.0.0.1:9003", "orkanger", draining=True)
    # The daemon itself has no configuration yet, so it comes last.
    assert addresses.rank_for_caller(made, "me")[0] == [
        "127.0.0.1:9002",
        "127.0.0.1:9001",
        "127.0.0.1:9000",
    ]


def test_members_out_of_reach_come_after_those_in_reach():
    made = helper.make_board(host="127.0.0.1:9000", zone="orkanger")
    add(made, "127.0.0.1:9001", "trondheim-a")
    add(made, "127.0.0.1:9002", "orkanger")
    membership.table(made).unreachable.add("127.0.0.1:9002")
    assert addresses.rank_for_caller(made, "me")[0][0] == "127.0.0.1:9001"
