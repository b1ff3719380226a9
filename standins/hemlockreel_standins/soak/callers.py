"""Callers that resolve host addresses and send requests to them.

They follow the platform's rules for clients. Every second caller is slower to
follow a change: it caches resolved addresses for three times their time to
live, and uses a connection until the host closes it.
"""

from http import client
import itertools
import json
import random
import socket
import threading
import time
from typing import NamedTuple
import zlib

from .. import platform_replica
from .. import platform_site
from .. import processes
from . import records

RESOLVE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
DEADLINE_S = 2.0
MAX_REQUESTS_PER_CONNECTION = 30
PAUSE_S = 0.05
READ_BYTES = 65536
PART_PAUSE_S = 0.6  # between the prompts with a crashing part
RESOLVE_RETRY_S = 0.2
MAX_RESUMES = 3  # attempts to go on with a stream that was cut
ABANDONED_SHARE = 0.05  # of the streams, closed by the caller before they end
FAILURES = (OSError, client.HTTPException, ValueError)

PLAIN = (("GET", "/lookups/"), ("POST", "/deposits/"))
STREAM = ("POST", "/drafts/")
MODEL_HEADERS = {
    "Hemlockreel-Model": "m",
    "Hemlockreel-Token-Counts": "1460,80",
}
FIRST_PART = "5c1e07a2"  # of all prompts
SUBJECTS = 5  # each is a part that several prompts have


class _Cut(NamedTuple):
    """A stream that was cut after the event ``after``.

    The request ``id`` brought its first event, and ``attempts`` were made to
    resume it.
    """

    id: str
    target: str
    after: int
    headers: dict[str, str]
    attempts: int = 0


