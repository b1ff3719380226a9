"""Measures the cost of daemons that handle streams, requests and bookings."""

from collections.abc import Callable
from concurrent import futures
import time

from . import caller as callers
from . import processes
from . import samples
from . import slope_rig

STREAM_TOKENS = 300
STREAM_START_S = 3.0  # until all streams are running
STREAM_MEASURE_S = 4.0
LOAD_WARM_UP_S = 2.0  # before the measurement starts
LOAD_S = 8.0
LOAD_THREADS = 64


def measure_streams(number: int) -> slope_rig.Values:
    """Measures ``number`` streams through one daemon, which owns the shard."""
    engines = ("prefill", "prefill", "decode", "decode", "decode")
    arguments = ("--model", "drafter-3b", "--pieces", "64")
    with (
        slope_rig.start_deployment(
            1, 160, (), engines, arguments
        ) as deployment,
        futures.ThreadPoolExecutor(number) as pool,
    ):
        running = [
            pool.submit(_stream, deployment.daemons[0].callers, index)
            for index in range(number)
        ]
        time.sleep(STREAM_START_S)
        before = time.monotonic()
        usages = samples.measure_usages(deployment.daemons, STREAM_MEASURE_S)
        after = time.monotonic()
        open_before = sum(not each.done() for each in running)
        responses = [each.result() for each in running]
    whole = [response for response in responses if response.whole]
    tokens = sum(
        before <= at <= after
        for response in whole
        for at in response.token_times
    )
    values = slope_rig.describe(usages[0])
    rate = tokens / (after - before)
    values["streams that were whole"] = ("", float(len(whole)))
    values["streams still open at the end"] = ("", float(open_before))
    values["tokens"] = ("1/s", rate)
    values["processor a token"] = ("us", 1e6 * usages[0].processor / rate)
    return values


def _stream(address: str, index: int) -> callers.Response:
    body = {
        "model": "drafter-3b",
        "prompt": f"wind and tide, note {index}. " * 4,
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    started = time.monotonic()
    response = callers.Caller("acme", address).complete(body, address)
    times = tuple(started + at for at in response.token_times)
    return response._replace(token_times=times)


def measure_requests(rate: int) -> slope_rig.Values:
    """Measures short completions through three daemons, ``rate`` a second."""
    engines = ("prefill", "prefill", "decode", "decode", "decode")
    arguments = ("--model", "drafter-3b", "--pieces", "64")
    body = {"model": "drafter-3b", "prompt": "tide " * 20, "max_tokens": 2}

    def send(address: str, index: int) -> bool:
        caller = callers.Caller(f"organisation-{index % 8}", address)
        return caller.complete({**body, "stream": True}, address).whole

    with slope_rig.start_deployment(
        3, 100, (), engines, arguments
    ) as deployment:
        return _measure_load(deployment, rate, send)


def measure_bookings(rate: int) -> slope_rig.Values:
    """Measures bookings through three daemons, ``rate`` a second in all.

    Each booking has an idempotency key.
    """

    def send(address: str, index: int) -> bool:
        caller = callers.Caller(f"organisation-{index % 8}", address)
        path = "/services/bookings/lots"
        return caller.call("POST", path, {"lot": index}, f"key-{index}").whole

    with slope_rig.start_deployment(3, 100) as deployment:
        return _measure_load(deployment, rate, send)


def _measure_load(
    deployment: processes.Deployment,
    rate: int,
    send: Callable[[str, int], bool],
) -> slope_rig.Values:
    """Sends ``rate`` requests per second in turn to all daemons.

    Returns the daemons' usage and the store's calls over the middle of the
    load, without its start and end, and the share of requests answered.
    """
    addresses = [daemon.callers for daemon in deployment.daemons]
    with (
        futures.ThreadPoolExecutor(LOAD_THREADS) as pool,
        futures.ThreadPoolExecutor(1) as observer,
    ):
        observed = observer.submit(_measure_usage, deployment)
        started = time.monotonic()
        sent = []
        for index in range(int(rate * (LOAD_WARM_UP_S + LOAD_S + 1.0))):
            time.sleep(max(0.0, started + index / rate - time.monotonic()))
            address = addresses[index % len(addresses)]
            sent.append(pool.submit(send, address, index))
        answered = sum(each.result() for each in sent)
        values, store_calls = observed.result()
    for name, count in store_calls.items():
        values[f"{name}, all daemons"] = ("1/s", count / LOAD_S)
    values["answered"] = ("%", 100 * answered / len(sent))
    return values


def _measure_usage(deployment: processes.Deployment):
    """Returns the daemons' usage and the platform calls over ``LOAD_S``."""
    time.sleep(LOAD_WARM_UP_S)
    before = slope_rig.count_calls(deployment)
    usage, values = slope_rig.measure_usage(deployment, LOAD_S)
    after = slope_rig.count_calls(deployment)
    sent = sum(
        rate
        for (link, direction, _), rate in usage.messages.items()
        if (link, direction) == ("peers", "sent")
    )
    values["messages sent to peers"] = ("1/s", sent)
    return values, {name: after[name] - before[name] for name in after}
