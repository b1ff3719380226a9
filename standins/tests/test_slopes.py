import asyncio

import pytest

from hemlockreel_standins import footprint
from hemlockreel_standins import processes
from hemlockreel_standins import quiet_engines
from hemlockreel_standins import samples
from hemlockreel_standins import slopes


@pytest.mark.parametrize("slope", [0.0, 2.5, -1.0])
def test_fit_returns_slope_and_intercept(slope):
    points = tuple((x, 7.0 + slope * x) for x in (3, 12, 48))
    found = slopes.Series("memory", "MB", points).fit()
    assert found == pytest.approx((slope, 7.0))


def test_usage_is_the_rate_between_two_samples():
    first = samples.Sample(
        10.0, 1000, 2.0, 5, {"peers": 100.0, "data": 50.0}, {}, {}
    )
    second = samples.Sample(
        14.0, 2000, 3.0, 5, {"peers": 500.0, "data": 90.0}, {}, {}
    )
    usage = samples.between(first, second)
    assert usage.processor == pytest.approx(0.25)
    assert usage.sent == {"peers": 100.0, "data": 10.0}
    assert usage.control_sent() == pytest.approx(100.0)
    assert samples.mean([usage, usage]).sent == usage.sent


def test_footprint_steps_add_up_to_the_total():
    steps = footprint.measure((("nothing", "pass"), ("list", "a = [0] * 10")))
    assert [step.name for step in steps] == ["nothing", "list"]
    assert steps[1].total == pytest.approx(steps[0].total + steps[1].added)


def test_quiet_engine_reports_its_role_and_no_requests():
    async def fetch():
        engine = quiet_engines.Engine("prefill")
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        return [
            await asyncio.to_thread(processes.get, address, path)
            for path in ("/v1/load", "/v1/requests")
        ]

    load, requests = asyncio.run(fetch())
    assert load["role"] == "prefill"
    assert requests == {"requests": []}
