import json
import threading
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers
import urllib3

from hemlockreel_standins import engine
from hemlockreel_standins import engine_model
from hemlockreel_standins import server

FAST = engine_model.Settings(
    step_base_s=0.002, step_per_sequence_s=0.0, result_ttl_s=0.3
)
PROMPT = "x" * 4000
PROMPT_TOKENS = 1000

pytest_bdd.scenarios("features/engine.feature")


class Engine:
    def __init__(self, role, fencing=True):
        opened = engine.EngineStandIn(role, settings=FAST, fencing=fencing)
        self.stand_in = opened
        self.address = server.start(opened)
        self.pool = urllib3.PoolManager(retries=False, timeout=5.0)

    def call(self, path, body=None, method=None):
        method = method or ("GET" if body is None else "POST")
        url = f"http://{self.address}{path}"
        try:
            response = self.pool.request(
                method, url, json=body, preload_content=False
            )
        except urllib3.exceptions.HTTPError:
            return 0, []
        lines = []
        try:
            for line in response:
                lines.append(json.loads(line))
        except urllib3.exceptions.HTTPError:
            pass
        return response.status, lines

    def list_requests(self):
        return self.call("/v1/requests")[1][0]["requests"]


class World:
    prefill: Engine
    decode: Engine
    handle = ""
    lines = ()
    status = 0
    cancel_response = ()

    def decode_request(self, request_id, **changed):
        body = {
            "request_id": request_id,
            "attempt": 1,
            "handle": self.handle,
            "source": self.prefill.address,
            "prompt_tokens": PROMPT_TOKENS,
            "max_tokens": 12,
            "offset": 0,
            "priority": 0,
        }
        return self.decode.call("/v1/decode", {**body, **changed})


@pytest.fixture
def world():
    return World()


@pytest_bdd.given("a prefill engine and a decode engine")
def _(world):
    world.prefill = Engine("prefill")
    world.decode = Engine("decode")


@pytest_bdd.given(parsers.re(r"an engine that (?P<checks>\w+) fencing.*"))
def _(world, checks):
    world.decode = Engine("decode", checks == "checks")


@pytest_bdd.given(parsers.parse("the decode fault {fault} is {value}"))
def _(world, fault, value):
    body = {fault: json.loads(value)}
    assert world.decode.call("/_faults", body, "PUT")[0] == 200


@pytest_bdd.when("request r1 is prefilled")
def _(world):
    body = {"request_id": "r1", "attempt": 1, "prompt": PROMPT}
    status, [done] = world.prefill.call("/v1/prefill", body)
    assert (status, done["prompt_tokens"]) == (200, PROMPT_TOKENS)
    world.handle = done["handle"]


@pytest_bdd.when("request r1 is prefilled and decoded for 12 tokens")
def _(world):
    body = {"request_id": "r1", "attempt": 1, "prompt": PROMPT}
    world.handle = world.prefill.call("/v1/prefill", body)[1][0]["handle"]
    status, world.lines = world.decode_request("r1")
    assert status == 200


@pytest_bdd.when("request r1 is prefilled and starts to decode 5000 tokens")
def _(world):
    body = {"request_id": "r1", "attempt": 1, "prompt": PROMPT}
    world.handle = world.prefill.call("/v1/prefill", body)[1][0]["handle"]
    decode = {"max_tokens": 5000}
    threading.Thread(
        target=world.decode_request, args=("r1",), kwargs=decode, daemon=True
    ).start()
    wait_for(lambda: world.decode.stand_in.model.generated_tokens("r1") > 0)


def wait_for(done, limit_s=4.0):
    end = time.monotonic() + limit_s
    while not done():
        assert time.monotonic() < end
        time.sleep(0.01)


@pytest_bdd.when("the result is left until it is gone")
def _(world):
    wait_for(lambda: not world.prefill.stand_in.model.results)


