"""Tests promise 3 at the entry: engines free memory of callers that left."""

import socket
import time

import pytest

from hemlockreel_standins import processes
from hemlockreel_standins import raw_caller

POOL = {
    "service": "lesar",
    "model": "lesar-7b",
    "max_output_tokens": 40000,
    "first_token_ms": 30000,
}
BOUND_S = 4.0
SLOW_READER_BOUND_S = (
    12.0  # longer, since the caller's socket buffers must fill first
)
LONG_PROMPT = "tide " * 4000  # a prefill of 10 s
SHORT_PROMPT = "tide " * 8


@pytest.fixture(scope="module")
def slow():
    """One daemon with a slow prefill engine and a decode engine."""
    with processes.Deployment("highlands") as deployment:
        deployment.prefill = deployment.add_replica(
            "drafter",
            "highlands-a",
            "prefill",
            ("--prefill-tokens-per-s", "500"),
        )
        deployment.decode = deployment.add_replica(
            "drafter", "highlands-a", "decode"
        )
        deployment.apply(
            "modelpools", "drafter", {**POOL, "service": "drafter"}
        )
        deployment.add_daemon("highlands-a").await_ready()
        yield deployment


@pytest.fixture
def faults(slow):
    """Sets faults of both engines, and clears them at the end."""
    engines = (slow.prefill.address, slow.decode.address)

    def put(**given):
        for address in engines:
            processes.put(address, "/_faults", given)

    yield put
    for address in engines:
        processes.HTTP.request("DELETE", f"http://{address}/_faults")


def completion_body(prompt=SHORT_PROMPT, tokens=2000, stream=False):
    return {
        "model": "lesar-7b",
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }


def held_states(deployment):
    """Returns the states of all requests that the engines hold."""
    return {
        held["state"]
        for engine in (deployment.prefill, deployment.decode)
        for held in processes.get(engine.address, "/v1/requests")["requests"]
    }


def await_state(deployment, state):
    processes.await_that(
        lambda: state in held_states(deployment), 10, f"never in {state}"
    )


def await_free(deployment, bound_s):
    started = time.monotonic()
    processes.await_that(
        lambda: not held_states(deployment),
        bound_s + 20,
        f"held: {held_states(deployment)}",
    )
    took = time.monotonic() - started
    assert took < bound_s, took


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize(
    ("state", "prompt"),
    [("prefill", LONG_PROMPT), ("decode", SHORT_PROMPT)],
)
def test_memory_is_free_after_the_caller_closed(slow, state, prompt, stream):
    connection = raw_caller.send(
        slow.daemons[0].callers, completion_body(prompt, stream=stream)
    )
    await_state(slow, state)
    connection.close()
    await_free(slow, BOUND_S)


@pytest.mark.parametrize("stream", [False, True])
def test_memory_is_free_when_the_engine_is_silent_too(slow, faults, stream):
    faults(mute_after_tokens=3)
    connection = raw_caller.send(
        slow.daemons[0].callers, completion_body(stream=stream)
    )
    await_state(slow, "decode")
    time.sleep(0.5)  # The stream is silent by now, but not yet resumed.
    connection.close()
    await_free(slow, BOUND_S)


def test_memory_is_free_when_cancels_are_lost(slow, faults):
    faults(lose_answers=2)
    connection = raw_caller.send(slow.daemons[0].callers, completion_body())
    await_state(slow, "decode")
    connection.close()
    await_free(slow, BOUND_S)


def test_caller_that_stops_reading_is_cut_off(slow, faults):
    faults(slow_factor=0.1)
    host, _, port = slow.daemons[0].callers.rpartition(":")
    silent = socket.socket()
    silent.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    silent.connect((host, int(port)))
    body = raw_caller.json.dumps(
        completion_body(tokens=30000, stream=True)
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with silent:
        silent.sendall(head.encode() + body)
        await_state(slow, "decode")
        await_free(slow, SLOW_READER_BOUND_S)


def test_slots_are_free_after_callers_left(slow):
    """After 20 callers, as many as fit, have left, 20 more are admitted."""
    address = slow.daemons[0].callers
    for _ in range(2):
        callers = [
            raw_caller.send(address, completion_body()) for _ in range(20)
        ]
        processes.await_that(
            lambda: (
                len(
                    processes.get(slow.decode.address, "/v1/requests")[
                        "requests"
                    ]
                )
                == 20
            ),
            15,
            "not all were granted",
        )
        for connection in callers:
            connection.close()
        await_free(slow, BOUND_S)


@pytest.mark.parametrize("stream", [False, True])
def test_memory_is_free_after_a_caller_left_in_transfer(slow, faults, stream):
    # The engine's link stays busy for 4 s, so this test comes last.
    faults(link_bytes_per_s=500_000)
    connection = raw_caller.send(
        slow.daemons[0].callers, completion_body(stream=stream)
    )
    await_state(slow, "import")
    connection.close()
    await_free(slow, BOUND_S)
