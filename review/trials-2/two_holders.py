"""Two machines order one replica as its holder; a trial, see REPORT-2.md."""

import itertools
import json
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig2 import case  # noqa: E402
from rig2 import configuration  # noqa: E402
from rig2 import replica  # noqa: E402
from rig2 import site as sites  # noqa: E402
from rig2 import store as stores  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 2
GONE = ("127.0.1.201", "127.0.1.202", "127.0.1.203")
LEASE_MS = 3000
# The first order after each change gets no answer and is carried out late.
LATE_S = 10.0
ADDED_AFTER_S = 10.6  # from another machine's first look at the lease
# Numbers of engines: with each the share of prefill engines asks for one more.
SIZES = (5, 6, 10, 14)
PAUSE_S = 14.0
LAG_S = 0.3  # of a replica's report
SWITCH_S = 6.0


class Engine(replica.Replica):
    """A replica that takes orders to change its stage."""

    def __init__(self, number, store, orders, stage, late):
        super().__init__(
            f"i-{number:02}",
            "lesar",
            sites.ZONES[number % 3],
            "127.0.0.1",
            stage,
        )
        self._store = store
        self._orders = orders
        self._late = late
        self._lock = threading.Lock()
        self._busy_until = 0.0
        self._busy_from = 0.0
        self._taken = []

    def answer(self, handler, body):
        """Answers one request."""
        target = handler.headers.get("Hemlockreel-Target-Instance")
        if handler.path == "/api/order" and target == self.name:
            order = json.loads(body)
            if TROUBLE and self._late.acquire(blocking=False):
                self._leave_unanswered(order)
                handler.close_connection = True
                time.sleep(LATE_S)
                return
            self._send_json(handler, self._take(order), {})
        elif handler.path == "/api/report" and target == self.name:
            self._send_json(handler, 200, self._late_report())
        else:
            super().answer(handler, body)

    def _leave_unanswered(self, order):
        self._orders.append((time.monotonic(), self.name, order, "nothing"))
        threading.Timer(LATE_S, self._carry_out, [order]).start()

    def _carry_out(self, order):
        with self._lock:
            if order.get("expected") not in (None, len(self._taken)):
                return
            now = time.monotonic()
            self._taken.append(now)
            self._busy_from, self._busy_until = now, now + SWITCH_S
        threading.Timer(SWITCH_S, self._change, [order]).start()

    def _take(self, order):
        now = time.monotonic()
        with self._lock:
            status = 202
            if order["stage"] == self.stage:
                status = 200
            elif now < self._busy_until or (
                order.get("expected") not in (None, len(self._taken))
            ):
                status = 409
            else:
                self._taken.append(now)
                self._busy_from, self._busy_until = now, now + SWITCH_S
                threading.Timer(SWITCH_S, self._change, [order]).start()
        self._orders.append((now, self.name, order, status))
        return status

    def _change(self, order):
        self.stage = order["stage"]
        self._store.put("servers", self.name, self.entry())

    def _late_report(self):
        """Returns the report as it was some hundred ms ago."""
        then = time.monotonic() - LAG_S
        busy = self._busy_from <= then < self._busy_until
        count = sum(1 for at in self._taken if at <= then)
        return {**self._report(), "busy": busy, "sequence": count}


class Store(stores.Store):
    """The store, which tells when a machine first sees another's lease."""

    def __init__(self):
        self.holder = ""
        self.seen = threading.Event()
        self._writer = 0
        self._seen_by = set()
        super().__init__()

    def respond_at(self, port, method, target, body):
        """Returns the answer to a call of the machine at ``port``."""
        status, text = self.respond(method, target, body)
        if "/leases" not in target or status != 200:
            return status, text
        if method == "GET":
            if port != self._writer and port not in self._seen_by:
                self._seen_by.add(port)
                self.seen.set()
        elif body["specification"]["holder"] != self.holder:
            self.holder, self._writer = body["specification"]["holder"], port
            self._seen_by.clear()
        return status, text


def find_breaks(orders):
    """Returns what breaks the rule: pairs of orders to one replica."""
    found = []
    for name in sorted({each[1] for each in orders}):
        mine = [each for each in orders if each[1] == name]
        for one, other in itertools.pairwise(mine):
            if one[2]["holder"] == other[2]["holder"]:
                continue
            gap_s = other[0] - one[0]
            lower = other[2]["fence_token"] < one[2]["fence_token"]
            same = other[2]["fence_token"] == one[2]["fence_token"]
            if gap_s * 1000 <= LEASE_MS or lower or same:
                found.append((name, gap_s, one, other))
    return found


def main():
    """Plays the case; returns the exit code."""
    store = Store()
    services = configuration.make()["services"]
    services[0]["engine"] = {**configuration.ENGINE, "switch_s": SWITCH_S}
    store.put("config", "main", configuration.make(services=services))
    orders = []
    engines = []
    lines = []

    late = threading.Semaphore(0)

    def add(count):
        while len(engines) < count:
            number = len(engines)
            stage = "decode" if number else "prefill"
            engines.append(Engine(number, store, orders, stage, late))
            store.put("servers", engines[-1].name, engines[-1].entry())

    add(SIZES[0])
    seeds = GONE if TROUBLE else None
    doors = [f"127.0.0.1:{store.listen()}" for _ in range(MACHINES)]
    with sites.Site(store, MACHINES, seeds, doors=doors):
        began = time.monotonic()
        for size in SIZES[1:]:
            store.seen.clear()
            if store.seen.wait(PAUSE_S):
                time.sleep(ADDED_AFTER_S)
            late.release()
            add(size)
            lines.append(
                (time.monotonic(), f"{size} engines; holder {store.holder}")
            )
            time.sleep(6.0)
            lines.append((time.monotonic(), f"holder {store.holder}"))
            if size != SIZES[-1]:
                time.sleep(12.0)
    for at, name, order, status in orders:
        lines.append((at, f"{name} gets {order}, answers {status}"))
    found = find_breaks(orders)
    for name, gap_s, one, other in found:
        lines.append(
            (
                other[0],
                f"{name}: orders of {one[2]['holder']} (token "
                f"{one[2]['fence_token']}) and {other[2]['holder']} (token "
                f"{other[2]['fence_token']}) {gap_s * 1000:.0f} ms apart",
            )
        )
    summary = (
        f"{len(found)} times orders of two holders reached one replica "
        f"within {LEASE_MS} ms; {len(orders)} orders"
    )
    text = [f"{at - began:8.3f} s  {each}" for at, each in sorted(lines)]
    HERE.joinpath("two_holders.record.txt").write_text(
        "\n".join([summary, *text, ""])
    )
    print(summary)
    return 1 if found else 0


if __name__ == "__main__":
    case.run(main)
