"""Engines whose role has changed before the host list shows it."""

import pytest

from hemlockreel import actions
from hemlockreel import core
from hemlockreel import engine_polling
from hemlockreel import events
from hemlockreel import replicas
from hemlockreel_standins import helper

POOL = {"service": "lesar", "model": "lesar-7b"}
PREFILL, DECODE = replicas.Role.PREFILL, replicas.Role.DECODE
SETTLED_S = 5.0


@pytest.fixture
def owner():
    made = helper.make_board()
    helper.configure(made, modelpools={"lesar": POOL})
    helper.run(made, helper.make_host_list(PREFILL, DECODE), 0.0)
    return made


def polled(owner, now):
    """Returns the addresses whose cache events are requested at ``now``."""
    found = core.step(owner, events.Tick(now), now)
    return {
        each.address
        for each in helper.of_type(found, actions.CallEngine)
        if each.operation == "cache/events"
    }


def report(owner, address, role, now):
    body = {"pieces_total": 100, "pieces_free": 100, "role": role}
    (shard,) = engine_polling.owned_model_shards(owner)
    responded = events.EngineResponded(
        f"load/{shard}", address, "load", 200, body
    )
    core.step(owner, responded, now)


def test_cache_events_of_the_listed_prefill_engine_are_polled(owner):
    assert polled(owner, SETTLED_S) == {"127.0.0.1:9100"}


def test_an_engine_that_became_prefill_is_polled_before_it_is_listed(owner):
    polled(owner, SETTLED_S)
    report(owner, "127.0.0.1:9100", "decode", SETTLED_S)
    report(owner, "127.0.0.1:9101", "prefill", SETTLED_S)
    later = SETTLED_S + 2 * engine_polling.CACHE_PERIOD_S
    assert polled(owner, later) == {"127.0.0.1:9101"}
