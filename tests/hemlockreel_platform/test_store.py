"""Tests the client of the store against each form of response."""

import json

import pytest

from hemlockreel import actions
from hemlockreel_platform import store
from hemlockreel_standins import platform_site
from hemlockreel_standins import platform_store
from hemlockreel_standins import server

from hemlockreel.forwarding import store_fanout
from hemlockreel_daemon.forwarding import interfaces

INSTANCES = store_fanout.ObjectKind.INSTANCES
VALID_ENTRY = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}


@pytest.fixture
def stand_in():
    created = platform_store.Store()
    yield created
    created.closing.set()


@pytest.fixture
def client(stand_in):
    return store.Store(server.start(stand_in))


def instance_ids(listing):
    return sorted(each.id for each in listing.objects)


def test_list_follows_pages(stand_in, client):
    count = 2 * platform_store.PAGE + 1
    for number in range(count):
        stand_in.put("servers", f"i-{number:04}", VALID_ENTRY)
    assert len(instance_ids(client.read(INSTANCES))) == count


@pytest.mark.parametrize(
    "entry",
    [
        None,
        17,
        {},
        {**VALID_ENTRY, "state": "confused"},
        {**VALID_ENTRY, "address": "nowhere"},
        {**VALID_ENTRY, "address": "10.0.0.1:0"},
        {**VALID_ENTRY, "address": 5},
        {**VALID_ENTRY, "slots": "many"},
        {**VALID_ENTRY, "stage": "third"},
        {**VALID_ENTRY, "service": None},
        {**VALID_ENTRY, "slots": -5},
        {**VALID_ENTRY, "slots": 10**30},
        {**VALID_ENTRY, "born": 1e300},
        {**VALID_ENTRY, "address": "10.0.0.1:8_6"},
        {**VALID_ENTRY, "address": "10.0.0.1:65536"},
        {**VALID_ENTRY, "address": "10.0.0.1\n:80"},
        {**VALID_ENTRY, "zone": "\ud800"},
        {**VALID_ENTRY, "version": "x" * 10**5},
    ],
)
def test_malformed_entry_does_not_affect_others(stand_in, client, entry):
    stand_in.put("servers", "i-bad", entry)
    stand_in.put("servers", "i-good", VALID_ENTRY)
    assert instance_ids(client.read(INSTANCES)) == ["i-good"]


# LOST of issue 30: one odd entry ended the processes that read the list.
@pytest.mark.parametrize("depth", [40, 1000, 200_000])
@pytest.mark.parametrize("watches", [False, True])
def test_odd_bytes_of_an_entry_do_not_affect_others(depth, watches):
    good = {"metadata": {"name": "i-good"}, "specification": VALID_ENTRY}
    odd = [
        b'{"metadata":{"name":"i-%d"},"specification":%b}' % each
        for each in enumerate(
            [
                b"[" * depth + b"]" * depth,
                b'{"x":' * depth + b"1" + b"}" * depth,
                b'{"slots":%b}' % (b"9" * 5000),
                b'"\xff\xfe"',
                b'{"state":"\\ud800","slots":1e999}',
            ]
        )
    ]
    entries = [*odd[:3], json.dumps(good).encode(), *odd[3:]]
    if watches:
        entries = [b'{"deleted":false,"object":%b}' % e for e in entries]
    body = b'{"%b":[%b],"as_of":7}' % (
        b"events" if watches else b"items",
        b",".join(entries),
    )
    stand_in = server.StandIn()
    stand_in.respond = lambda request: server.Response(200, body)
    client = store.Store(server.start(stand_in))
    found = (
        client.watch(INSTANCES, 1, 0.1) if watches else client.read(INSTANCES)
    )
    assert instance_ids(found) == ["i-good"]
    assert found.as_of == 7


def test_entry_that_becomes_malformed_is_reported_as_removed(stand_in, client):
    stand_in.put("servers", "i-1", VALID_ENTRY)
    since = client.read(INSTANCES).as_of
    stand_in.put("servers", "i-1", {"state": 5})
    result = client.watch(INSTANCES, since, 1.0)
    assert result.removed == ("i-1",)


def test_watch_returns_last_state_of_each_object(stand_in, client):
    since = client.read(INSTANCES).as_of
    stand_in.put("servers", "i-1", VALID_ENTRY)
    stand_in.put("servers", "i-1", {**VALID_ENTRY, "state": "draining"})
    stand_in.put("servers", "i-2", VALID_ENTRY)
    stand_in.remove("servers", "i-2")
    result = client.watch(INSTANCES, since, 1.0)
    assert [each.draining for each in result.objects] == [True]
    assert result.removed == ("i-2",)
    assert result.as_of == stand_in.revision


