import json

import urllib3

from hemlockreel_standins import engine
from hemlockreel_standins import engine_model
from hemlockreel_standins import server

POOL = urllib3.PoolManager(retries=False)
FAST = engine_model.Settings(step_base_s=0.002, step_per_sequence_s=0.0)


def call(address, path, body=None):
    method = "GET" if body is None else "POST"
    answer = POOL.request(method, f"http://{address}{path}", json=body)
    return answer.status, answer.data


def test_prefill_then_decode_gives_the_whole_answer():
    first = server.start(engine.EngineStandIn("prefill", settings=FAST))
    second = server.start(engine.EngineStandIn("decode", settings=FAST))
    asked = {"request_id": "r1", "attempt": 1}
    status, data = call(first, "/v1/prefill", {**asked, "prompt": "x" * 2000})
    done = json.loads(data)
    assert (status, done["prompt_tokens"]) == (200, 500)
    wanted = {
        **asked,
        "handle": done["handle"],
        "source": first,
        "prompt_tokens": 500,
        "max_tokens": 9,
        "offset": 0,
        "priority": 0,
    }
    status, data = call(second, "/v1/decode", wanted)
    lines = [json.loads(line) for line in data.splitlines()]
    assert "".join(x["text"] for x in lines) == engine.completion_text("r1", 9)
    assert [x["done"] for x in lines] == [False] * 8 + [True]
    status, data = call(second, "/v1/decode", {**wanted, "offset": 4})
    assert len(data.splitlines()) == 5
    assert json.loads(call(second, "/v1/requests")[1]) == {"requests": []}
