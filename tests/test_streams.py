"""Tests promise 4: a caller gets its own response whole, or an error."""

from concurrent import futures
import signal

import pytest

from hemlockreel_standins import processes
from hemlockreel_standins import raw_caller

POOL = {"service": "lesar", "model": "lesar-7b", "max_output_tokens": 2048}
TOKENS = 12


def completion_body(tokens=TOKENS, prompt="alloy " * 40):
    return {"model": "lesar-7b", "prompt": prompt, "max_tokens": tokens}


@pytest.fixture(scope="module")
def small():
    """Two daemons with one prefill and one decode engine."""
    with processes.Deployment("midt-norge") as deployment:
        deployment.prefill = deployment.add_replica(
            "lesar", "trondheim-a", "prefill"
        )
        deployment.decode = deployment.add_replica(
            "lesar", "trondheim-a", "decode"
        )
        deployment.apply("modelpools", "lesar", POOL)
        for zone in ("trondheim-a", "trondheim-b"):
            deployment.add_daemon(zone)
        for daemon in deployment.daemons:
            daemon.await_ready()
        yield deployment


@pytest.fixture
def faults(small):
    """Sets faults of the decode engine, and clears them at the end."""
    address = small.decode.address

    def put(**given):
        processes.put(address, "/_faults", given)

    yield put
    processes.HTTP.request("DELETE", f"http://{address}/_faults")


@pytest.mark.parametrize("cut", range(1, TOKENS))
def test_cut_stream_is_resumed_with_nothing_lost_or_doubled(
    small, faults, cut
):
    faults(cut_after_tokens=cut)
    received = raw_caller.Stream(
        small.daemons[0].callers, completion_body()
    ).read_all()
    assert received.whole(TOKENS), received


@pytest.mark.parametrize("fault", ["wrong_id", "repeat_answer", "skip_token"])
def test_stray_doubled_and_missing_tokens_are_corrected(small, faults, fault):
    faults(**{fault: True})
    received = raw_caller.Stream(
        small.daemons[0].callers, completion_body()
    ).read_all()
    assert received.whole(TOKENS), received


def test_silent_stream_is_resumed_on_a_new_connection(small, faults):
    faults(mute_after_tokens=4)
    received = raw_caller.Stream(
        small.daemons[0].callers, completion_body()
    ).read_all()
    assert received.whole(TOKENS), received


def test_prefill_is_kept_until_memory_is_free(small, faults):
    faults(memory_full=3)
    daemon = small.daemons[0]
    received = raw_caller.Stream(daemon.callers, completion_body()).read_all()
    assert received.whole(TOKENS), received
    path = f"/traces?request_id={received.request_id}"
    names = [span["name"] for span in processes.get(daemon.operators, path)]
    assert names.count("prefill") == 1


def test_unstreamed_response_is_whole_after_a_cut(small, faults):
    faults(cut_after_tokens=5)
    status, body = raw_caller.complete(
        small.daemons[0].callers, completion_body()
    )
    wanted = raw_caller.engine.completion_text(body["id"], TOKENS)
    assert (status, body["choices"][0]["text"]) == (200, wanted)


def test_cut_that_can_not_be_resumed_does_not_look_whole(small):
    stream = raw_caller.Stream(small.daemons[0].callers, completion_body(400))
    stream.read_tokens(3)
    cancel = {"request_id": stream.request_id}
    processes.HTTP.request(
        "POST", f"http://{small.decode.address}/v1/cancel", json=cancel
    )
    received = stream.read_all()
    assert not received.done
    assert not received.clean
    assert received.error["ran"] == "unknown"


def test_unstreamed_cut_that_can_not_be_resumed_is_refused(small):
    address = small.daemons[0].callers
    with futures.ThreadPoolExecutor(1) as pool:
        response = pool.submit(
            raw_caller.complete, address, completion_body(400)
        )
        processes.await_that(lambda: held(small), 10, "nothing was decoded")
        for request_id in held(small):
            processes.HTTP.request(
                "POST",
                f"http://{small.decode.address}/v1/cancel",
                json={"request_id": request_id},
            )
        status, body = response.result()
    # After a cancel before the first token, the second attempt is refused.
    assert status in (502, 503)
    assert body["error"]["ran"] == "unknown"


def held(deployment):
    found = processes.get(deployment.decode.address, "/v1/requests")[
        "requests"
    ]
    return [each["request_id"] for each in found if each["state"] == "decode"]


def test_concurrent_callers_get_their_own_responses(small):
    def read(index):
        address = small.daemons[index % 2].callers
        return raw_caller.Stream(address, completion_body(30)).read_all()

    with futures.ThreadPoolExecutor(8) as pool:
        received = list(pool.map(read, range(8)))
    assert all(each.whole(30) for each in received)
    assert len({each.request_id for each in received}) == 8


def test_stream_cut_by_a_killed_host_does_not_look_whole(small):
    daemon = small.add_daemon("orkanger")
    daemon.await_ready()
    stream = raw_caller.Stream(daemon.callers, completion_body(400))
    stream.read_tokens(3)
    daemon.signal(signal.SIGKILL)
    received = stream.read_all()
    assert not received.done
    assert not received.clean
