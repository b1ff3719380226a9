"""Starts a small deployment on loopback for the cases beside this file.

The daemons are the project's own, started by the command of the deploy file.
The store, the replicas and the clients are small stand-ins in this process
that follow the users' pages and need the standard library only.
"""

import collections
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "ficu95.example"
ZONE = "trondheim-a"
REGION = "midt-norge"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
READY_S = 20.0
RESET = b"\1\0\0\0\0\0\0\0"  # linger for no time, so that a close resets


def trouble():
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Returns ``count`` free ports of the loopback address.

    They are below those that the kernel gives to outgoing connections.
    """
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            if port not in found:
                found.append(port)
    return found


def read_request(file):
    """Returns method, target, headers and body; ``None`` at the end."""
    line = file.readline().decode("latin-1")
    if not line.strip():
        return None
    method, target, _ = line.split(" ", 2)
    headers = {}
    while (line := file.readline().decode("latin-1")).strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length") or 0)
    body = file.read(size)
    if len(body) < size:
        return None
    return method, target, headers, body


def encode(status, body, headers=()):
    """Returns a whole response."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    reason = http.client.responses.get(status, "Status")
    lines = [
        f"HTTP/1.1 {status} {reason}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Accepts connections; ``serve(sock, file, request)`` responds.

    Each connection serves one request after another until ``serve`` returns
    false.
    """

    def __init__(self, port=0):
        self._lock = threading.Lock()
        self._open = set()
        self.port = port
        self._listener = None
        self.start()

    @property
    def address(self):
        """IP and port."""
        return f"127.0.0.1:{self.port}"

    def start(self):
        """Begins to accept connections, also again after ``stop``."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(512)
        self.port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def stop(self):
        """Closes the listener and all connections.

        What waits for a request is woken at once. What responds notices that
        ``is_listening`` is false, and its channel is reset then.
        """
        listener, self._listener = self._listener, None
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self._lock:
            found = list(self._open)
        for sock in found:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RD)

    @property
    def is_listening(self):
        """Whether the server accepts connections."""
        return self._listener is not None

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._run, args=(sock,), daemon=True
            ).start()

    def _run(self, sock):
        with self._lock:
            self._open.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with sock, sock.makefile("rb") as file:
                while (request := read_request(file)) is not None:
                    if not self.serve(sock, request):
                        return
        except (OSError, ValueError):
            return
        finally:
            with self._lock:
                self._open.discard(sock)

    def serve(self, sock, request):
        """Responds to one request; returns whether the channel stays."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, with one counter."""

    def __init__(self):
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.revision = 1
        self.era = 1
        self.objects = {}
        self.history = []
        self.calls = []
        super().__init__()

    def put(self, kind, name, specification):
        """Writes an object for the operator or a replica."""
        with self.changed:
            return self._write(kind, name, specification)

    def remove(self, kind, name):
        """Removes an object for the operator or a replica."""
        with self.changed:
            self._remove(kind, name)

    def copy(self):
        """Returns a copy of all objects, for ``restore``."""
        with self.lock:
            return self.revision, dict(self.objects)

    def restore(self, saved):
        """Puts a copy back: what was written since is lost."""
        with self.changed:
            self.revision, objects = saved
            self.objects = dict(objects)
            self.history = [e for e in self.history if e[0] <= self.revision]
            self.era += 1
            self.changed.notify_all()

    def _write(self, kind, name, specification):
        known = self.objects.get((kind, name))
        if known is not None and known["specification"] == specification:
            return known
        self.revision += 1
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": (
                    known["metadata"]["created"] if known else self.revision
                ),
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": None,
        }
        self.objects[kind, name] = found
        self.history.append((self.revision, kind, False, found))
        self.changed.notify_all()
        return found

    def _remove(self, kind, name):
        self.revision += 1
        found = self.objects.pop((kind, name))
        self.history.append((self.revision, kind, True, found))
        self.changed.notify_all()
        return found

    def serve(self, sock, request):
        """Responds to one call."""
        method, target, _, body = request
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        _, _, rest = path.partition("/api/objects/")
        kind, _, name = rest.partition("/")
        status, found = self._call(
            method, kind, urllib.parse.unquote(name), query, body
        )
        self.calls.append((time.time(), method, target, status))
        sock.sendall(encode(status, found, [("Store-Era", self.era)]))
        return True

    def _call(self, method, kind, name, query, body):
        if method == "GET" and not name:
            if "watch" in query:
                return self._watch(kind, query)
            return self._list(kind)
        given = json.loads(body) if body else {}
        if method == "POST":
            return self._create(kind, given)
        return self._change(method, kind, name, query, given)

    def _list(self, kind):
        with self.lock:
            items = [
                each
                for (other, _), each in sorted(self.objects.items())
                if other == kind
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "as_of": self.revision,
            }

    def _create(self, kind, given):
        name = given["metadata"]["name"]
        with self.changed:
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self._write(kind, name, given["specification"])

    def _change(self, method, kind, name, query, given):
        with self.changed:
            known = self.objects.get((kind, name))
            if known is None:
                return 404, {"error": "no such object"}
            expected = query.get("revision")
            if method == "PUT":
                expected = given["metadata"].get("revision")
            if expected and int(expected) != known["metadata"]["revision"]:
                return 409, known
            if method == "PUT":
                return 200, self._write(kind, name, given["specification"])
            if method == "DELETE":
                return 200, self._remove(kind, name)
            return 200, known

    def _watch(self, kind, query):
        since, era = int(query["watch"]), self.era
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            while True:
                if since > self.revision or era != self.era:
                    return 410, {"error": "this history is gone"}
                found = [
                    {"object": each, "deleted": deleted}
                    for at, other, deleted, each in self.history
                    if other == kind and at > since
                ]
                left = until - time.monotonic()
                if not self.is_listening:
                    raise OSError("the store is away")
                if found or left <= 0:
                    return 200, {"events": found, "as_of": self.revision}
                self.changed.wait(left)


