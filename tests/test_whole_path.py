import json

from hemlockreel_standins import processes


def post(address, path, value, **headers):
    return processes.HTTP.request(
        "POST",
        f"http://{address}{path}",
        body=json.dumps(value).encode(),
        headers={"Content-Type": "application/json", **headers},
    )


def test_completion_passes_all_stages(deployment):
    first = deployment.daemons[0]
    found = processes.get(first.callers, "/v1/addresses?caller=me")
    assert found["addresses"]
    completion_body = {
        "model": "lesar-7b",
        "prompt": "alloy " * 400,
        "max_tokens": 8,
    }
    response = post(found["addresses"][0], "/v1/completions", completion_body)
    assert response.status == 200, response.data
    body = response.json()
    request_id = body["id"]
    text = "".join(f"{request_id}:{offset} " for offset in range(8))
    assert body["choices"][0]["text"] == text
    spans = [
        span
        for daemon in deployment.daemons
        for span in processes.get(
            daemon.operators, f"/traces?request_id={request_id}"
        )
    ]
    names = {span["name"] for span in spans}
    assert names == {"entry", "decision", "prefill", "transfer", "decode"}
    assert len({span["trace_id"] for span in spans}) == 1


def test_booking_runs_once(deployment):
    address = deployment.daemons[0].callers
    responses = [
        post(address, "/orders/lots", {"lot": 7}, **{"Idempotency-Key": "k1"})
        for _ in range(2)
    ]
    assert responses[0].status == 200, responses[0].data
    runs = [
        run
        for host in deployment.hosts
        if host["role"] == "plain"
        for run in processes.get(host["address"], "/_journal")["runs"]
    ]
    assert len(runs) == 1
