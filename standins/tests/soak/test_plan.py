"""Tests that a seed always gives the same plan, and plans cover all kinds."""

import collections
import itertools

from hemlockreel_standins.soak import plan

SECONDS = 20.0


def make(seed):
    return plan.make(seed, SECONDS, hosts=4, replicas=6)


def test_same_seed_gives_same_plan():
    assert make(7) == make(7)
    assert make(7) != make(8)


def test_plans_cover_all_kinds_and_overlap():
    kinds = collections.Counter()
    overlaps = 0
    for seed in range(50):
        steps = make(seed)
        kinds.update(step.kind for step in steps)
        overlaps += sum(
            later.at_s < step.at_s + step.for_s
            for step, later in itertools.pairwise(steps)
        )
        for step in steps:
            assert step.at_s >= plan.WARM_UP_S
            last_s = plan.WARM_UP_S + SECONDS
            assert (
                step.at_s < last_s + plan.MAX_SERIES_LENGTH * plan.SERIES_GAP_S
            )
            replica = step.kind.name.startswith("REPLICA")
            assert 0 <= step.index < (6 if replica else 4)
    assert set(kinds) == set(plan.Kind)
    assert overlaps > 50


def test_variants_are_those_of_links_and_replicas():
    steps = [step for seed in range(50) for step in make(seed)]
    links = {plan.Kind.STORE_LINK, plan.Kind.REPLICA_LINK}
    found = {step.how for step in steps if step.kind in links}
    assert found == set(plan.LINK_MODES)
    replica_modes = {
        step.how for step in steps if step.kind is plan.Kind.REPLICA_FAILS
    }
    assert replica_modes == set(plan.REPLICA_MODES)