class Record:
    """Collects lines with the time since the start; thread-safe."""

    def __init__(self):
        self.started = time.monotonic()
        self._lock = threading.Lock()
        self.lines = []

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, text):
        """Adds a line."""
        with self._lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    def save(self, path):
        """Writes all lines."""
        with self._lock:
            pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


class Daemon:
    """A daemon process with settings as in the pages' example."""

    def __init__(self, folder, store, number, seeds=(), **changes):
        ports = free_ports(6)
        names = ("frontend", "ready", "control_plane", "directory")
        self.listen = {
            name: f"127.0.0.1:{port}"
            for name, port in zip(names, ports, strict=False)
        }
        found = {
            "node_name": f"edge-{number}",
            "machine_class": "edge",
            "ip": "127.0.0.1",
            "zone": ZONE,
            "region": REGION,
            "operators_port": ports[4],
            "paths_port": ports[5],
            "seed_nodes": ",".join(seeds),
            "bootstrap": "true",
            "platform.address": store,
            "bounds.drain_ms": 2000,
            "bounds.stability_ms": 3000,
            "bounds.grace_s": 8,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.retry_budget_slack": 104,
            "bounds.ttl_max_s": 5,
            **{f"listen.{name}": e for name, e in self.listen.items()},
            **changes,
        }
        self.settings = pathlib.Path(folder) / f"settings-{number}.conf"
        self.settings.write_text(
            "".join(f"{name}={value}\n" for name, value in found.items())
        )
        self.log = pathlib.Path(folder) / f"daemon-{number}.log"
        self.start()

    @property
    def address(self):
        """Where clients connect."""
        return self.listen["frontend"]

    def start(self):
        """Starts the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        kept = ("PATH", "HOME", "LANG")
        env = {n: os.environ[n] for n in kept if n in os.environ}
        env["HEMLOCKREEL_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self):
        """Returns whether the daemon answers that it is ready."""
        try:
            link = http.client.HTTPConnection(self.listen["ready"], timeout=1)
            link.request("GET", "/api/ready")
            return link.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def await_ready(self):
        """Waits until the daemon is ready."""
        until = time.monotonic() + READY_S
        while not self.is_ready():
            has_ended = self.process.poll() is not None
            if has_ended or time.monotonic() > until:
                raise RuntimeError("a daemon didn't become ready")
            time.sleep(0.05)

    def records(self, message=""):
        """Returns the log records, those with ``message`` if given."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [e for e in found if message in ("", e.get("message"))]

    def end(self):
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


@contextlib.contextmanager
def deployment(store, count=1, **changes):
    """Starts ``count`` daemons and ends them afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        daemons = []

        def start(number):
            seeds = [e.listen["control_plane"] for e in daemons[:number]]
            return Daemon(folder, store.address, number, seeds, **changes)

        try:
            for number in range(count):
                daemons.append(start(number))
            for number, each in enumerate(daemons):
                try:
                    each.await_ready()
                except RuntimeError:
                    # Another program may have taken one of its ports.
                    each.end()
                    daemons[number] = start(number)
                    daemons[number].await_ready()
            yield daemons
        finally:
            for each in daemons:
                each.end()


def route(name, kind, service, **changes):
    """Returns a route of a small deployment."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "max_attempts": 1,
        "priority": 2,
        **changes,
    }


