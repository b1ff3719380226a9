"""Runs both example deployments as separate processes.

``make demo`` starts the stand-ins and daemons, applies the configuration
with the ``hemlockreel`` command, sends requests as callers do, prints each
response with the hosts it passed through, and stops everything gracefully.
"""

import argparse
from concurrent import futures
import json
import random
import sys
import time
from typing import Any
from typing import NamedTuple

from . import caller as callers
from . import deployments
from . import engine
from . import processes

CALLERS = 4  # concurrent callers of one deployment
STREAMED = 8
UNSTREAMED = 4
BOOKINGS = 5
LAST_STREAM_TOKENS = 160  # long enough to outlast the SIGTERM
LAST_STREAM_HEAD_S = 0.7
STOP_TIMEOUT_S = 25.0
LOG_TAIL = 1500  # characters of a log that are reported


class Sent(NamedTuple):
    """A request that was sent and its response."""

    what: str
    tokens: int
    prompt_tokens: int
    response: callers.Response


class Demo:
    """The demo of one deployment, from start to stop."""

    def __init__(self, plan: deployments.Plan, entry_hosts: int):
        self.plan = plan
        self.faults: list[str] = []
        self._entry_hosts = entry_hosts
        self._rng = random.Random(plan.name)
        self._made: processes.Deployment | None = None
        self._labels: dict[str, str] = {}

    def start(self) -> None:
        """Starts all processes and applies the configuration."""
        self._made = deployments.start(self.plan, self._entry_hosts)
        applied = deployments.configure(self._made, self.plan)
        deployments.await_ready(self._made)
        self._labels = _labels(self._made)
        stand_ins = len(self._made.processes) - len(self._made.daemons)
        self._say(
            f"{stand_ins} stand-ins and {len(self._made.daemons)} daemons run"
        )
        for line in applied.splitlines():
            self._say(f"  hemlockreel apply: {line}")

    def use(self) -> None:
        """Sends completions and plain calls, and checks each response."""
        caller = self._caller()
        shown = ", ".join(map(self._label_callers, caller.addresses()))
        self._say(f"addresses for {self.plan.organisation}: {shown}")
        started = time.monotonic()
        with futures.ThreadPoolExecutor(CALLERS) as pool:
            sent = list(pool.map(self._send, self._completions()))
        elapsed_s = time.monotonic() - started
        for each in sent:
            self._show(each)
        self._book(caller)
        self._measure(sent, elapsed_s)

    def hold(self, seconds: float) -> None:
        """Keeps all processes running for manual use from a shell."""
        if seconds <= 0:
            return
        daemon = self._made.daemons[0]
        self._say(f"runs for {seconds:g} s more; in a shell:")
        self._say(
            f"  export HEMLOCKREEL_STORE={self._made.store.address} "
            f"ENTRY={daemon.callers} OPERATORS={daemon.operators}"
        )
        time.sleep(seconds)

    def stop(self) -> None:
        """Stops the daemons while a stream is open, then the stand-ins."""
        with futures.ThreadPoolExecutor(1) as pool:
            body = self._body(LAST_STREAM_TOKENS, stream=True)
            last = pool.submit(self._send, body)
            time.sleep(LAST_STREAM_HEAD_S)
            started = time.monotonic()
            codes = processes.stop_all(self._made.daemons, STOP_TIMEOUT_S)
            took_s = time.monotonic() - started
            sent = last.result()
        self._say("SIGTERM to all daemons while this stream was open:")
        self._show(sent)
        self._say(f"daemons ended with {codes} after {took_s:.1f} s")
        for daemon, code in zip(self._made.daemons, codes, strict=True):
            if code:
                log = daemon.log.read_text()[-LOG_TAIL:]
                self.faults.append(f"{daemon.name} ended with {code}: {log}")
        stand_ins = [
            process
            for process in self._made.processes
            if process not in self._made.daemons
        ]
        processes.stop_all(stand_ins, STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kills all processes that are still running."""
        if self._made is not None:
            self._made.close()

    # Completions

    def _completions(self) -> list[dict[str, Any]]:
        bodies = [
            self._body(self._rng.randint(20, 60), index < STREAMED)
            for index in range(STREAMED + UNSTREAMED)
        ]
        self._rng.shuffle(bodies)
        return bodies

    def _body(self, tokens: int, stream: bool) -> dict[str, Any]:
        words = self._rng.randint(*self.plan.prompt_words)
        return {
            "model": self.plan.model,
            "prompt": self.plan.phrase * words,
            "max_tokens": tokens,
            "stream": stream,
        }

    def _send(self, body: dict[str, Any]) -> Sent:
        response = self._caller().complete(body)
        what = "streamed" if body["stream"] else "unstreamed"
        tokens = body["max_tokens"]
        if response.whole and response.text != engine.completion_text(
            response.request_id, tokens
        ):
            self.faults.append(f"{response.request_id} got a wrong answer")
        prompt_tokens = -(-len(body["prompt"]) // 4)
        return Sent(what, tokens, prompt_tokens, response)

    def _caller(self) -> callers.Caller:
        known = self._made.daemons[0].callers
        delay_s = self.plan.to_clients_s
        return callers.Caller(self.plan.organisation, known, delay_s)

    # Bookings

    def _book(self, caller: callers.Caller) -> None:
        """Books with idempotency keys and repeats one booking.

        Checks in the journals that each booking ran once.
        """
        path = f"/services/{self.plan.plain_service}/lots"
        stock = caller.call("GET", path)
        self._show(Sent("enquiry", 0, 0, stock))
        keys = [f"{self.plan.organisation}-{n}" for n in range(BOOKINGS)]
        for number, key in enumerate([*keys, keys[0]]):
            body = {"lot": number % BOOKINGS}
            response = caller.call("POST", path, body, key)
            what = "booking" if number < BOOKINGS else "booking again"
            self._show(Sent(what, 0, 0, response))
        runs = self._count_runs()
        for key in keys:
            if runs.get(key, 0) != 1:
                self.faults.append(f"booking {key} ran {runs.get(key, 0)}x")
        self._say(f"runs of each booking in the journals: {runs}")

    def _count_runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for host in self._made.hosts:
            if host["role"] == "plain":
                journal = processes.get(host["address"], "/_journal")
                for run in journal["runs"]:
                    if run["key"]:
                        runs[run["key"]] = runs.get(run["key"], 0) + 1
        return dict(sorted(runs.items()))

    # Measurements

    def _measure(self, sent: list[Sent], elapsed_s: float) -> None:
        targets = deployments.targets(self.plan)
        first_s = targets["first_token_ms"] / 1000
        between_s = targets["between_tokens_ms"] / 1000
        streamed = [each for each in sent if each.what == "streamed"]
        good = [
            each
            for each in streamed
            if each.response.whole
            and each.response.first_token_s <= first_s
            and each.response.widest_gap_s <= between_s
        ]
        wasted, all_tokens = self._wasted(sent)
        self._say(
            f"goodput {len(good)} of {len(streamed)} streams, "
            f"{len(good) / elapsed_s:.1f}/s; wasted prefill {wasted} of "
            f"{all_tokens} tokens ({100 * wasted / max(all_tokens, 1):.1f}%)"
        )

    def _wasted(self, sent: list[Sent]) -> tuple[int, int]:
        """Returns the prefilled tokens that no decode used, and the total.

        Prefills are counted by their spans, decodes by the engines' journals.
        """
        decoded: dict[str, int] = {}
        for host in self._made.hosts:
            if host["role"] == "decode":
                journal = processes.get(host["address"], "/_journal")
                for run in journal["runs"]:
                    request_id = run["request_id"]
                    decoded[request_id] = decoded.get(request_id, 0) + 1
        prefilled: dict[str, int] = {}
        for daemon in self._made.daemons:
            for span in processes.get(daemon.operators, "/traces"):
                if span["name"] == "prefill":
                    request_id = span["attributes"]["request_id"]
                    prefilled[request_id] = prefilled.get(request_id, 0) + 1
        wasted = 0
        total = 0
        for each in sent:
            request_id = each.response.request_id
            times = prefilled.get(request_id, 0)
            unused = max(0, times - decoded.get(request_id, 0))
            wasted += unused * each.prompt_tokens
            total += times * each.prompt_tokens
        return wasted, total

    # Printing

    def _show(self, sent: Sent) -> None:
        response = sent.response
        hops = " ".join(
            f"{name}={self._labels.get(address, address)}"
            for name, address in response.hops.items()
            if address
        )
        if not response.whole:
            self.faults.append(f"{sent.what} got {response.status}")
            self._say(
                f"  {sent.what}: {response.status} {response.error} {hops}"
            )
            return
        words = [f"  {sent.what} {response.request_id[:8]}"]
        if sent.tokens:
            words.append(f"{sent.prompt_tokens}+{sent.tokens} tokens")
        if response.token_times:
            words.append(f"first {1000 * response.first_token_s:.0f} ms")
            words.append(f"widest gap {1000 * response.widest_gap_s:.0f} ms")
        words.append(f"{1000 * response.duration_s:.0f} ms in all")
        self._say(", ".join(words) + f": {hops}")

    def _label_callers(self, address: str) -> str:
        return self._labels.get(address, address)

    def _say(self, text: str) -> None:
        print(f"[{self.plan.name}] {text}", flush=True)


def _labels(made: processes.Deployment) -> dict[str, str]:
    """Returns short names for all addresses of a deployment."""
    labels = {}
    numbers: dict[str, int] = {}
    for host in made.hosts:
        kind = "entry" if host["role"] == "entry" else host["service"]
        numbers[kind] = numbers.get(kind, 0) + 1
        labels[host["address"]] = f"{kind}-{numbers[kind]}@{host['zone']}"
    for daemon in made.daemons:
        labels[daemon.callers] = labels[daemon.peers]
    return labels


def _run(demo: Demo, hold_s: float) -> None:
    try:
        demo.start()
        demo.use()
        demo.hold(hold_s)
        demo.stop()
    except Exception as error:
        demo.faults.append(f"{type(error).__name__}: {error}")
    finally:
        demo.close()


def main() -> int:
    """Runs the demo; returns 0 when all checks pass."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=3, help="entry hosts")
    parser.add_argument(
        "--hold",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="keep the processes running before they are stopped",
    )
    options = parser.parse_args()
    started = time.monotonic()
    demos = [Demo(plan, options.hosts) for plan in deployments.PLANS]
    with futures.ThreadPoolExecutor(len(demos)) as pool:
        for demo in demos:
            pool.submit(_run, demo, options.hold)
    print(f"took {time.monotonic() - started:.1f} s")
    faults = {demo.plan.name: demo.faults for demo in demos if demo.faults}
    if faults:
        print(f"demo: failed: {json.dumps(faults, indent=2)}")
        return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
