"""Bursts of long prompts at a single prefill replica."""

import pytest

from hemlockreel import actions
from hemlockreel_standins import forwarding_rig as rigs
from hemlockreel_standins import stage_rig

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import ranking
from hemlockreel.forwarding import replica_selection

P1 = rigs.engine("p1", "prefill")
P2 = rigs.engine("p2", "prefill")
D1 = rigs.engine("d1", "decode")


@pytest.fixture
def host():
    made = stage_rig.Holder(P1, D1)
    # 5,000 tokens in 0.1 s with an empty queue.
    made.post(replica_selection.PrefillFinished("p1", 5000, 0.1))
    return made


def rank_prefill(host, tokens=5000):
    """Returns the prefill replicas for a prompt, best first."""
    host.seen.clear()
    host.post(
        ranking.CandidatesRequested(
            "r", "lesar", instances.Stage.PREFILL, tokens
        )
    )
    (reply,) = [each for each in host.seen if isinstance(each, actions.Reply)]
    if isinstance(reply.value, replica_selection.Candidates):
        return [each.id for each in reply.value.instances]
    return []


def test_an_idle_replica_gets_the_prompt(host):
    assert rank_prefill(host) == ["p1"]


def test_a_long_queue_is_accepted(host):
    """A decode replica that read the prompt would pause all its streams."""
    host.post(replica_selection.PrefillFinished("p1", 5000, 0.6))
    assert rank_prefill(host) == ["p1"]


def test_an_observed_queue_decays(host):
    host.post(instances.InstancesListed((P1, P2, D1)))
    host.post(replica_selection.PrefillFinished("p2", 5000, 0.11))
    host.post(replica_selection.PrefillFinished("p1", 5000, 0.6))
    assert rank_prefill(host)[0] == "p2"
    host.now += 10.0
    host.post(replica_selection.PrefillFinished("p2", 5000, 0.15))
    assert rank_prefill(host)[0] == "p1"


def test_prompts_of_this_host_at_the_replica_count(host):
    host.post(instances.InstancesListed((P1, P2, D1)))
    host.post(replica_selection.PrefillFinished("p2", 5000, 0.1))
    for _ in range(4):
        host.post(replica_selection.SendStarted("p1", 5000))
    assert rank_prefill(host)[0] == "p2"


def test_the_replica_with_the_shorter_queue_goes_first(host):
    host.post(instances.InstancesListed((P1, P2, D1)))
    host.post(replica_selection.PrefillFinished("p2", 5000, 0.1))
    host.post(replica_selection.PrefillFinished("p1", 5000, 0.2))
    assert rank_prefill(host)[0] == "p2"


def test_an_unused_replica_gets_the_prompt():
    host = stage_rig.Holder(P1, D1)
    assert rank_prefill(host) == ["p1"]


def test_without_a_decode_replica_a_long_queue_is_accepted(host):
    host.post(instances.InstancesListed((P1,)))
    host.pass_time(2.0)  # until the removed entries expire
    host.post(replica_selection.PrefillFinished("p1", 5000, 0.6))
    assert rank_prefill(host) == ["p1"]