@pytest_bdd.when("the memory is taken by others")
def _(world):
    model = world.decode.stand_in.model
    while model.reserve(f"other{len(model.sequences)}", 1, 4000, 90):
        continue


@pytest_bdd.when("r1 is resumed at an empty engine")
def _(world):
    world.offset = 3


@pytest_bdd.when("r1 is cancelled at the decode engine")
def _(world):
    body = {"request_id": "r1"}
    world.status, world.cancel_response = world.decode.call("/v1/cancel", body)


@pytest_bdd.when(
    parsers.parse(
        "an order with fence 7 and then one with fence {fence:d} is given"
    )
)
def _(world, fence):
    for number in (7, fence):
        world.status = order(world, fence=number)[0]


@pytest_bdd.when("an order expects the role plain")
def _(world):
    world.status = order(world, expected={"role": "plain"})[0]


@pytest_bdd.when("an order changes the role to prefill")
def _(world):
    world.status = order(world)[0]


def order(world, **changed):
    body = {
        "order_id": "o1",
        "fence": 1,
        "order": "set_role",
        "value": "prefill",
        "expected": {},
    }
    return world.decode.call("/v1/orders", {**body, **changed})


@pytest_bdd.then("the response is complete")
def _(world):
    assert is_complete(world.lines)


def is_complete(lines):
    text = "".join(line["text"] for line in lines)
    return text == engine.completion_text("r1", 12) and lines[-1]["done"]


@pytest_bdd.then("the decode engine holds nothing")
def _(world):
    assert world.decode.list_requests() == []


@pytest_bdd.then(parsers.re(r"(?P<count>\d+) tokens? (was|were) seen"))
def _(world, count):
    assert len(world.lines) == int(count)


@pytest_bdd.then("a line of another request was seen")
def _(world):
    assert {x["request_id"] for x in world.lines} == {"r1", "other-r1"}


@pytest_bdd.then("a line was seen twice")
def _(world):
    offsets = [x["offset"] for x in world.lines]
    assert len(offsets) == len(set(offsets)) + 1


@pytest_bdd.then("request r1 is complete once it is resumed")
def _(world):
    received = {x["offset"]: x for x in world.lines if x["request_id"] == "r1"}
    if len(received) < 12:
        status, rest = world.decode_request(
            "r1", offset=len(received), attempt=2
        )
        assert status == 200
        assert {x["attempt"] for x in rest} == {2}
        received.update({x["offset"]: x for x in rest})
    assert is_complete([received[offset] for offset in sorted(received)])


@pytest_bdd.then(
    parsers.parse("the decode of r1 responds with {status:d} and {error}")
)
def _(world, status, error):
    offset = getattr(world, "offset", 0)
    assert world.decode_request("r1", offset=offset) == (
        status,
        [{"error": error}],
    )


@pytest_bdd.then("the decode engine has started no decode")
def _(world):
    assert world.decode.call("/_journal")[1][0]["runs"] == []


@pytest_bdd.then(parsers.parse("the cancel responds with {answer}"))
def _(world, answer):
    if answer == "nothing":
        assert world.status == 0
    else:
        held = json.loads(answer.removeprefix("held "))
        assert world.cancel_response == [{"request_id": "r1", "held": held}]


@pytest_bdd.then(parsers.parse("the decode engine holds {pieces:d} KV blocks"))
def _(world, pieces):
    assert sum(x["pieces"] for x in world.decode.list_requests()) == pieces


@pytest_bdd.then(parsers.parse("the second order responds with {status:d}"))
def _(world, status):
    assert world.status == status


@pytest_bdd.then("the order responds with 412 and changes nothing")
def _(world):
    assert world.status == 412
    assert world.decode.stand_in.model.role == "decode"


@pytest_bdd.then("the order has taken effect once")
def _(world):
    assert world.status == 0
    assert world.decode.stand_in.model.role == "prefill"
    assert len(world.decode.call("/_journal")[1][0]["orders"]) == 1