def configuration(routes, services, version=1):
    """Returns the operator's object ``config/main``."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }


def entry(replica, service, **changes):
    """Returns the entry with which a replica registers itself."""
    return {
        "service": service,
        "address": replica.address,
        "zone": ZONE,
        "version": "1.0",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1_790_000_000_000,
        **changes,
    }


class Counter(collections.Counter):
    """Counts by name, from several threads."""

    def __init__(self):
        super().__init__()
        self._counter_lock = threading.Lock()

    def add(self, name, amount=1):
        """Adds to the count of ``name``."""
        with self._counter_lock:
            self[name] += amount


class Engine(Server):
    """A model replica: it reads prompts, or it writes streams.

    ``write(sock, request, id)`` writes the answer of a ``decode`` replica.
    """

    _numbers = itertools.count(1)
    _handles = set()

    def __init__(self, store, record, stage, service="lesar", **changes):
        self.store = store
        self.record = record
        self.stage = stage
        self.service = service
        self.changes = changes
        self.crashes = 0
        self.begin_boot()
        super().__init__()
        self.register()

    def begin_boot(self):
        """Begins a new boot with a new id."""
        self.id = f"i-{self.stage}-{next(self._numbers)}"
        self.born = int(time.time() * 1000)

    def register(self):
        """Reports to the store."""
        changes = {"slots": 16, "born": self.born, **self.changes}
        value = entry(self, self.service, stage=self.stage, **changes)
        self.store.put("servers", self.id, value)

    def crash(self, seconds):
        """Crashes, and is back ``seconds`` later with another id."""
        old = self.id
        self.crashes += 1
        self.stop()
        self.record.note(f"{old} has crashed")

        def come_back():
            time.sleep(seconds)
            self.begin_boot()
            self.start()
            self.register()
            self.record.note(f"{old} is back as {self.id}")
            # Its entry goes after three reports that are missing.
            time.sleep(max(0.0, 3.6 - seconds))
            self.store.remove("servers", old)

        threading.Thread(target=come_back, daemon=True).start()

    def serve(self, sock, request):
        """Responds to a control call, a prefill or a request."""
        _, target, headers, _ = request
        if target.startswith("/api/"):
            sock.sendall(encode(*self._control(target)))
            return True
        if headers.get("hemlockreel-target-instance") != self.id:
            sock.sendall(encode(421, {}))
            return False
        if headers.get("hemlockreel-serving-stage") == "prefill":
            time.sleep(0.1)
            name = f"{next(self._numbers):08x}"
            self._handles.add(name)
            found = {"kv_handle": name, "tokens": 5200, "version": 1}
            sock.sendall(encode(200, found))
            return True
        handle = headers.get("hemlockreel-kv-source", "").partition("/")[2]
        if handle:
            if handle not in self._handles:
                not_run = [("Hemlockreel-Not-Executed", "1")]
                sock.sendall(encode(503, {}, not_run))
                return True
            self._handles.discard(handle)
        self.write(sock, request, headers.get("hemlockreel-request-id", ""))
        return False

    def _control(self, target):
        if target == "/api/hold-take":
            return 200, {"hold": f"{next(self._numbers):08x}"}
        if target == "/api/report":
            return 200, {
                "stage": self.stage,
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "active": 0,
            }
        if target == "/api/order":
            return 409, {}
        self._handles.discard(target.rpartition("/")[2])
        return 200, {}

    def write(self, sock, request, id):
        """Writes the answer to a request."""
        raise NotImplementedError


def stream_head(id, *lines):
    """Returns the head of a stream."""
    found = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"Hemlockreel-Request-Id: {id}",
        f"Hemlockreel-Response-Signature: {SIGNATURE}",
        "Hemlockreel-Weight-Versions: 1",
        *lines,
    ]
    return "\r\n".join([*found, "", ""]).encode()


def event(number):
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {'x' * 380}\n\n".encode()


def chunk(data):
    """Returns one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


ENGINE = {
    "slots": 16,
    "kv_capacity_tokens": 114005,
    "stride": 1,
    "handle_ttl_s": 0.5,
    "switch_s": 6.0,
    "hold_ms": 2000.0,
}


class Answer:
    """What a client has got: the status, the events and how it ended.

    ``status`` is 0 without an answer, ``first_s`` the time to the first
    event and ``whole`` set if the answer looks complete.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.ids = []
        self.body = b""
        self.first_s = None
        self.whole = False


def ask(address, path, id, headers=(), body=b"", method="POST", wait_s=16):
    """Sends a request on a new channel and reads the answer."""
    host, _, port = address.rpartition(":")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Hemlockreel-Request-Id: {id}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    found = Answer()
    started = time.monotonic()
    link = http.client.HTTPResponse
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(wait_s)
            sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            response = link(sock, method=method)
            response.begin()
            found.status = response.status
            found.headers = dict(response.getheaders())
            while data := response.read1(65536):
                found.body += data
                if found.first_s is None and b"\n\n" in found.body:
                    found.first_s = time.monotonic() - started
            found.whole = True
    except (OSError, http.client.HTTPException):
        pass
    for line in found.body.splitlines():
        if found.status == 200 and line.startswith(b"id:"):
            found.ids.append(int(line[3:]))
    return found
