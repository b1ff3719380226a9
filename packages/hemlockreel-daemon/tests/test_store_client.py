"""The store client against a stand-in with injected faults."""

import json
import threading
import time

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from hemlockreel import actions
from hemlockreel_daemon import store_client
from hemlockreel_standins import server
from hemlockreel_standins import store

TIMEOUT_S = 0.5
CHANGE_AFTER_S = 0.2

scenarios("features/store_client.feature")


class World:
    def __init__(self):
        self.store = store.Store()
        self.address = server.start(self.store)
        self.result = None
        self.took_s = 0.0

    def call(self, method, path, value=None, expected=None):
        action = actions.CallStore(
            "call", method, path, value, expected, TIMEOUT_S
        )
        self.time(action)

    def time(self, action):
        started = time.monotonic()
        self.result = store_client.call(self.address, action)
        self.took_s = time.monotonic() - started


@pytest.fixture
def world():
    made = World()
    yield made
    made.store.closing.set()


@given(parsers.parse('a store with the object "{path}" as {state}'))
def given_object(world, path, state):
    if state == "present":
        world.call("PUT", f"/v1/objects/{path}", {"n": 0})


@given(parsers.parse("the fault {fault} of {value}"))
def set_fault(world, fault, value):
    world.store.faults[fault] = json.loads(value)


@when("the faults are cleared")
def clear_faults(world):
    world.store.faults.update(world.store.defaults)


@when(parsers.parse('"{path}" is written expecting {expected}'))
def write(world, path, expected):
    versions = {
        "nothing": None,
        "absent": 0,
        "current": world.store.revision or 1,
        "old": world.store.revision - 1 or 99,
    }
    world.call("PUT", f"/v1/objects/{path}", {"n": 1}, versions[expected])


@when(parsers.parse("the store is read {count:d} times"))
def read(world, count):
    for _ in range(count):
        world.call("GET", "/v1/objects/claims")


@when(parsers.parse('"{kind}" are watched from {after:d} while "{change}"'))
@when(
    parsers.parse(
        '"{kind}" are watched from {after:d} while "{change}" changes'
    )
)
def watch(world, kind, after, change):
    def put():
        time.sleep(CHANGE_AFTER_S)
        if change != "none":
            path = f"/v1/objects/{change}/b"
            action = actions.CallStore("put", "PUT", path, {})
            store_client.call(world.address, action)

    thread = threading.Thread(target=put)
    thread.start()
    path = f"/v1/watch?kinds={kind}&after={after}&timeout=1"
    world.time(actions.CallStore("watch", "GET", path, timeout_s=1.5))
    thread.join()


@then(parsers.parse("the status is {status:d}"))
def status_is(world, status):
    assert world.result.status == status


@then(parsers.parse("the store made {writes:d} writes"))
def writes_are(world, writes):
    assert len(world.store.log) == writes


@then(parsers.parse("the call returned within {seconds:g} s"))
def returned_within(world, seconds):
    assert world.took_s < seconds


@then(parsers.parse("the retry delay is {seconds:g} s"))
def retry_delay_is(world, seconds):
    assert world.result.retry_after_s == seconds


@then(parsers.parse("the watch returns {count} events"))
def events_are(world, count):
    found = world.result.body.get("events")
    assert (str(len(found)) if found is not None else "none") == count
