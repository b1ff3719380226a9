"""Engines that register late, and entries that expire and return."""

from hemlockreel import actions
from hemlockreel import messages
from hemlockreel import precedence
from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import stage_rig

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_selection
from hemlockreel.forwarding import stage_assignment

P1 = rigs.engine("p1", "prefill")
P2 = rigs.engine("p2", "prefill")
D1 = rigs.engine("d1", "decode")
D2 = rigs.engine("d2", "decode")


def test_one_of_two_prefill_replicas_becomes_decode():
    holder = stage_rig.Holder(P1, P2, D1, D2)
    holder.pass_time(6)
    assert [stage for _, stage in holder.orders()] == ["decode"]


def test_no_order_while_replicas_register():
    holder = stage_rig.Holder(P1)
    for each in (D1, P2, D2):
        holder.pass_time(2)
        holder.post(instances.InstancesChanged((each,), ()))
    assert holder.orders() == []


def test_no_order_without_the_lease():
    holder = stage_rig.Holder(P1, P2, D1, D2)
    holder.pass_time(10, hold=False)
    assert holder.orders() == []


def test_the_first_order_waits_for_orders_of_the_previous_holder():
    holder = stage_rig.Holder(P1, P2, D1, D2)
    holder.pass_time(stage_assignment.LEASE_HANDOVER_S - 0.2)
    assert holder.orders() == []


def test_an_entry_that_returns_soon_changes_no_stage():
    holder = stage_rig.Holder(P1, D1, D2)
    holder.pass_time(10)
    holder.post(instances.InstancesChanged((), ("p1",)))
    holder.pass_time(1.5)
    holder.post(instances.InstancesChanged((P1,), ()))
    holder.pass_time(10)
    assert holder.orders() == []


def test_a_removed_last_prefill_replica_is_replaced():
    holder = stage_rig.Holder(P1, D1, D2)
    holder.pass_time(10)
    holder.post(instances.InstancesChanged((), ("p1",)))
    holder.pass_time(6)
    assert [stage for _, stage in holder.orders()] == ["prefill"]


def test_a_replica_that_changes_its_stage_is_excluded():
    holder = stage_rig.Holder(P1, P2, D1, D2)
    holder.pass_time(6)
    changed = holder.orders()[0][0]
    asked = ranking.CandidatesRequested("r", "lesar", instances.Stage.PREFILL)
    found = ranking.rank(holder.board, asked, holder.now)
    assert changed not in [each.id for each in found]


def test_the_change_is_broadcast():
    holder = stage_rig.Holder(P1, P2, D1, D2)
    holder.pass_time(3)
    update = messages.MemberUpdate(
        host="127.0.0.1:9001",
        zone="a",
        region="midt-norge",
        callers="c",
        epoch=1,
        incarnation=0,
        state=precedence.ALIVE,
        draining=True,  # so that the lease stays here
    )
    holder.post(
        messages.Gossip(sender="127.0.0.1:9001", epoch=1, updates=[update])
    )
    holder.pass_time(1.5)
    told = [
        action.message
        for action in holder.seen
        if isinstance(action, actions.Send)
        and isinstance(action.message, messages.ReplicaChanging)
    ]
    assert [each.replica for each in told] == [holder.orders()[0][0]]


def test_a_broadcast_change_excludes_the_replica_until_it_is_listed():
    holder = stage_rig.Holder(P1, D1, D2)
    holder.post(
        messages.ReplicaChanging(
            sender="127.0.0.1:9001", epoch=1, replica="d1", for_s=6.0
        )
    )
    asked = ranking.CandidatesRequested("r", "lesar", instances.Stage.DECODE)
    found = ranking.rank(holder.board, asked, holder.now)
    assert [each.id for each in found] == ["d2"]
    back = D1._replace(stage=instances.Stage.PREFILL)
    holder.post(instances.InstancesChanged((back,), ()))
    asked = ranking.CandidatesRequested("r", "lesar", instances.Stage.PREFILL)
    found = ranking.rank(holder.board, asked, holder.now)
    assert {each.id for each in found} == {"p1", "d1"}


P3 = rigs.engine("p3", "prefill")
DECODE = tuple(rigs.engine(f"d{number}", "decode") for number in range(1, 7))


