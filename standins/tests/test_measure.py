"""Short simulations that check the policy against the project's goals."""

import pytest

from hemlockreel_standins import measure
from hemlockreel_standins import scenarios
from hemlockreel_standins import workload

PROFILE = workload.FJELLPULVER
SETUPS = {setup.name: setup for setup in measure.POLICIES}


@pytest.fixture(autouse=True)
def short_runs(monkeypatch):
    monkeypatch.setattr(measure, "WARM_UP_S", 30.0)
    monkeypatch.setattr(measure, "RUN_S", 90.0)
    monkeypatch.setattr(measure, "DRAIN_S", 30.0)


def simulate(name, load, **given):
    return measure.simulate(PROFILE, SETUPS[name], load, 1, **given)


def test_same_seed_gives_the_same_figures():
    assert simulate("adaptive", 1.0) == simulate("adaptive", 1.0)


def test_overload_does_not_lower_goodput():
    once = simulate("adaptive", 1.0)
    twice = simulate("adaptive", 2.0)
    naive = simulate("naive", 2.0)
    assert twice.goodput >= 0.95 * once.goodput
    assert twice.goodput >= 3 * naive.goodput
    assert once.wasted < 0.01
    assert twice.wasted < 0.03 < naive.wasted


def test_deferrable_calls_all_finish_without_lowering_goodput():
    extra = scenarios.burst(PROFILE, 0.1, 0.0, 100.0, 1, klass="deferrable")
    alone = simulate("adaptive", 0.6)
    beside = simulate("adaptive", 0.6, extra=extra)
    counts = beside.counts
    assert counts["deferrable"] > 20
    ended = counts["deferrable done"] + counts.get("deferrable cancelled", 0)
    assert ended == counts["deferrable"]
    assert beside.goodput >= 0.98 * alone.goodput


def test_goodput_recovers_after_a_decode_engine_dies():
    start, end = 30.0, 110.0
    prepare = scenarios.engine_dies("decode", 40.0 - scenarios.FAULT_S / 2)
    healthy = simulate("adaptive", 0.8)
    faulted = simulate("adaptive", 0.8, prepare=prepare)
    after = 40.0 + scenarios.FAULT_S / 2 + 10.0
    assert faulted.rate(after, end) >= 0.95 * healthy.rate(after, end)
    assert faulted.rate(start, after) > 0.5 * healthy.rate(start, after)
