import pytest

from hemlockreel_standins import engine_model

SETTINGS = engine_model.Settings()


def make(role="prefill", **changed):
    return engine_model.Engine(role, SETTINGS._replace(**changed))


def prefill(made, request_id, tokens, now=0.0, priority=0, prefixes=()):
    return made.prefill(request_id, 1, tokens, prefixes, priority, now)


def ended(made, until, what):
    return [
        (done.request_id, round(done.at, 3))
        for done in made.advance(until)
        if done.kind == what
    ]


def test_prefills_run_one_at_a_time_by_priority():
    made = make(prefill_base_s=0.0)
    for request_id, priority in (("a", 0), ("b", 0), ("c", 1)):
        prefill(made, request_id, 8000, priority=priority)
    assert ended(made, 9.0, "prefill") == [("a", 1.0), ("c", 2.0), ("b", 3.0)]


def test_cached_prefix_shortens_a_prefill_until_it_is_evicted():
    made = make(prefill_base_s=0.0, cache_blocks=4)
    times = []
    for number, prefixes in enumerate(
        [(1, 2, 3), (1, 2, 3), (7, 8), (1, 2, 3)]
    ):
        start = number * 10.0
        prefill(made, f"r{number}", 1024, start, prefixes=prefixes)
        [(_, at)] = ended(made, start + 9, "prefill")
        times.append(round(at - start, 3))
    assert times == [0.128, 0.032, 0.128, 0.064]


@pytest.mark.parametrize(("wait_s", "there"), [(0.79, True), (0.81, False)])
def test_prefill_result_is_evicted(wait_s, there):
    made = make()
    handle = prefill(made, "a", 1000)
    [(_, at)] = ended(made, 0.5, "prefill")
    made.advance(at + wait_s)
    assert (made.export(handle, at + wait_s) is not None) is there
    assert made.requests() == []


def test_transfers_share_the_rate_of_the_link():
    made = make(link_bytes_per_s=1e9)
    handles = [prefill(made, x, 1000) for x in "ab"]
    made.advance(0.5)
    ends = [made.export(handle, 0.5).ends_at for handle in handles]
    assert ends == pytest.approx([0.7, 0.9])


def decode(made, request_id, tokens, now=0.0, length=None):
    assert made.reserve(request_id, 1, 100, tokens, length=length)
    made.start(request_id, now)


def test_step_takes_longer_with_more_sequences():
    made = make("decode")
    decode(made, "a", 10)
    [(_, alone)] = ended(made, 9.0, "last")
    made = make("decode")
    for number in range(20):
        decode(made, f"r{number}", 10)
    assert not made.reserve("r99", 1, 100, 10)
    together = ended(made, 9.0, "last")
    assert alone == pytest.approx(10 * 0.027)
    # The first step began with one sequence, which is gone in the last one.
    assert together[-1][1] == pytest.approx(0.027 + 9 * 0.065 + 0.063)


def test_cancelled_sequence_frees_its_memory_at_once():
    made = make("decode")
    decode(made, "a", 5000)
    made.advance(1.0)
    assert made.free_kv_blocks == 18
    made.cancel("a", 1.0)
    assert made.free_kv_blocks == 20
    assert ended(made, 999.0, "last") == []


def test_load_report_lags():
    made = make("decode")
    assert made.load(0.0)["pieces_free"] == 20
    decode(made, "a", 100)
    late = made.load(0.4)
    assert (late["pieces_free"], late["age_s"]) == (20, 0.4)
    assert made.load(0.6)["pieces_free"] == 19


def test_cache_events_come_late_and_with_gaps():
    made = make()
    made.cache.store((1, 2), 0.0)
    assert made.cache.events(0, 0.4)["events"] == []
    found = made.cache.events(0, 0.6)
    assert {event["prefix"] for event in found["events"]} == {1, 2}
    assert made.cache.events(found["seq"], 0.6)["events"] == []
    made.cache.store((3,), 1.0)
    made.cache.lose_events()
    made.cache.store((4,), 1.1)
    found = made.cache.events(found["seq"], 9.0)
    assert [event["prefix"] for event in found["events"]] == [4]
