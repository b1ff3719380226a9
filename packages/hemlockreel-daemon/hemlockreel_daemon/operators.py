"""The HTTP interface for operators: health, metrics, status and traces."""

from collections.abc import Callable
from typing import Any

import cherrypy

from hemlockreel import board as boards
from hemlockreel import configuration
from hemlockreel import host_list
from hemlockreel import membership

from . import applications
from . import daemon as daemons
from . import member_status
from . import responses


class Operators:
    """The CherryPy root of the operators' listener.

    ``is_ready`` and ``describe`` are called on the loop's thread.
    """

    def __init__(
        self,
        daemon: daemons.Daemon,
        is_ready: Callable[[boards.Board], bool] | None = None,
        describe: Callable[[boards.Board], dict[str, Any]] | None = None,
    ):
        self._daemon = daemon
        self._is_ready = is_ready or _is_ready
        self._describe = describe or _describe

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Responds with 200 while the loop runs."""
        self._daemon.loop.query(lambda board: None)
        return responses.send_json({"healthy": True})

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Responds with 200 if this daemon may receive requests, else 503."""
        ready = self._daemon.loop.query(self._is_ready)
        if not ready:
            cherrypy.response.status = 503
        return responses.send_json({"ready": ready})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Responds with the metrics in Prometheus' text format."""
        cherrypy.response.headers["Content-Type"] = (
            "text/plain; version=0.0.4; charset=utf-8"
        )
        return self._daemon.metrics.text()

    @cherrypy.expose
    def status(self) -> bytes:
        """Responds with this daemon's state: members, replicas and so on."""
        return responses.send_json(self._daemon.loop.query(self._describe))

    @cherrypy.expose
    def traces(self) -> bytes:
        """Responds with the recorded spans.

        The query parameter ``request_id`` selects those of one request.
        """
        request_id = applications.request_query().get("request_id", "")
        return responses.send_json(self._daemon.traces.find(request_id))


def _is_ready(board: boards.Board) -> bool:
    listed = board.state(host_list.State).confirmed_at is not None
    draining = membership.table(board).draining
    return configuration.current(board) is not None and listed and not draining


def _describe(board: boards.Board) -> dict[str, Any]:
    active = configuration.current(board)
    return {
        "host": board.identity.host,
        "epoch": board.identity.epoch,
        "generation": active.generation if active else 0,
        "rejected": [
            invalid._asdict()
            for invalid in (active.rejected if active else ())
        ],
        "members": member_status.describe(board),
        "backend_servers": [
            replica._replace(role=replica.role.value)._asdict()
            for replica in board.state(host_list.State).replicas.values()
        ],
    }
