"""The HTTP servers of the daemon: CherryPy applications on cheroot."""

import threading
from typing import Any

from cheroot import wsgi
import cherrypy

SOCKET_KEY = "hemlockreel.socket"

# CherryPy's engine is not started: its reloader, signal handlers and access
# log stay off.
CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
    }
}


class _Gateway(wsgi.Gateway_10):
    """Lets a worker look at the socket of its caller."""

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


class Server:
    """One listener with its own threads."""

    def __init__(self, address: str, root: Any, threads: int):
        cherrypy.config.update(
            {"environment": "embedded", "log.screen": False}
        )
        application = cherrypy.Application(root, "", CONFIG)
        application.log.access_log.handlers = []
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            application,
            numthreads=threads,
            request_queue_size=1024,
            server_name="hemlockreel",
        )
        self._server.gateway = _Gateway
        self._server.shutdown_timeout = 1

    def start(self) -> None:
        """Binds the address and serves on threads of its own."""
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="server", daemon=True
        ).start()

    def stop(self) -> None:
        """Closes the listener and its connections."""
        self._server.stop()
