"""The host list client against a stand-in with injected faults."""

import json
import time

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from hemlockreel import actions
from hemlockreel_daemon import hostlist_client
from hemlockreel_standins import hostlist
from hemlockreel_standins import server

TIMEOUT_S = 0.5

scenarios("features/hostlist_client.feature")


class World:
    def __init__(self):
        self.list = hostlist.HostList()
        self.address = server.start(self.list)
        self.listed = None
        self.took_s = 0.0


@pytest.fixture
def world():
    made = World()
    yield made
    made.list.closing.set()


def host(role, state):
    return {
        "address": "127.0.0.1:9100",
        "service": "hemlockreel" if role == "entry" else "lesar",
        "zone": "trondheim-a",
        "region": "midt-norge",
        "state": state,
        "role": role,
    }


@given(parsers.parse("a list with a host of role {role} in state {state}"))
def given_host(world, role, state):
    world.list.changes = [(float("-inf"), [host(role, state)])]


@given(parsers.parse("the fault {fault} of {value}"))
def set_fault(world, fault, value):
    world.list.faults[fault] = json.loads(value)


@when("the host is now leaving")
def now_leaving(world):
    world.list._replace([host("plain", "leaving")])


@when("the list is read")
def read(world):
    started = time.monotonic()
    world.listed = hostlist_client.read(
        world.address, actions.ReadHostList(TIMEOUT_S)
    )
    world.took_s = time.monotonic() - started


@then(parsers.parse("it has {count:d} replicas, {leaving:d} of them leaving"))
def replicas_are(world, count, leaving):
    found = world.listed.hosts
    assert len(found) == count
    assert sum(replica.leaving for replica in found) == leaving


@then(parsers.parse("it has {count:d} entries"))
def entries_are(world, count):
    assert len(world.listed.entries) == count


@then(parsers.parse("the read {result} within {seconds:g} s"))
def read_ends(world, result, seconds):
    assert (world.listed.hosts is not None) == (result == "succeeds")
    assert world.took_s < seconds
