"""Replicas that record each request they run and track reserved memory.

Reservations and prefill results that expire unused are recorded, so that the
checks find memory that a daemon neither used nor released.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
import threading
import time
from typing import Any

from .. import platform_replica
from . import records

EVENT_GAP_S = 0.04
PLAIN_SERVICE_TIME_S = 0.02
RESERVATION_TTL_S = 2.0
HANDLE_TTL_S = 0.5  # the value that the engine of the deployment declares
TORN_HEAD_SHARE = 0.5  # of the truncated responses
NOT_RUN_HEADERS = (("Hemlockreel-Not-Executed", "1"),)


class CrashingParts:
    """The parts of prompts, and the plain requests, that crash replicas.

    An engine crashes as it writes an answer, a server as it begins to run
    the request, which is named by its path and query. ``crash`` is called
    with the replica and the part.
    """

    def __init__(self, crash: Callable[["RecordingReplica", str], None]):
        self.ids: set[str] = set()
        self.crash = crash

    def find(self, arrival: platform_replica.Arrival) -> str:
        """Returns what crashes replicas in a request, empty if nothing."""
        if arrival.target in self.ids:
            return arrival.target
        prompt = arrival.headers.get("hemlockreel-prompt-prefix", "")
        parts = [each.partition(":")[0] for each in prompt.split(",")]
        return next((each for each in parts if each in self.ids), "")


class PrefillResults:
    """The prefill results of all engines, by their handles.

    Hosts may reach an engine at different addresses, so that the address in
    the source of a result doesn't identify it.
    """

    def __init__(self, log: records.Log):
        self.log = log
        self.lock = threading.Lock()
        self.handles: dict[str, tuple[str, float]] = {}

    def fetch(self, source: str) -> bool:
        """Removes a result; returns false if it is gone or has expired."""
        with self.lock:
            found = self.handles.pop(source.rpartition("/")[2], None)
        return found is not None and found[1] + HANDLE_TTL_S > time.monotonic()

    def sweep(self) -> None:
        """Removes expired results and records each as a lapse."""
        now = time.monotonic()
        with self.lock:
            expired = [
                (handle, *found)
                for handle, found in self.handles.items()
                if found[1] + HANDLE_TTL_S <= now
            ]
            for handle, *_ in expired:
                del self.handles[handle]
        for _, replica, at in expired:
            self.log.add(records.Lapse(replica, "handle", at, now))


class RecordingReplica(platform_replica.Replica):
    """A replica process that records its runs under the name ``id``.

    ``public_address`` is the address at which daemons reach it, which may be
    that of a link in front of the replica.
    """

    def __init__(
        self,
        prefill_results: PrefillResults,
        id: str,
        stage: str | None = None,
        crashing_parts: CrashingParts | None = None,
        software: str = "v1",
    ):
        super().__init__(stage)
        self.id = id
        self.software = software
        self._crashing_parts = crashing_parts or CrashingParts(
            lambda replica, part: None
        )
        self.mode = "own"
        self.public_address = self.address
        self._prefill_results = prefill_results
        self._reserved_at: dict[str, float] = {}
        self._reservations_lock = threading.Lock()

    def entry(self, service: str, zone: str, state: str = "ready") -> Any:
        """Returns the entry for the store, with the public address."""
        return {
            **super().entry(service, zone, state),
            "address": self.public_address,
            "version": self.software,
        }

    def sweep(self) -> None:
        """Frees expired reservations and records each as a lapse."""
        now = time.monotonic()
        with self._reservations_lock:
            expired = [
                name
                for name, at in self._reserved_at.items()
                if at + RESERVATION_TTL_S <= now
            ]
            for name in expired:
                at = self._reserved_at.pop(name)
                self.memory += self._holds.pop(name, 0)
                lapse = records.Lapse(self.id, "hold", at, now)
                self._prefill_results.log.add(lapse)

    def _note_arrival(self, arrival: platform_replica.Arrival) -> None:
        part = self._crashing_parts.find(arrival)
        if part:
            id = arrival.headers["hemlockreel-request-id"]
            found = records.PartArrival(id, part, self.id, time.monotonic())
            self._prefill_results.log.add(found)

    def _control(self, arrival: platform_replica.Arrival) -> bytes:
        with self._reservations_lock:
            before = set(self._holds)
            response = super()._control(arrival)
            for name in set(self._holds) - before:
                self._reserved_at[name] = time.monotonic()
            for name in before - set(self._holds):
                self._reserved_at.pop(name, None)
        name = arrival.target.rpartition("/")[2]
        with self._prefill_results.lock:
            self._prefill_results.handles.pop(name, None)
        return response

    def _prefill(self) -> bytes:
        response = super()._prefill()
        head, _, body = response.partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 200"):
            handle = json.loads(body)["kv_handle"]
            with self._prefill_results.lock:
                self._prefill_results.handles[handle] = (
                    self.id,
                    time.monotonic(),
                )
        return response

    def _answer(self, sock: Any, arrival: platform_replica.Arrival) -> None:
        """Answers a request, and records it unless it is refused as not run.

        A request for another replica is refused with 421, and one whose
        prefill result is gone with 503.
        """
        headers = arrival.headers
        wanted = headers.get("hemlockreel-target-instance", self.id)
        if wanted != self.id:
            sock.sendall(
                platform_replica.encode_json(421, {}, NOT_RUN_HEADERS)
            )
            return
        source = headers.get("hemlockreel-kv-source")
        if source is not None and not self._prefill_results.fetch(source):
            sock.sendall(
                platform_replica.encode_json(503, {}, NOT_RUN_HEADERS)
            )
            return
        if self.mode in ("not_run", "paused"):
            super()._answer(sock, arrival)
            return
        began_at = time.monotonic()
        finished = False
        hold = headers.get("hemlockreel-kv-hold")
        with self._reservations_lock:
            self._reserved_at.pop(hold, None)
        try:
            super()._answer(sock, arrival)
            finished = self.mode == "own"
        finally:
            with self._reservations_lock:
                self.memory += self._holds.pop(hold, 0)
            run = records.Run(
                headers.get("hemlockreel-request-id", ""),
                arrival.method,
                arrival.target,
                self.id,
                began_at,
                time.monotonic(),
                finished,
            )
            self._prefill_results.log.add(run)

    def _answer_own(
        self, arrival: platform_replica.Arrival
    ) -> Iterable[bytes]:
        id = arrival.headers["hemlockreel-request-id"]
        part = self._crashing_parts.find(arrival)
        if self.stage is None:
            time.sleep(PLAIN_SERVICE_TIME_S)
            if part:
                self._crashing_parts.crash(self, part)
                raise ConnectionResetError
            body = records.response_body(id)
            yield self._head(arrival, f"Content-Length: {len(body)}") + body
            return
        yield self._head(
            arrival,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        first = int(arrival.headers.get("last-event-id") or 0) + 1
        name = records.stream_name(arrival.target)
        for event in records.stream_events(name, first, self.software):
            time.sleep(EVENT_GAP_S)
            yield platform_replica.encode_chunk(event)
            if part:
                time.sleep(EVENT_GAP_S)
                self._crashing_parts.crash(self, part)
                raise ConnectionResetError
        yield b"0\r\n\r\n"

    def _answer_own_torn(
        self, arrival: platform_replica.Arrival
    ) -> Iterable[bytes]:
        """Truncates the response at some byte, of its head or its body."""
        whole = b"".join(self._answer_own(arrival))
        # The same request is cut at the same byte in each play of a seed.
        cut = random.Random(arrival.headers["hemlockreel-request-id"])
        in_head = cut.random() < TORN_HEAD_SHARE
        end = whole.index(b"\r\n\r\n") if in_head else len(whole)
        yield whole[: cut.randrange(end)]
