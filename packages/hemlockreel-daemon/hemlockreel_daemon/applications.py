"""The CherryPy applications that run on the servers of the daemon.

Request targets and header lines are read as received, including repeated
headers, because they are forwarded to backend servers.
"""

from collections.abc import Iterable
from typing import Any
from urllib import parse

import cherrypy

from . import responses
from . import servers

# CherryPy's engine is not started, so its reloader, signal handlers and access
# log are off. Paths and queries are forwarded as received. They are decoded as
# latin-1, which accepts any byte.
CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "request.query_string_encoding": "latin-1",
        "request.uri_encoding": "latin-1",
        "request.error_response": responses.respond_to_unhandled_error,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
        "tools.no_parameters.on": True,
    }
}


def _drop_parameters() -> None:
    """Prevents CherryPy from passing query parameters to handlers."""
    cherrypy.request.params = {}


def make(root: Any) -> cherrypy.Application:
    """Returns the WSGI application of the CherryPy handlers in ``root``."""
    cherrypy.config.update({"environment": "embedded", "log.screen": False})
    cherrypy.tools.no_parameters = cherrypy.Tool(
        "before_handler", _drop_parameters
    )
    application = cherrypy.Application(root, "", CONFIG)
    application.log.access_log.handlers = []
    return application


def request_target() -> str:
    """Returns path and query of the current request as received."""
    uri = cherrypy.request.wsgi_environ["REQUEST_URI"]
    if uri.startswith("/"):
        return uri
    split = parse.urlsplit(uri)
    return parse.urlunsplit(("", "", split.path or "/", split.query, ""))


def request_query() -> dict[str, str]:
    """Returns the query parameters of the current request."""
    return dict(parse.parse_qsl(cherrypy.request.query_string))


def request_headers() -> tuple[tuple[str, str], ...]:
    """Returns the headers of the current request, including repeated ones."""
    return servers.parse_header_lines(
        cherrypy.request.wsgi_environ[servers.LINES_KEY]
    )


def set_response_headers(given: Iterable[tuple[str, str]]) -> None:
    """Sets the headers of the current response, including repeated ones."""
    mapping = cherrypy.response.headers
    repeated = cherrypy.request.wsgi_environ[servers.REPEATED_KEY]
    seen = set()
    for name, value in given:
        if name.lower() in seen:
            repeated.append((name, value))
        else:
            seen.add(name.lower())
            mapping[name] = value
