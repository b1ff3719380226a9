"""Callers that put a load on real daemons, and the results they observe.

The load is an open loop: requests start at the times of a seeded Poisson
process, whether or not earlier ones have finished. Callers fetch the addresses
of the daemons, cache them for their time to live and connect directly.
"""

import collections
from collections.abc import Iterable
import http.client
import json
import math
import random
import threading
import time
from typing import NamedTuple

from hdrh import histogram

from . import processes

REQUEST_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 2.0
MAX_RETRIES = 3  # after refusals and refused connections
HIGHEST_MS = 60_000


class Load(NamedTuple):
    """The load that the callers create.

    ``rate`` is in requests per second; requests start for ``duration_s``.
    """

    rate: float
    duration_s: float
    seed: int
    model: str
    output_tokens: int = 48
    median_prompt_tokens: int = 400
    organisations: int = 8
    klass: str = ""


class Sample(NamedTuple):
    """The result that one caller observed.

    ``started_s`` counts from the start of the load. ``outcome`` is
    ``answered``, ``cut`` (the stream ended early), ``failed`` (no response at
    all) or the reason of the last refusal. ``first_token_s`` and ``between_s``
    (mean time between tokens) are infinite without tokens. ``returns`` counts
    the retries, ``refused_in_s`` is the latency of the last refusal.
    """

    started_s: float
    outcome: str
    ran: str = ""
    first_token_s: float = math.inf
    between_s: float = math.inf
    tokens: int = 0
    returns: int = 0
    refused_in_s: float = math.inf

    def is_good(self, first_token_s: float, between_s: float) -> bool:
        """Returns whether a whole response met both targets."""
        return (
            self.outcome == "answered"
            and self.first_token_s <= first_token_s
            and self.between_s <= between_s
        )


class Callers:
    """The callers of one load.

    ``addresses`` are the daemons that the current addresses are fetched from.
    """

    def __init__(self, load: Load, addresses: Iterable[str]):
        self.load = load
        self.samples: list[Sample] = []
        self._initial_addresses = list(addresses)
        self._rng = random.Random(load.seed)
        self._lock = threading.Lock()
        self._cached: tuple[list[str], float] = ([], 0.0)
        self._started_at = 0.0

    def run(self) -> list[Sample]:
        """Runs the whole load and returns one sample per request."""
        self._started_at = time.monotonic()
        threads = []
        due = 0.0
        number = 0
        while True:
            due += self._rng.expovariate(self.load.rate)
            if due > self.load.duration_s:
                break
            time.sleep(max(0.0, self._started_at + due - time.monotonic()))
            number += 1
            body = self._make_body()
            thread = threading.Thread(
                target=self._run_caller, args=(number, body), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(REQUEST_TIMEOUT_S)
        return self.samples

    def _make_body(self) -> dict:
        # Of the log-normal length, whose tail is about 10 times the median.
        sigma = 0.8
        factor = math.exp(sigma * self._rng.gauss(0.0, 1.0))
        words = int(self.load.median_prompt_tokens * factor) + 10
        group = self._rng.randrange(self.load.organisations)
        prompt = f"organisation {group} shared preface " * 40
        prompt += "".join(self._rng.choices("abcdefgh", k=4 * words))
        return {
            "model": self.load.model,
            "prompt": prompt,
            "max_tokens": self.load.output_tokens,
            "stream": True,
            "class": self.load.klass,
        }

    def _run_caller(self, number: int, body: dict) -> None:
        started = time.monotonic()
        organisation = f"organisation-{number % self.load.organisations}"
        sample = Sample(started - self._started_at, "failed")
        for returns in range(MAX_RETRIES + 1):
            sample, retry_after_s = self._send(organisation, body, sample)
            sample = sample._replace(returns=returns)
            if retry_after_s is None:
                break
            time.sleep(retry_after_s)
        with self._lock:
            self.samples.append(sample)

    def _send(
        self, organisation: str, body: dict, sample: Sample
    ) -> tuple[Sample, float | None]:
        """Sends the request once.

        Returns the result and the delay before the next try, None if there is
        to be none.
        """
        sent_at = time.monotonic()
        host, _, port = self._pick_address(organisation).rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=REQUEST_TIMEOUT_S
        )
        try:
            connection.request(
                "POST",
                "/v1/completions",
                json.dumps(body),
                {
                    "Content-Type": "application/json",
                    "X-Organisation": organisation,
                },
            )
            response = connection.getresponse()
            if response.status != 200:
                error = json.loads(response.read())["error"]
                return sample._replace(
                    outcome=error["reason"],
                    ran=error["ran"],
                    refused_in_s=time.monotonic() - sent_at,
                ), error.get("retry_after_s")
            return self._read_stream(response, sent_at, sample), None
        except ConnectionRefusedError:
            self._forget_addresses()
            return sample._replace(outcome="failed"), 0.5
        except (OSError, http.client.HTTPException, ValueError):
            return sample._replace(outcome="failed"), None
        finally:
            connection.close()

    def _read_stream(
        self,
        response: http.client.HTTPResponse,
        sent_at: float,
        sample: Sample,
    ) -> Sample:
        """Reads a stream, which is whole only if its last event arrives."""
        times = []
        outcome = "cut"
        try:
            while line := response.readline():
                if line.startswith(b"data: [DONE]"):
                    outcome = "answered"
                elif line.startswith(b"data: "):
                    event = json.loads(line[6:])
                    choices = event.get("choices")
                    if choices and choices[0]["text"]:
                        times.append(time.monotonic())
        except (OSError, http.client.HTTPException, ValueError):
            outcome = "cut"
        if not times:
            return sample._replace(outcome=outcome)
        gaps = max(len(times) - 1, 1)
        return sample._replace(
            outcome=outcome,
            first_token_s=times[0] - sent_at,
            between_s=(times[-1] - times[0]) / gaps,
            tokens=len(times),
        )

    def _pick_address(self, caller: str) -> str:
        """Returns an address for a caller, from the cache until it expires."""
        with self._lock:
            addresses, expires_at = self._cached
            initial = list(self._initial_addresses)
        if not addresses or time.monotonic() > expires_at:
            addresses = self._fetch_addresses(initial, caller)
        return addresses[hash(caller) % len(addresses)]

    def _fetch_addresses(self, initial: list[str], caller: str) -> list[str]:
        for address in initial:
            try:
                response = processes.get(
                    address, f"/v1/addresses?caller={caller}"
                )
            except processes.HTTP_FAILURES:
                continue
            cached = (
                response["addresses"],
                time.monotonic() + response["ttl_s"],
            )
            with self._lock:
                self._cached = cached
            return response["addresses"]
        return initial

    def _forget_addresses(self) -> None:
        with self._lock:
            self._cached = ([], 0.0)


