"""Clients of the system, as its page describes them."""

import http.client
import itertools
import random
import threading
import time
import uuid

from . import site as sites

_numbers = itertools.count(1)


def new_id():
    """Returns the id of a client attempt."""
    return uuid.uuid4().hex[:16]


def send(address, method, path, headers=None, body=None, deadline_ms=1001):
    """Sends one client attempt on a new channel.

    Returns the id, the time of sending, the status or ``None``, and the
    body.
    """
    request_id = new_id()
    host, _, port = address.rpartition(":")
    link = http.client.HTTPConnection(
        host, int(port), timeout=deadline_ms / 1000 + 0.6
    )
    given = {
        "Host": sites.HOST,
        "Hemlockreel-Request-Id": request_id,
        "Hemlockreel-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    at = time.monotonic()
    try:
        link.request(method, path, body=body, headers=given)
        answer = link.getresponse()
        return request_id, at, answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return request_id, at, None, b""
    finally:
        link.close()


class Load:
    """Sends ``per_s`` requests a second to ``addresses`` at random."""

    def __init__(self, addresses, make, per_s, threads=12):
        self.results = []
        self._addresses = addresses
        self._make = make
        self._per_s = per_s
        self._ends = threading.Event()
        self._lock = threading.Lock()
        self._next = time.monotonic()
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(threads)
        ]

    def start(self):
        """Starts to send."""
        for each in self._threads:
            each.start()
        return self

    def stop(self):
        """Ends, and returns the results: (method, path, *send())."""
        self._ends.set()
        for each in self._threads:
            each.join(10)
        return self.results

    def _run(self):
        while not self._ends.is_set():
            with self._lock:
                now = time.monotonic()
                self._next = max(self._next + 1 / self._per_s, now - 0.2)
                wait_s = self._next - now
            if wait_s > 0:
                time.sleep(wait_s)
            method, path, headers, body = self._make()
            address = random.choice(list(self._addresses()))
            found = send(address, method, path, headers, body)
            self.results.append((method, path, address, *found))