def test_an_engine_that_crashes_in_a_burst_takes_no_other_one_away():
    """It is back before another one has changed its stage."""
    holder = stage_rig.Holder(P1, P2, *DECODE)
    holder.pass_time(10)
    holder.post(instances.InstancesChanged((), ("p1",)))
    holder.pass_time(stage_assignment.REPLACEMENT_S - 0.5)
    assert holder.orders() == []
    holder.post(instances.InstancesChanged((P3,), ()))
    holder.pass_time(20)
    assert holder.orders() == []


def test_an_engine_that_is_lost_for_good_is_replaced():
    holder = stage_rig.Holder(P1, P2, *DECODE)
    holder.pass_time(10)
    holder.post(instances.InstancesChanged((), ("p1",)))
    holder.pass_time(stage_assignment.REPLACEMENT_S + 3)
    assert [stage for _, stage in holder.orders()] == ["prefill"]


class SilentHolder(stage_rig.Holder):
    """Its orders get no response and are not carried out."""

    def answer(self, action):
        found = super().answer(action)
        if action.operation == "orders":
            return found._replace(status=0)
        return found


def test_an_order_without_a_response_is_repeated_to_the_same_engine():
    """It may be carried out late, when a second one has changed as well."""
    holder = SilentHolder(P1, P2, P3, D1, D2)
    holder.pass_time(6)
    ((first, _),) = holder.orders()
    # The load of this host changes which engine is used least.
    holder.post(replica_selection.SendStarted(first, 5000))
    holder.pass_time(20)
    assert len(holder.orders()) > 1
    assert set(holder.orders()) == {(first, "decode")}


class SlowHolder(stage_rig.Holder):
    """Its engines accept orders and report a change before the list."""

    def answer(self, action):
        found = super().answer(action)
        ordered = dict(self.orders())
        if action.operation == "load" and action.instance in ordered:
            stage = ordered[action.instance]
            return found._replace(body={**found.body, "stage": stage})
        return found


def test_no_second_engine_changes_while_the_first_ends_its_work():
    """The list may show the change long after ``switch_s``."""
    holder = SlowHolder(P1, P2, P3, *DECODE[:3])
    holder.pass_time(6)
    ((first, _),) = holder.orders()
    holder.post(replica_selection.SendStarted(first, 5000))
    holder.pass_time(stage_assignment.LATE_ORDER_S - 6)
    assert [stage for _, stage in holder.orders()] == ["decode"]


def test_a_replica_excluded_for_a_moment_takes_no_other_one_away():
    """A host without news from the store takes it for one that changes."""
    holder = stage_rig.Holder(P1, P2, *DECODE[:4])
    holder.pass_time(10)
    for _ in range(5):
        holder.post(
            messages.ReplicaChanging(
                sender="127.0.0.1:9001", epoch=1, replica="d1", for_s=2.0
            )
        )
        holder.pass_time(2)
    assert holder.orders() == []


def test_a_host_with_an_outdated_list_excludes_no_replica():
    holder = stage_rig.Holder(P1, D1, D2)
    holder.post(
        messages.ReplicaChanging(
            sender="127.0.0.1:9001",
            epoch=1,
            replica="d1",
            for_s=2.0,
            stage="prefill",
        )
    )
    asked = ranking.CandidatesRequested("r", "lesar", instances.Stage.DECODE)
    found = ranking.rank(holder.board, asked, holder.now)
    assert {each.id for each in found} == {"d1", "d2"}


def test_a_mismatch_is_told_with_the_stage_that_was_listed():
    holder = stage_rig.Holder(P1, D1, D2)
    update = messages.MemberUpdate(
        host="127.0.0.1:9001",
        zone="a",
        region="midt-norge",
        callers="c",
        epoch=1,
        incarnation=0,
        state=precedence.ALIVE,
        draining=True,
    )
    holder.post(
        messages.Gossip(sender="127.0.0.1:9001", epoch=1, updates=[update])
    )
    holder.post(replica_selection.InstanceMismatch("d1"))
    (told,) = [
        action.message
        for action in holder.seen
        if isinstance(action, actions.Send)
        and isinstance(action.message, messages.ReplicaChanging)
    ]
    assert (told.replica, told.stage) == ("d1", "decode")


def test_an_order_without_a_response_is_given_up_in_the_end():
    holder = SilentHolder(P1, P2, P3, D1, D2)
    holder.pass_time(6)
    ((first, _),) = holder.orders()
    holder.board.state(instances.State).instances.pop(first)
    holder.pass_time(30)
    assert {name for name, _ in holder.orders()} != {first}
