"""What daemons cost that carry streams, short requests and bookings."""

from collections.abc import Callable
from concurrent import futures
import time

from . import caller as callers
from . import processes
from . import samples
from . import slope_rig

STREAM_TOKENS = 300
STREAM_HEAD_S = 3.0  # until all streams run
STREAM_WATCH_S = 4.0
LOAD_LEAD_S = 2.0  # a load runs this long before it is measured
LOAD_S = 8.0
LOAD_THREADS = 64


def measure_streams(number: int) -> slope_rig.Values:
    """Streams through one daemon that owns the engines as well."""
    engines = ("prefill", "prefill", "decode", "decode", "decode")
    arguments = ("--model", "drafter-3b", "--pieces", "64")
    with (
        slope_rig.deployment(1, 160, (), engines, arguments) as made,
        futures.ThreadPoolExecutor(number) as pool,
    ):
        running = [
            pool.submit(_stream, made.daemons[0].callers, index)
            for index in range(number)
        ]
        time.sleep(STREAM_HEAD_S)
        before = time.monotonic()
        uses = samples.watch(made.daemons, STREAM_WATCH_S)
        after = time.monotonic()
        open_before = sum(not each.done() for each in running)
        answers = [each.result() for each in running]
    whole = [answer for answer in answers if answer.whole]
    tokens = sum(
        before <= at <= after for answer in whole for at in answer.token_times
    )
    found = slope_rig.describe(uses[0])
    rate = tokens / (after - before)
    found["streams that were whole"] = ("", float(len(whole)))
    found["streams still open at the end"] = ("", float(open_before))
    found["tokens"] = ("1/s", rate)
    found["processor a token"] = ("us", 1e6 * uses[0].processor / rate)
    return found


def _stream(address: str, index: int) -> callers.Response:
    body = {
        "model": "drafter-3b",
        "prompt": f"wind and tide, note {index}. " * 4,
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    started = time.monotonic()
    answer = callers.Caller("acme", address).complete(body, address)
    times = tuple(started + at for at in answer.token_times)
    return answer._replace(token_times=times)


def measure_requests(rate: int) -> slope_rig.Values:
    """Short completions through three daemons, ``rate`` a second in all."""
    engines = ("prefill", "prefill", "decode", "decode", "decode")
    arguments = ("--model", "drafter-3b", "--pieces", "64")
    body = {"model": "drafter-3b", "prompt": "tide " * 20, "max_tokens": 2}

    def send(address: str, index: int) -> bool:
        caller = callers.Caller(f"organisation-{index % 8}", address)
        return caller.complete({**body, "stream": True}, address).whole

    with slope_rig.deployment(3, 100, (), engines, arguments) as made:
        return _load(made, rate, send)


def measure_calls(rate: int) -> slope_rig.Values:
    """Bookings with keys through three daemons, ``rate`` a second in all."""

    def send(address: str, index: int) -> bool:
        caller = callers.Caller(f"organisation-{index % 8}", address)
        path = "/services/bookings/lots"
        return caller.call("POST", path, {"lot": index}, f"key-{index}").whole

    with slope_rig.deployment(3, 100) as made:
        return _load(made, rate, send)


def _load(
    made: processes.Deployment,
    rate: int,
    send: Callable[[str, int], bool],
) -> slope_rig.Values:
    """Sends at a steady rate, over all daemons, and measures the middle."""
    addresses = [daemon.callers for daemon in made.daemons]
    with (
        futures.ThreadPoolExecutor(LOAD_THREADS) as pool,
        futures.ThreadPoolExecutor(1) as watcher,
    ):
        watched = watcher.submit(_watch_load, made)
        started = time.monotonic()
        sent = []
        for index in range(int(rate * (LOAD_LEAD_S + LOAD_S + 1.0))):
            time.sleep(max(0.0, started + index / rate - time.monotonic()))
            address = addresses[index % len(addresses)]
            sent.append(pool.submit(send, address, index))
        answered = sum(each.result() for each in sent)
        found, stored = watched.result()
    for name, count in stored.items():
        found[f"{name}, all daemons"] = ("1/s", count / LOAD_S)
    found["answered"] = ("%", 100 * answered / len(sent))
    return found


def _watch_load(made: processes.Deployment):
    """Returns what the daemons use and the calls of the store meanwhile."""
    time.sleep(LOAD_LEAD_S)
    before = slope_rig.count_calls(made)
    use, found = slope_rig.watch(made, LOAD_S)
    after = slope_rig.count_calls(made)
    sent = sum(
        rate
        for (link, direction, _), rate in use.messages.items()
        if (link, direction) == ("peers", "sent")
    )
    found["messages sent to peers"] = ("1/s", sent)
    return found, {name: after[name] - before[name] for name in after}
