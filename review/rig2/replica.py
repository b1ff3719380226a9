"""Small stand-ins of the platform's replicas, plain ones and engines."""

import contextlib
from http import server
import itertools
import json
import socket
import threading
import time

MAC = "3e1b.07.5a2.600.0.c9f2a4d1"
PROMPT_TOKENS_PER_S = 55_555.6


class Replica:
    """One replica of a service.

    ``stage`` is ``None`` for a plain service. ``runs`` holds the time, the
    id and the method and path of each request that it ran. ``extra`` are
    headers of all its answers. ``work_s`` is the time of a plain run. It
    writes nothing before ``silent_until``. With ``works_on`` a stream's run
    goes on after its channel has closed. ``begins`` is called for each run
    of a stream, and ``ends`` holds the time and the id of those that ended.
    """

    def __init__(self, name, service, zone, ip, stage=None, version="r1"):
        self.name = name
        self.service = service
        self.zone = zone
        self.stage = stage
        self.version = version
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.work_s = 0.01
        self.slots = 16
        self.works_on = False
        self.silent_until = 0.0
        self.begins = lambda request_id: None
        self.ends = []
        self.extra = []
        self.arrivals = []
        self.runs = []
        self.body = b"answer"
        self.event_s = 0.05
        self.events = 40
        self._numbers = itertools.count(1)
        self._links = set()
        replica = self

        class Handler(server.BaseHTTPRequestHandler):
            """One channel."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                """Writes nothing."""

            def setup(self):
                super().setup()
                replica._links.add(self.connection)

            def finish(self):
                replica._links.discard(self.connection)
                super().finish()

            def _answer(self):
                size = int(self.headers.get("Content-Length") or 0)
                replica.answer(self, self.rfile.read(size))

            do_GET = do_POST = do_DELETE = do_PUT = _answer

        class Server(server.ThreadingHTTPServer):
            """The listener."""

            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_):
                """Ignores callers that have left."""

        self._make = lambda port: Server((ip, port), Handler)
        self._listen(0)
        self.address = f"{ip}:{self._server.server_address[1]}"

    def _listen(self, port):
        self._server = self._make(port)
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def start_again(self, version):
        """Starts again after :meth:`close`, under the id that it had."""
        self.version = version
        self.born = int(time.time() * 1000)
        self._listen(int(self.address.rpartition(":")[2]))

    def entry(self):
        """Returns what the replica writes into the store."""
        found = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": next(self._numbers),
            "born": self.born,
        }
        if self.stage is not None:
            found["stage"] = self.stage
            found["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return found

    def close(self):
        """Ends the replica: the listener and all its channels."""
        self._server.shutdown()
        self._server.server_close()
        for link in list(self._links):
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)

    def answer(self, handler, body):
        """Answers one request."""
        self._wait_in_silence()
        target = handler.headers.get("Hemlockreel-Target-Instance")
        if target not in (None, self.name):
            self._send_json(handler, 421, {})
            return
        path = handler.path
        if path == "/api/hold-take":
            hold = f"{self.name}-h{next(self._numbers)}"
            self._send_json(handler, 200, {"hold": hold})
        elif path == "/api/report":
            self._send_json(handler, 200, self._report())
        elif path.startswith("/api/"):
            self._send_json(handler, 200, {})
        elif handler.headers.get("Hemlockreel-Serving-Stage") == "prefill":
            if self.stage != "prefill":
                self._send_json(handler, 421, {})
                return
            handle = f"{self.name}k{next(self._numbers)}"
            tokens = handler.headers["Hemlockreel-Token-Counts"].split(",")
            time.sleep(int(tokens[0]) / PROMPT_TOKENS_PER_S)
            self._send_json(
                handler,
                200,
                {"kv_handle": handle, "tokens": int(tokens[0]), "version": 1},
            )
        elif self.stage == "prefill":
            self._send_json(handler, 421, {})
        elif self.stage == "decode":
            self._run_stream(handler)
        else:
            self._run(handler, body)

    def _report(self):
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 90000,
            "kv_handles": 0,
        }

    def _note(self, handler):
        request_id = handler.headers.get("Hemlockreel-Request-Id", "")
        self.runs.append((time.monotonic(), request_id, handler.path))
        return request_id

    def _run(self, handler, body):
        request_id = self._note(handler)
        time.sleep(self.work_s)
        handler.send_response(200)
        handler.send_header("Hemlockreel-Request-Id", request_id)
        handler.send_header("Hemlockreel-Response-Signature", MAC)
        for name, value in self.extra:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(self.body)))
        handler.end_headers()
        handler.wfile.write(self.body)

    def _wait_in_silence(self):
        while (left_s := self.silent_until - time.monotonic()) > 0:
            time.sleep(left_s)

    def _run_stream(self, handler):
        request_id = self._note(handler)
        self.begins(request_id)
        try:
            self._write_stream(handler, request_id)
        finally:
            self.ends.append((time.monotonic(), request_id))

    def _write_stream(self, handler, request_id):
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        self._wait_in_silence()
        handler.send_response(200)
        handler.send_header("Hemlockreel-Request-Id", request_id)
        handler.send_header("Hemlockreel-Response-Signature", MAC)
        handler.send_header("Hemlockreel-Weight-Versions", "1")
        handler.send_header("Content-Type", "text/event-stream")
        for name, value in self.extra:
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(first, self.events + 1):
            time.sleep(self.event_s)
            self._wait_in_silence()
            data = f"id: {number}\ndata: {self.version}\n\n".encode()
            try:
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            except OSError:
                if not self.works_on:
                    raise
        handler.wfile.write(b"0\r\n\r\n")

    def _send_json(self, handler, status, body):
        data = json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        for name, value in self.extra:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)
