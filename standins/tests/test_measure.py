"""Short runs of the load tool against the goals of the project."""

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


def play(name, load, **given):
    return measure.play(PROFILE, SETUPS[name], load, 1, **given)


def test_same_seed_gives_the_same_figures():
    assert play("adaptive", 1.0) == play("adaptive", 1.0)


def test_overload_does_not_lower_goodput():
    once = play("adaptive", 1.0)
    twice = play("adaptive", 2.0)
    naive = play("naive", 2.0)
    assert twice.goodput >= 0.95 * once.goodput
    assert twice.goodput >= 3 * naive.goodput
    assert once.wasted < 0.01
    assert twice.wasted < 0.03 < naive.wasted


def test_deferrable_calls_are_all_done():
    extra = scenarios.burst(PROFILE, 0.1, 0.0, 100.0, 1, klass="deferrable")
    alone = play("adaptive", 0.6)
    beside = play("adaptive", 0.6, extra=extra)
    counts = beside.counts
    assert counts["deferrable"] > 20
    ended = counts["deferrable done"] + counts.get("deferrable cancelled", 0)
    assert ended == counts["deferrable"]
    assert beside.goodput >= 0.98 * alone.goodput


def test_goodput_returns_after_a_replica_died():
    start, end = 30.0, 110.0
    prepare = scenarios.engine_dies("decode", 40.0 - scenarios.FAULT_S / 2)
    well = play("adaptive", 0.8)
    found = play("adaptive", 0.8, prepare=prepare)
    after = 40.0 + scenarios.FAULT_S / 2 + 10.0
    assert found.rate(after, end) >= 0.95 * well.rate(after, end)
    assert found.rate(start, after) > 0.5 * well.rate(start, after)
