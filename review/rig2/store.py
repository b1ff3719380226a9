"""A small stand-in of the platform's store, in the form of its page.

It keeps objects by kind and name with one revision counter, lists them in
pages, answers watches, and writes under a condition. Only the fields that the
page names are used. A specification may be given as JSON text, for an entry
of another writer.
"""

from http import server
import json
import threading
import time
from urllib import parse

PATH = "/api/objects/"
PAGE = 500


class Store:
    """Objects of all kinds; ``address`` is ``IP:PORT``."""

    def __init__(self, ip="127.0.0.1"):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = threading.Condition()
        store = self

        class Handler(server.BaseHTTPRequestHandler):
            """One call."""

            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                """Writes nothing."""

            def _answer(self):
                size = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(size)) if size else {}
                status, text = store.respond_at(
                    self.server.server_port, self.command, self.path, body
                )
                data = text.encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = _answer

        class Server(server.ThreadingHTTPServer):
            """The listener."""

            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_):
                """Ignores callers that have left."""

        self._make = lambda: Server((ip, 0), Handler)
        self.address = f"{ip}:{self.listen()}"

    def listen(self):
        """Opens one more port; returns it."""
        found = self._make()
        threading.Thread(target=found.serve_forever, daemon=True).start()
        return found.server_port

    def put(self, kind, name, specification=None, text=None):
        """Writes an object; returns the time of the confirmation."""
        with self.changed:
            self._write(kind, name, text or json.dumps(specification))
            return time.monotonic()

    def remove(self, kind, name):
        """Removes an object; returns the time of the confirmation."""
        with self.changed:
            self._remove(kind, name)
            return time.monotonic()

    def respond_at(self, port, method, target, body):
        """Returns the answer to a call that came at ``port``."""
        return self.respond(method, target, body)

    def respond(self, method, target, body):
        """Returns status and text of the answer to a call."""
        path, _, query = target.partition("?")
        given = dict(parse.parse_qsl(query))
        if not path.startswith(PATH):
            return 404, "{}"
        kind, _, name = path[len(PATH) :].partition("/")
        name = parse.unquote(name)
        if method == "GET" and not name:
            if "watch" in given:
                return self._watch(kind, given)
            return self._list(kind, given.get("after", ""))
        with self.changed:
            return self._call(method, kind, name, given, body)

    def _list(self, kind, after):
        with self.changed:
            names = sorted(
                name
                for each, name in self.objects
                if each == kind and name > after
            )
            items = ",".join(
                self.objects[kind, name][1] for name in names[:PAGE]
            )
            more = json.dumps(len(names) > PAGE)
            return 200, (
                f'{{"items":[{items}],"has_more":{more},'
                f'"as_of":{self.revision}}}'
            )

    def _watch(self, kind, given):
        since = int(given["watch"])
        until = time.monotonic() + int(given.get("wait_ms", "0")) / 1000
        with self.changed:
            while True:
                found = [
                    f'{{"object":{text},"deleted":{json.dumps(gone)}}}'
                    for at, other, gone, text in self.history
                    if other == kind and at > since
                ]
                left_s = until - time.monotonic()
                if found or left_s <= 0:
                    return 200, (
                        f'{{"events":[{",".join(found)}],'
                        f'"as_of":{self.revision}}}'
                    )
                self.changed.wait(left_s)

    def _call(self, method, kind, name, given, body):
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name][1]
            text = json.dumps(body.get("specification"))
            return 200, self._write(kind, name, text)
        known = self.objects.get((kind, name))
        if known is None:
            return 404, "{}"
        if method == "GET":
            return 200, known[1]
        expected = given.get("revision")
        if method == "PUT":
            expected = body["metadata"].get("revision")
        if expected and int(expected) != known[0]:
            return 409, known[1]
        if method == "DELETE":
            self._remove(kind, name)
            return 200, known[1]
        return 200, self._write(
            kind, name, json.dumps(body.get("specification"))
        )

    def _write(self, kind, name, text):
        known = self.objects.get((kind, name))
        if known is not None and known[2] == text:
            # A PUT that changes nothing doesn't raise the revision.
            return known[1]
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        whole = (
            f'{{"metadata":{json.dumps(meta)},"specification":{text},'
            '"status":null}'
        )
        self.objects[kind, name] = self.revision, whole, text
        self.history.append((self.revision, kind, False, whole))
        self.changed.notify_all()
        return whole

    def _remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        self.history.append((self.revision, kind, True, known[1]))
        self.changed.notify_all()
