import pytest

from hemlockreel_standins import engine_model

SETTINGS = engine_model.Settings()


def make_engine(role="prefill", **changed):
    return engine_model.Engine(role, SETTINGS._replace(**changed))


def prefill(model, request_id, tokens, now=0.0, priority=0, prefixes=()):
    return model.prefill(request_id, 1, tokens, prefixes, priority, now)


def event_times(model, until, kind):
    return [
        (event.request_id, round(event.at, 3))
        for event in model.advance(until)
        if event.kind == kind
    ]


def test_prefills_run_one_at_a_time_by_priority():
    model = make_engine(prefill_base_s=0.0)
    for request_id, priority in (("a", 0), ("b", 0), ("c", 1)):
        prefill(model, request_id, 8000, priority=priority)
    assert event_times(model, 9.0, "prefill") == [
        ("a", 1.0),
        ("c", 2.0),
        ("b", 3.0),
    ]


def test_cached_prefix_shortens_a_prefill_until_it_is_evicted():
    model = make_engine(prefill_base_s=0.0, cache_blocks=4)
    times = []
    for number, prefixes in enumerate(
        [(1, 2, 3), (1, 2, 3), (7, 8), (1, 2, 3)]
    ):
        start = number * 10.0
        prefill(model, f"r{number}", 1024, start, prefixes=prefixes)
        [(_, at)] = event_times(model, start + 9, "prefill")
        times.append(round(at - start, 3))
    assert times == [0.128, 0.032, 0.128, 0.064]


@pytest.mark.parametrize(("wait_s", "there"), [(0.79, True), (0.81, False)])
def test_prefill_result_is_evicted(wait_s, there):
    model = make_engine()
    handle = prefill(model, "a", 1000)
    [(_, at)] = event_times(model, 0.5, "prefill")
    model.advance(at + wait_s)
    assert (model.export(handle, at + wait_s) is not None) is there
    assert model.requests() == []


def test_transfers_share_the_rate_of_the_link():
    model = make_engine(link_bytes_per_s=1e9)
    handles = [prefill(model, x, 1000) for x in "ab"]
    model.advance(0.5)
    ends = [model.export(handle, 0.5).ends_at for handle in handles]
    assert ends == pytest.approx([0.7, 0.9])


def decode(model, request_id, tokens, now=0.0, length=None):
    assert model.reserve(request_id, 1, 100, tokens, length=length)
    model.start(request_id, now)


def test_step_takes_longer_with_more_sequences():
    model = make_engine("decode")
    decode(model, "a", 10)
    [(_, alone)] = event_times(model, 9.0, "last")
    model = make_engine("decode")
    for number in range(20):
        decode(model, f"r{number}", 10)
    assert not model.reserve("r99", 1, 100, 10)
    together = event_times(model, 9.0, "last")
    assert alone == pytest.approx(10 * 0.027)
    # The first step began with sequence r0 alone, which has finished before
    # the last step.
    assert together[-1][1] == pytest.approx(0.027 + 9 * 0.065 + 0.063)


def test_cancelled_sequence_frees_its_memory_at_once():
    model = make_engine("decode")
    decode(model, "a", 5000)
    model.advance(1.0)
    assert model.free_kv_blocks == 18
    model.cancel("a", 1.0)
    assert model.free_kv_blocks == 20
    assert event_times(model, 999.0, "last") == []


def test_load_report_lags():
    model = make_engine("decode")
    assert model.load(0.0)["pieces_free"] == 20
    decode(model, "a", 100)
    late = model.load(0.4)
    assert (late["pieces_free"], late["age_s"]) == (20, 0.4)
    assert model.load(0.6)["pieces_free"] == 19


def test_cache_events_come_late_and_with_gaps():
    model = make_engine()
    model.cache.store((1, 2), 0.0)
    assert model.cache.events(0, 0.4)["events"] == []
    found = model.cache.events(0, 0.6)
    assert {event["prefix"] for event in found["events"]} == {1, 2}
    assert model.cache.events(found["seq"], 0.6)["events"] == []
    model.cache.store((3,), 1.0)
    model.cache.lose_events()
    model.cache.store((4,), 1.1)
    found = model.cache.events(found["seq"], 9.0)
    assert [event["prefix"] for event in found["events"]] == [4]
