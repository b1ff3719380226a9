"""A replica breaks answers off in the head; does a client get a success?"""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

DAEMONS = 3
BOOKINGS = 25.6  # a second, as on the sheet
QUERIES = 10.2
GARBLED = 1  # of three replicas: the site's share of garble is 0.35
GARBLE_X = 0.02  # of its answers, the site's x
WINDOW_S = 5.5  # the site's length of garble
WINDOWS = 7
PAUSE_S = 1.0  # between two windows
WORK_S = 0.03
BODY = b"x" * 800


class Booking(harness.Server):
    """A replica that writes the head of an answer line by line."""

    def __init__(self, name, record, rng):
        self.name = name
        self.record = record
        self.rng = rng
        self.is_garbled = False
        self.broken = []
        super().__init__()

    def serve(self, sock, request):
        """Runs one request; it may break its answer off in the head."""
        id = request[2].get("hemlockreel-request-id", "")
        self.record.note(f"{self.name} runs {id}")
        time.sleep(WORK_S)
        begin = [
            "HTTP/1.1 200 OK",
            f"Hemlockreel-Request-Id: {id}",
            f"Hemlockreel-Response-Signature: {harness.SIGNATURE}",
        ]
        sock.sendall("".join(f"{each}\r\n" for each in begin).encode())
        if self.is_garbled and self.rng.random() < GARBLE_X:
            self.broken.append(id)
            self.record.note(f"{self.name} breaks off its answer to {id}")
            return False
        sock.sendall(b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)
        return True


def send(address, id, method, record, answers):
    """Sends one request."""
    path = "/book/1" if method == "POST" else f"/stock/{id}"
    headers = [("Hemlockreel-Deadline-Ms", "1001")]
    body = b"y" * 600 if method == "POST" else b""
    got = harness.ask(address, path, id, headers, body, method, wait_s=3)
    answers.append((id, got))
    signature = "Hemlockreel-Response-Signature" in got.headers
    record.note(
        f"{method} {id} is answered: {got.status}, {len(got.body)} bytes, "
        f"whole {got.whole}, signature {signature}"
    )


def main():
    """Runs the case; returns its exit status."""
    rng = random.Random(6)
    record = harness.Record()
    store = harness.Store()
    replicas = [Booking(f"i-{n}", record, random.Random(n)) for n in range(3)]
    common = {"target_latency_ms": 150}
    routes = [
        harness.route("book", "non_idempotent", "ordrebok", **common),
        harness.route(
            "stock", "idempotent", "ordrebok", max_attempts=2, **common
        ),
    ]
    services = [{"name": "ordrebok", "max_connections": 192}]
    store.put("config", "main", harness.configuration(routes, services))
    for each in replicas:
        store.put("servers", each.name, harness.entry(each, "ordrebok"))
    rate = BOOKINGS + QUERIES
    answers, threads = [], []
    with harness.deployment(store, DAEMONS) as daemons:
        for number in range(int((WINDOW_S + PAUSE_S) * WINDOWS * rate)):
            in_window = number / rate % (WINDOW_S + PAUSE_S) < WINDOW_S
            for each in replicas[:GARBLED]:
                each.is_garbled = harness.trouble() and in_window
            method = "POST" if rng.random() < BOOKINGS / rate else "GET"
            address = rng.choice(daemons).address
            threads.append(
                threading.Thread(
                    target=send,
                    args=(address, f"q{number}", method, record, answers),
                )
            )
            threads[-1].start()
            time.sleep(1 / rate)
        for each in threads:
            each.join()
    wrong = [
        id
        for id, got in answers
        if got.status == 200 and got.whole and got.body != BODY
    ]
    broken = sum(len(each.broken) for each in replicas)
    good = sum(got.body == BODY for _, got in answers)
    record.note(
        f"{good} of {len(answers)} answered whole, {broken} answers broken "
        f"off; successes without the replica's whole body: {wrong}"
    )
    record.save(HERE / "record.txt")
    print(record.lines[-1])
    if good < 0.5 * len(answers):
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError) as error:
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