def test_watch_without_changes_returns_at_its_timeout(client):
    since = client.read(INSTANCES).as_of
    result = client.watch(INSTANCES, since, 0.1)
    assert (list(result.objects), result.removed, result.as_of) == (
        [],
        (),
        since,
    )


def test_watch_from_expired_revision(stand_in, client):
    stand_in.faults["forget"] = True
    result = client.watch(INSTANCES, 1, 1.0)
    assert isinstance(result, interfaces.HistoryExpired)


@pytest.mark.parametrize("fault", ["busy", "outage", "refuse"])
def test_failing_store_is_reported(stand_in, client, fault):
    stand_in.faults[fault] = True
    assert isinstance(client.read(INSTANCES), interfaces.StoreFailure)
    assert isinstance(client.watch(INSTANCES, 1, 0.1), interfaces.StoreFailure)


def test_retry_after_is_returned(stand_in, client):
    stand_in.faults["busy"] = True
    assert client.read(INSTANCES).retry_after_s == pytest.approx(0.2)


def test_configuration_is_decoded(stand_in, client):
    stand_in.put("config", "main", platform_site.configuration(version=7))
    stand_in.put("config", "other", {"version": 9})
    (result,) = client.read(store_fanout.ObjectKind.DEPLOYMENT).objects
    assert result.version == 7
    assert [route.name for route in result.routes] == [
        "drafts",
        "deposits",
        "lookups",
    ]
    assert result.services["drafter"].engine.hold_s == 2.0
    assert result.services["bookings"].engine is None


def call_lease(client, method, value=None, expected=None):
    return client.call(
        actions.CallStore(
            "c", method, "/v1/objects/leases/midt-norge", value, expected
        )
    )


def test_lease_is_written_conditionally(client):
    assert call_lease(client, "GET").status == 404
    created = call_lease(client, "PUT", {"holder": "a"}, 0)
    version = created.body["object"]["version"]
    assert call_lease(client, "PUT", {"holder": "b"}, 0).status == 412
    renewed = call_lease(client, "PUT", {"holder": "a"}, version)
    assert renewed.body["object"]["version"] > version
    assert call_lease(client, "PUT", {"holder": "b"}, version).status == 412
    assert call_lease(client, "GET").body["object"]["value"] == {"holder": "a"}
    assert call_lease(client, "DELETE", None, version).status == 412
    version = renewed.body["object"]["version"]
    assert call_lease(client, "DELETE", None, version).status == 200


def test_write_with_lost_response_has_unknown_outcome(stand_in, client):
    stand_in.faults["lose_answers"] = 1
    assert call_lease(client, "PUT", {"holder": "a"}, 0).status == 0
    assert call_lease(client, "GET").status == 200


def test_responses_state_the_era(stand_in, client):
    stand_in.put("servers", "i-1", VALID_ENTRY)
    stand_in.save()
    stand_in.put("servers", "i-2", VALID_ENTRY)
    listing = client.read(INSTANCES)
    assert listing.era == 1
    stand_in.restore()
    stand_in.put("servers", "i-3", VALID_ENTRY)
    assert client.watch(INSTANCES, listing.as_of, 0.1).era == 2
    assert instance_ids(client.read(INSTANCES)) == ["i-1", "i-3"]
    stand_in.faults["busy"] = True
    assert client.read(INSTANCES).era == 2


def test_watch_of_a_revision_that_the_restored_store_lacks(stand_in, client):
    stand_in.save()
    stand_in.put("servers", "i-1", VALID_ENTRY)
    since = client.read(INSTANCES).as_of
    stand_in.restore()
    assert client.watch(INSTANCES, since, 0.1) == interfaces.HistoryExpired(2)


def test_list_whose_pages_are_of_two_eras_is_dropped(stand_in, client):
    for number in range(platform_store.PAGE + 1):
        stand_in.put("servers", f"i-{number:04}", VALID_ENTRY)
    respond = stand_in.respond

    def restore_after(request):
        response = respond(request)
        stand_in.era += 1
        return response

    stand_in.respond = restore_after
    found = client.read(INSTANCES)
    assert isinstance(found, interfaces.StoreFailure)
    assert found.era == 2


@pytest.mark.parametrize(
    ("text", "era"),
    [("7", 7), ("", 0), ("-1", 0), ("x", 0), ("1.5", 0), ("9" * 30, 0),
     ("9999999", 2**20), ("\u00b2", 0)],
)  # fmt: skip
def test_malformed_eras_are_ignored(text, era):
    assert store._decode_era({"Store-Era": text}) == era


def test_calls_of_the_core_state_the_era(stand_in, client):
    stand_in.era = 4
    found = client.call(
        actions.CallStore("c", "GET", "/v1/objects/leases/region")
    )
    assert (found.status, found.era) == (404, 4)
