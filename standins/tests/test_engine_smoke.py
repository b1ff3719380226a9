import json

import urllib3

from hemlockreel_standins import engine
from hemlockreel_standins import engine_model
from hemlockreel_standins import server

POOL = urllib3.PoolManager(retries=False)
FAST = engine_model.Settings(step_base_s=0.002, step_per_sequence_s=0.0)


def call(address, path, body=None):
    method = "GET" if body is None else "POST"
    response = POOL.request(method, f"http://{address}{path}", json=body)
    return response.status, response.data


def test_prefill_then_decode_returns_the_complete_response():
    prefill_address = server.start(
        engine.EngineStandIn("prefill", settings=FAST)
    )
    decode_address = server.start(
        engine.EngineStandIn("decode", settings=FAST)
    )
    ids = {"request_id": "r1", "attempt": 1}
    status, data = call(
        prefill_address, "/v1/prefill", {**ids, "prompt": "x" * 2000}
    )
    done = json.loads(data)
    assert (status, done["prompt_tokens"]) == (200, 500)
    decode = {
        **ids,
        "handle": done["handle"],
        "source": prefill_address,
        "prompt_tokens": 500,
        "max_tokens": 9,
        "offset": 0,
        "priority": 0,
    }
    status, data = call(decode_address, "/v1/decode", decode)
    lines = [json.loads(line) for line in data.splitlines()]
    assert "".join(x["text"] for x in lines) == engine.completion_text("r1", 9)
    assert [x["done"] for x in lines] == [False] * 8 + [True]
    status, data = call(decode_address, "/v1/decode", {**decode, "offset": 4})
    assert len(data.splitlines()) == 5
    assert json.loads(call(decode_address, "/v1/requests")[1]) == {
        "requests": []
    }
