"""The edge to the store, against each form of answer that it gives."""

import pytest

from hemlockreel import actions
from hemlockreel_platform import store
from hemlockreel_standins import platform_site
from hemlockreel_standins import platform_store
from hemlockreel_standins import server

from hemlockreel.forwarding import store_fanout
from hemlockreel_daemon.forwarding import interfaces

INSTANCES = store_fanout.ObjectKind.INSTANCES
GOOD = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}


@pytest.fixture
def stand_in():
    made = platform_store.Store()
    yield made
    made.closing.set()


@pytest.fixture
def client(stand_in):
    return store.Store(server.start(stand_in))


def names(listing):
    return sorted(each.id for each in listing.objects)


def test_a_list_of_several_pages(stand_in, client):
    count = 2 * platform_store.PAGE + 1
    for number in range(count):
        stand_in.put("servers", f"i-{number:04}", GOOD)
    assert len(names(client.read(INSTANCES))) == count


@pytest.mark.parametrize(
    "entry",
    [
        None,
        17,
        {},
        {**GOOD, "state": "confused"},
        {**GOOD, "address": "nowhere"},
        {**GOOD, "address": "10.0.0.1:0"},
        {**GOOD, "address": 5},
        {**GOOD, "slots": "many"},
        {**GOOD, "stage": "third"},
        {**GOOD, "service": None},
    ],
)
def test_an_entry_that_cannot_be_read_harms_no_other(stand_in, client, entry):
    stand_in.put("servers", "i-bad", entry)
    stand_in.put("servers", "i-good", GOOD)
    assert names(client.read(INSTANCES)) == ["i-good"]


def test_an_entry_that_becomes_unreadable_is_gone(stand_in, client):
    stand_in.put("servers", "i-1", GOOD)
    at = client.read(INSTANCES).as_of
    stand_in.put("servers", "i-1", {"state": 5})
    found = client.watch(INSTANCES, at, 1.0)
    assert found.removed == ("i-1",)


def test_a_watch_brings_the_last_state_of_each_object(stand_in, client):
    at = client.read(INSTANCES).as_of
    stand_in.put("servers", "i-1", GOOD)
    stand_in.put("servers", "i-1", {**GOOD, "state": "draining"})
    stand_in.put("servers", "i-2", GOOD)
    stand_in.remove("servers", "i-2")
    found = client.watch(INSTANCES, at, 1.0)
    assert [each.draining for each in found.objects] == [True]
    assert found.removed == ("i-2",)
    assert found.as_of == stand_in.revision


def test_a_watch_without_changes_ends(client):
    at = client.read(INSTANCES).as_of
    found = client.watch(INSTANCES, at, 0.1)
    assert (list(found.objects), found.removed, found.as_of) == ([], (), at)


def test_a_history_that_is_gone(stand_in, client):
    stand_in.faults["forget"] = True
    found = client.watch(INSTANCES, 1, 1.0)
    assert isinstance(found, interfaces.HistoryExpired)


@pytest.mark.parametrize("fault", ["busy", "outage", "refuse"])
def test_a_store_that_does_not_answer(stand_in, client, fault):
    stand_in.faults[fault] = True
    assert isinstance(client.read(INSTANCES), interfaces.StoreFailure)
    assert isinstance(client.watch(INSTANCES, 1, 0.1), interfaces.StoreFailure)


def test_the_time_to_come_back_is_handed_on(stand_in, client):
    stand_in.faults["busy"] = True
    assert client.read(INSTANCES).retry_after_s == pytest.approx(0.2)


def test_the_configuration(stand_in, client):
    stand_in.put("config", "main", platform_site.configuration(version=7))
    stand_in.put("config", "other", {"version": 9})
    (found,) = client.read(store_fanout.ObjectKind.DEPLOYMENT).objects
    assert found.version == 7
    assert [route.name for route in found.routes] == [
        "drafts",
        "deposits",
        "lookups",
    ]
    assert found.services["drafter"].engine.hold_s == 2.0
    assert found.services["bookings"].engine is None


def call(client, method, value=None, expected=None):
    return client.call(
        actions.CallStore(
            "c", method, "/v1/objects/leases/midt-norge", value, expected
        )
    )


def test_a_lease_is_written_by_condition(client):
    assert call(client, "GET").status == 404
    made = call(client, "PUT", {"holder": "a"}, 0)
    version = made.body["object"]["version"]
    assert call(client, "PUT", {"holder": "b"}, 0).status == 412
    renewed = call(client, "PUT", {"holder": "a"}, version)
    assert renewed.body["object"]["version"] > version
    assert call(client, "PUT", {"holder": "b"}, version).status == 412
    assert call(client, "GET").body["object"]["value"] == {"holder": "a"}
    assert call(client, "DELETE", None, version).status == 412
    version = renewed.body["object"]["version"]
    assert call(client, "DELETE", None, version).status == 200


def test_a_write_whose_answer_is_lost_is_not_known(stand_in, client):
    stand_in.faults["lose_answers"] = 1
    assert call(client, "PUT", {"holder": "a"}, 0).status == 0
    assert call(client, "GET").status == 200