class Summary(NamedTuple):
    """The figures of a load: rates per second, times in milliseconds."""

    asked: int
    goodput: float
    answered: int
    outcomes: dict[str, int]
    first_token_ms: tuple[float, float, float]
    between_ms: tuple[float, float, float]
    slowest_refusal_ms: float
    returns: int


def summarise(
    samples: list[Sample],
    begin_s: float,
    end_s: float,
    first_token_s: float,
    between_s: float,
) -> Summary:
    """Returns the figures of the requests that started in an interval.

    The interval is ``begin_s`` to ``end_s`` from the start of the load;
    ``first_token_s`` and ``between_s`` are the targets of a good response.
    """
    chosen = [
        sample for sample in samples if begin_s <= sample.started_s < end_s
    ]
    good = sum(sample.is_good(first_token_s, between_s) for sample in chosen)
    refusals = [
        sample.refused_in_s
        for sample in chosen
        if math.isfinite(sample.refused_in_s)
    ]
    return Summary(
        len(chosen),
        good / (end_s - begin_s),
        sum(sample.outcome == "answered" for sample in chosen),
        dict(collections.Counter(sample.outcome for sample in chosen)),
        _percentiles(sample.first_token_s for sample in chosen),
        _percentiles(sample.between_s for sample in chosen),
        1000 * max(refusals, default=0.0),
        sum(sample.returns for sample in chosen),
    )


def _percentiles(seconds: Iterable[float]) -> tuple[float, float, float]:
    """Returns the 50th, 95th and 99th percentile in milliseconds."""
    latencies = histogram.HdrHistogram(1, HIGHEST_MS * 1000, 3)
    for value in seconds:
        if math.isfinite(value):
            latencies.record_value(max(1, int(value * 1e6)))
    at = [latencies.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]
    return at[0], at[1], at[2]
