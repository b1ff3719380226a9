"""A store that doesn't respond, loses its history, and returns."""

import pytest

from hemlockreel import store_era

from hemlockreel.forwarding import store_fanout
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import store_reader

KIND = store_fanout.ObjectKind.INSTANCES


class Store:
    """Responds to one call after the other from a list."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    def read(self, kind):
        self.calls.append("read")
        return self.responses.pop(0)

    def watch(self, kind, since, wait_s):
        self.calls.append(f"watch {since}")
        return self.responses.pop(0)


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(store_reader.time, "sleep", lambda seconds: None)


def run(*responses):
    store = Store(*responses)
    posted, lost = [], []
    reader = store_reader.Reader(
        store,
        KIND,
        lambda listing, whole: [(tuple(listing.objects), whole)],
        posted.append,
        lambda: lost.append(True),
    )
    for _ in responses:
        reader.step()
    return store.calls, posted, len(lost)


class Time:
    """A clock that only sleeping advances."""

    def __init__(self):
        self.now = 0.0

    def sleep(self, seconds):
        self.now += seconds


def test_changes_in_quick_succession_are_read_together(monkeypatch):
    """All replicas register within seconds after a start."""
    time = Time()
    monkeypatch.setattr(store_reader.time, "sleep", time.sleep)
    monkeypatch.setattr(store_reader.clock, "now", lambda: time.now)
    changes = [listing(at, f"r{at}") for at in range(1, 40)]
    calls, _, _ = run(*changes)
    assert len(calls) <= 1 + time.now / store_reader.MIN_CALL_PERIOD_S + 1
    # A change is delayed by a small part of the allowed 2 s.
    assert store_reader.MIN_CALL_PERIOD_S <= 0.5


def test_a_change_after_a_quiet_time_is_read_at_once(monkeypatch):
    time = Time()
    monkeypatch.setattr(store_reader.time, "sleep", time.sleep)
    monkeypatch.setattr(store_reader.clock, "now", lambda: time.now)

    class Slow(Store):
        def watch(self, kind, since, wait_s):
            time.now += 3.0
            return super().watch(kind, since, wait_s)

    store = Slow(listing(1), listing(2), listing(3))
    reader = store_reader.Reader(
        store, KIND, lambda *_: [], lambda event: None, lambda: None
    )
    for _ in range(3):
        reader.step()
    assert time.now <= 6.0 + store_reader.MIN_CALL_PERIOD_S


def listing(at, *found, era=0):
    return interfaces.StoreObjects(found, (), at, era)


def is_era(event):
    return isinstance(event, store_era.EraSeen)


def make_reader(store):
    return store_reader.Reader(
        store, KIND, lambda listing, whole: [], lambda event: None, list
    )


def test_a_list_then_watches_from_its_revision():
    calls, posted, _ = run(listing(5, "a"), listing(7, "b"), listing(7))
    assert calls == ["read", "watch 5", "watch 7"]
    assert posted[:2] == [(("a",), True), (("b",), False)]


def test_everything_is_read_after_a_failed_call():
    """A watch of an unresponsive store may miss changes."""
    silence = interfaces.StoreFailure("silent")
    calls, posted, lost = run(listing(5), silence, silence, listing(6, "b"))
    assert calls == ["read", "watch 5", "read", "read"]
    assert posted[-1] == (("b",), True)
    assert lost == 2


def test_a_watch_ends_while_the_store_still_counts_as_disturbed():
    """The store becomes unresponsive when a watch is sent to it."""
    waits = []

    class Unresponsive(Store):
        def watch(self, kind, since, wait_s):
            waits.append(wait_s)
            return super().watch(kind, since, wait_s)

    reader = store_reader.Reader(
        Unresponsive(listing(1), listing(2)),
        KIND,
        lambda *_: [],
        lambda event: None,
        lambda: None,
        settled_s=3.0,
    )
    reader.step()
    reader.step()
    # Including the margin of the call and the pause before the next one.
    assert waits[0] + 0.5 + store_reader.MIN_CALL_PERIOD_S <= 3.0


def test_everything_is_read_after_the_history_expired():
    calls, posted, lost = run(
        listing(5), interfaces.HistoryExpired(), listing(90, "c")
    )
    assert calls == ["read", "watch 5", "read"]
    assert posted[-1] == (("c",), True)
    assert lost == 0


def test_watch_that_a_restored_store_accepts_is_not_trusted():
    """The store gives out the revision again in its new era."""
    calls, posted, lost = run(
        listing(5, "a", era=1), listing(7, "b", era=2), listing(6, "c", era=2)
    )
    assert calls == ["read", "watch 5", "read"]
    changes = [each for each in posted if not is_era(each)]
    assert changes == [(("a",), True), (("c",), True)]
    assert not lost


def test_the_era_of_every_response_is_reported():
    refused = interfaces.StoreFailure("status 503", era=2)
    gone = interfaces.HistoryExpired(era=3)
    _, posted, _ = run(listing(5, era=1), refused, listing(6, era=2), gone)
    eras = [each.era for each in posted if is_era(each)]
    assert eras == [1, 2, 2, 3]


def test_an_era_known_from_others_forces_a_full_read():
    store = Store(listing(5, era=1), listing(3, era=2))
    reader = make_reader(store)
    reader.step()
    reader.set_plan(store_fanout.ReadPlan(True, 0, None, 2))
    reader.step()
    assert store.calls == ["read", "read"]


def test_a_restored_list_of_another_host_is_watched_from():
    store = Store(listing(5, era=1), listing(9, era=2))
    reader = make_reader(store)
    reader.step()
    reader.set_plan(store_fanout.ReadPlan(True, 4, None, 2))
    reader.step()
    assert store.calls == ["read", "watch 4"]
