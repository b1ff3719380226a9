"""Stand-in for a plain service that journals each call it executes."""

import argparse
from typing import Any

from . import server

COOKIES = (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
OWN_HEADERS = {"x-request-id", "x-attempt", "content-length"}


class Service(server.StandIn):
    """Executes a call to any path and records it in its journal.

    Its fault switches are ``reset_before`` and ``reset_after``, the number of
    calls whose connection is closed before or after the call is executed;
    ``wrong_id``, the number of responses with another request's id;
    ``status``, the status of all responses (0 means 200); and
    ``echo_headers``, which returns the request's headers and two cookies.
    """

    faults = {
        "reset_before": 0,
        "reset_after": 0,
        "wrong_id": 0,
        "status": 0,
        "echo_headers": False,
    }

    def __init__(self):
        super().__init__()
        self.runs: list[dict[str, Any]] = []

    def handle(self, request: server.Request) -> server.Response:
        """Handles a request; a silent service executes it all the same."""
        control = request.path.startswith("/_")
        if not control and self.faults["silent"]:
            self._run(request)
        return super().handle(request)

    def respond(self, request: server.Request) -> server.Response:
        """Executes the call and returns its response."""
        if self.consume_fault("reset_before"):
            return server.DROP
        status = self.faults["status"] or 200
        run = self._run(request)
        if self.consume_fault("reset_after"):
            return server.DROP
        request_id = run["request_id"]
        if self.consume_fault("wrong_id"):
            request_id = "another-" + request_id
        headers = (("X-Request-Id", request_id), ("X-Attempt", run["attempt"]))
        if self.faults["echo_headers"]:
            headers += COOKIES + tuple(
                (name, value)
                for name, value in request.headers.items()
                if name.lower() not in OWN_HEADERS
            )
        body = {"request_id": run["request_id"], "run": run["run"]}
        return server.Response(status, body, headers)

    def journal(self) -> dict[str, Any]:
        """Returns the executed calls in their order."""
        with self.lock:
            return {"runs": list(self.runs)}

    def _run(self, request: server.Request) -> dict[str, Any]:
        with self.lock:
            run = {
                "request_id": request.headers.get("X-Request-Id", ""),
                "attempt": request.headers.get("X-Attempt", ""),
                "key": request.headers.get("Idempotency-Key", ""),
                "method": request.method,
                "path": request.path,
                "target": request.target,
                "body": request.body.decode(errors="replace"),
                "run": len(self.runs) + 1,
            }
            self.runs.append(run)
            return run


def main() -> None:
    """Runs the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    server.main(lambda options: Service(), parser)


if __name__ == "__main__":
    main()
