"""The merge of operators' objects, compared with a naive implementation."""

import hypothesis
from hypothesis import strategies
import pytest

from hemlockreel import acceptance
from hemlockreel import declared_objects
from hemlockreel import documents
from hemlockreel import object_validation

POOL = {"service": "lesar", "model": "lesar-7b"}
ROLLOUT = {"pool": "lesar", "version": "2"}

POOLS = strategies.fixed_dictionaries(
    {
        "service": strategies.sampled_from(["s1", "s2", ""]),
        "model": strategies.sampled_from(["m1", "m2"]),
    }
)
ROUTES = strategies.fixed_dictionaries(
    {
        "service": strategies.just("s"),
        "prefix": strategies.sampled_from(["/a", "/b", "c"]),
    }
)
ROLLOUTS = strategies.fixed_dictionaries(
    {
        "pool": strategies.sampled_from(["x", "y"]),
        "version": strategies.sampled_from(["1", "2"]),
    }
)
EDITS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["modelpools/x", "modelpools/y"]),
        strategies.none() | POOLS,
    ),
    strategies.tuples(
        strategies.sampled_from(["routes/p", "routes/q"]),
        strategies.none() | ROUTES,
    ),
    strategies.tuples(
        strategies.sampled_from(["rollouts/u", "rollouts/v"]),
        strategies.none() | ROLLOUTS,
    ),
)
HISTORY = strategies.lists(
    strategies.lists(EDITS, min_size=1, max_size=4), max_size=6
)


def parse_value(key, value):
    kind, name = key.split("/")
    return declared_objects.parse(kind, name, value)


def is_valid(key, value):
    found = parse_value(key, value)
    if isinstance(found, declared_objects.Invalid):
        return False
    return not object_validation.find_violation(found)


def has_no_conflict(values):
    """Returns whether no object conflicts with another, pair by pair."""
    found = {key: parse_value(key, value) for key, value in values.items()}
    for key, item in found.items():
        kind = key.split("/")[0]
        pool = getattr(item, "pool", None)
        if pool is not None and f"modelpools/{pool}" not in values:
            return False
        for other, other_item in found.items():
            if other == key or other.split("/")[0] != kind:
                continue
            for field in acceptance.UNIQUE_FIELDS[kind]:
                if getattr(item, field) == getattr(other_item, field):
                    return False
    return True


def in_force(document):
    return {
        key: value["value"]
        for key, value in documents.values(document).items()
        if "/" in key
    }


def with_value(values, key, value):
    changed = {name: item for name, item in values.items() if name != key}
    return changed if value is None else changed | {key: value}


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(HISTORY)
def test_merge_agrees_with_a_naive_version(history):
    accepted = documents.EMPTY
    declared = {}
    revision = 0
    for edits in history:
        for key, value in edits:
            revision += 1
            if value is None:
                declared.pop(key, None)
            else:
                declared[key] = acceptance.Declared(revision, value)
        before = in_force(accepted)
        merged = acceptance.merge(accepted, declared, revision)
        reordered = dict(reversed(declared.items()))
        assert acceptance.merge(accepted, reordered, revision) == merged
        check_merge(before, in_force(merged), declared, merged)
        assert merged.version in (accepted.version, accepted.version + 1)
        # A repeated merge and one of an older read change nothing.
        assert acceptance.merge(merged, declared, revision) is merged
        if merged.version > accepted.version:
            older = acceptance.merge(merged, {}, revision - 1)
            assert older is merged
        accepted = merged


def check_merge(before, after, declared, merged):
    assert has_no_conflict(after)
    wanted = {key: item.value for key, item in declared.items()}
    rejected_keys = {
        f"{item.kind}/{item.name}"
        for item in acceptance.rejected_objects(merged)
    }
    for key in before.keys() | wanted.keys():
        if key not in rejected_keys:
            assert after.get(key) == wanted.get(key)
            continue
        # A rejected object keeps the version in force. It must be invalid or
        # conflict with another object.
        assert after.get(key) == before.get(key)
        value = wanted.get(key)
        if value is None or is_valid(key, value):
            assert not has_no_conflict(with_value(after, key, value)), key
    if has_no_conflict(wanted) and all(
        is_valid(*item) for item in wanted.items()
    ):
        assert after == wanted


@pytest.mark.parametrize(
    "order",
    [
        ["modelpools/lesar", "rollouts/lesar"],
        ["rollouts/lesar", "modelpools/lesar"],
    ],
)
def test_objects_that_refer_to_each_other_in_any_order(order):
    values = {"modelpools/lesar": POOL, "rollouts/lesar": ROLLOUT}
    declared = {}
    accepted = documents.EMPTY
    for revision, key in enumerate(order, 1):
        declared[key] = acceptance.Declared(revision, values[key])
        accepted = acceptance.merge(accepted, declared, revision)
        assert has_no_conflict(in_force(accepted))
    assert in_force(accepted) == values
    for revision, key in enumerate(order, 3):
        del declared[key]
        accepted = acceptance.merge(accepted, declared, revision)
        assert has_no_conflict(in_force(accepted))
    assert in_force(accepted) == {}
    assert acceptance.rejected_objects(accepted) == ()


def test_deleted_pool_stays_while_a_rollout_refers_to_it():
    declared = {
        "modelpools/lesar": acceptance.Declared(1, POOL),
        "rollouts/lesar": acceptance.Declared(2, ROLLOUT),
    }
    accepted = acceptance.merge(documents.EMPTY, declared, 2)
    del declared["modelpools/lesar"]
    accepted = acceptance.merge(accepted, declared, 3)
    assert "modelpools/lesar" in in_force(accepted)
    reasons = [item.reason for item in acceptance.rejected_objects(accepted)]
    assert reasons == ["deleted, but rollouts/lesar refers to it"]


@pytest.mark.parametrize(
    ("kind", "value", "field"),
    [
        ("modelpools", {**POOL, "model": ""}, "model"),
        ("modelpools", {**POOL, "first_token_ms": 0}, "first_token_ms"),
        ("modelpools", {**POOL, "margin_ms": -1}, "margin_ms"),
        ("modelpools", {**POOL, "overcommit": 1.5}, "overcommit"),
        ("modelpools", {**POOL, "typo": 1}, "typo"),
        ("routes", {"service": "s", "prefix": "a"}, "prefix"),
        ("routes", {"service": "s", "prefix": "/v1/x"}, "prefix"),
        ("routes", {"service": "s", "prefix": "/v1"}, "prefix"),
        ("routes", {"service": "", "prefix": "/a"}, "service"),
        ("rollouts", {**ROLLOUT, "max_unavailable": 0}, "max_unavailable"),
        ("quotas", {"weight": 0}, "weight"),
        ("quotas", {"max_in_flight": -1}, "max_in_flight"),
    ],
)
def test_invalid_object_is_rejected_with_its_field(kind, value, field):
    declared = {f"{kind}/a": acceptance.Declared(1, value)}
    accepted = acceptance.merge(documents.EMPTY, declared, 1)
    assert in_force(accepted) == {}
    [rejected] = acceptance.rejected_objects(accepted)
    assert (rejected.kind, rejected.name) == (kind, "a")
    assert field in rejected.reason