class Caller:
    """A caller that sends one request after another.

    ``directories`` are the addresses at which the hosts resolve a name to the
    addresses that callers connect to. With ``refreshes_late`` the caller
    caches addresses for longer than their time to live, and its connection
    outlasts them. With ``part`` it sends only prompts that have this part, or
    the plain request to this path, each over a connection of its own. A
    stream that was cut is resumed by the next request.
    """

    def __init__(
        self,
        name: str,
        directories: list[str],
        log: records.Log,
        seed: int,
        refreshes_late: bool,
        part: str = "",
    ):
        self._name = name
        self._directories = directories
        self._log = log
        self._rng = random.Random(seed)
        self._ttl_factor = 3 if refreshes_late else 1
        self._keeps_connection = refreshes_late
        self._part = part
        self._numbers = itertools.count(1)
        self._addresses: list[str] = []
        self._fresh_until = 0.0
        self._failed: set[str] = set()
        self._cut: _Cut | None = None

    def run(self, stopping: threading.Event) -> None:
        """Sends requests until ``stopping`` is set."""
        while not stopping.is_set():
            address = self._choose_address(stopping)
            if address is not None:
                self._send_over_connection(address, stopping)

    def _choose_address(self, stopping: threading.Event) -> str | None:
        """Returns an address to connect to, or None if none is known."""
        if (
            time.monotonic() >= self._fresh_until
            or not self._usable_addresses()
        ):
            self._resolve()
        found = self._usable_addresses()
        if not found:
            stopping.wait(RESOLVE_RETRY_S)
            return None
        return self._rng.choice(found)

    def _usable_addresses(self) -> list[str]:
        return [each for each in self._addresses if each not in self._failed]

    def _resolve(self) -> None:
        directories = self._rng.sample(
            self._directories, min(3, len(self._directories))
        )
        for directory in directories:
            connection = processes.connect(directory, RESOLVE_TIMEOUT_S)
            try:
                connection.request(
                    "GET", f"/api/resolve?name=h&zone={platform_site.ZONE}"
                )
                response = connection.getresponse()
                value = json.loads(response.read())
            except FAILURES:
                continue
            finally:
                connection.close()
            if response.status == 200 and value.get("addresses"):
                self._addresses = value["addresses"]
                kept_s = self._ttl_factor * value["ttl_s"]
                self._fresh_until = time.monotonic() + kept_s
                self._failed.clear()
                return

    def _send_over_connection(
        self, address: str, stopping: threading.Event
    ) -> None:
        """Sends requests over one connection until either side closes it."""
        connection = processes.connect(address, CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            connection.close()
            self._failed.add(address)
            return
        # No automatic reconnect: a new connection may go to another address.
        connection.auto_open = 0
        try:
            for _ in range(1 if self._part else MAX_REQUESTS_PER_CONNECTION):
                if stopping.is_set() or not self._send(connection, address):
                    return
                if (
                    not self._keeps_connection
                    and time.monotonic() > self._fresh_until
                ):
                    return
                pause_s = PART_PAUSE_S if self._part else PAUSE_S
                stopping.wait(pause_s * self._rng.random())
        finally:
            connection.close()

    def _send(self, connection: client.HTTPConnection, address: str) -> bool:
        """Sends one request; returns whether the connection can be reused."""
        id = f"{self._name}-{next(self._numbers)}"
        cut = self._cut
        is_request = records.is_request(self._part)
        streams = not is_request and (
            bool(self._part) or cut is not None or self._rng.random() < 0.4
        )
        method, prefix = STREAM if streams else self._rng.choice(PLAIN)
        leaves = (
            streams
            and not self._part
            and cut is None
            and self._rng.random() < ABANDONED_SHARE
        )
        target = f"{prefix}{id}?q={id}"
        if is_request:
            target = self._part
            method = next(m for m, p in PLAIN if target.startswith(p))
        headers = self._model_headers(id) if streams else {}
        if cut is not None:
            target = cut.target
            headers = {
                **cut.headers,
                "Last-Event-Id": str(cut.after),
                "Resumes": cut.id,
            }
        sent = records.Sent(
            id,
            method,
            target,
            address,
            time.monotonic(),
            0.0,
            part=self._part,
            resumes=cut.id if cut else "",
            after=cut.after if cut else 0,
        )
        body = bytearray()
        connection.sock.settimeout(DEADLINE_S + 1.0)
        try:
            connection.request(
                method,
                target,
                body=b"{}" if method == "POST" else None,
                headers={
                    "Host": platform_site.HOST,
                    "Hemlockreel-Request-Id": id,
                    "Hemlockreel-Deadline-Ms": str(round(DEADLINE_S * 1000)),
                    **headers,
                },
            )
            response = connection.getresponse()
            sent = sent._replace(
                status=response.status,
                signed=response.getheader(platform_replica.SIGNED) is not None,
            )
            if leaves and response.status == 200:
                self._abandon(sent, connection, response)
                return False
            while data := response.read1(READ_BYTES):
                body += data
            response.read()  # ends the response, which read1() doesn't
        except FAILURES as error:
            is_cut = isinstance(error, client.IncompleteRead)
            sent = sent._replace(
                body=bytes(body), error="cut" if is_cut else repr(error)
            )
            self._record(sent)
            self._note_cut(sent, headers)
            return False
        self._record(sent, body=bytes(body), whole=True)
        if sent.status == 200:
            self._cut = None
        else:
            self._note_cut(sent, headers)
        kept = not response.will_close
        if sent.status == 503:
            time.sleep(PAUSE_S)
        return kept

    def _note_cut(self, sent: records.Sent, headers: dict[str, str]) -> None:
        """Notes where to go on with a stream, unless that failed too often."""
        if self._part or not sent.target.startswith(STREAM[1]):
            return
        events = records.parse_events(sent.body) if sent.status == 200 else []
        after = events[-1][0] if events else sent.after
        attempts = self._cut.attempts + 1 if self._cut else 0
        self._cut = None
        is_open = 0 < after < records.EVENTS_PER_STREAM
        if is_open and attempts < MAX_RESUMES:
            kept = {
                name: value
                for name, value in headers.items()
                if name not in ("Last-Event-Id", "Resumes")
            }
            id = sent.resumes or sent.id
            self._cut = _Cut(id, sent.target, after, kept, attempts)

    def _model_headers(self, id: str) -> dict[str, str]:
        part = self._part or f"{self._rng.randrange(SUBJECTS):08x}"
        own = f"{zlib.crc32(id.encode()):08x}"
        prompt = f"{FIRST_PART}:800,{part}:410,{own}:250"
        return {**MODEL_HEADERS, "Hemlockreel-Prompt-Prefix": prompt}

    def _abandon(
        self,
        sent: records.Sent,
        connection: client.HTTPConnection,
        response: client.HTTPResponse,
    ) -> None:
        response.read1(1)
        sock = connection.sock
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)
        response.close()
        self._record(sent, left_at=time.monotonic(), error="left")

    def _record(self, sent: records.Sent, **changes) -> None:
        ended_at = time.monotonic()
        self._log.add(sent._replace(ended_at=ended_at, **changes))
