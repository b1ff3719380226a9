"""Runs a daemon that also counts the bytes and messages of its traffic.

The daemon's metrics include the counts as ``hemlockreel_probe_bytes`` and
``hemlockreel_probe_messages``. Bytes are counted by link: ``store``,
``host_list``, ``engine_control``, ``data`` and ``peers``. Those between peers
are counted a second time by the type of message. Bytes over HTTP are the
kernel's counts of the connection, which include HTTP headers but not TCP/IP
headers; bytes between daemons are the sizes of the encoded messages.
"""

import collections
import socket
import struct
import sys
import threading
import weakref

from prometheus_client import metrics_core
from urllib3 import connection

from hemlockreel import messages
from hemlockreel_daemon import main as daemon_main
from hemlockreel_daemon import metrics

TCP_INFO_BYTES = 256
BYTES_OFFSET = 120  # of tcpi_bytes_acked, followed by tcpi_bytes_received
LINKS = {
    "/v1/objects": "store",
    "/v1/watch": "store",
    "/v1/hosts": "host_list",
    "/v1/load": "engine_control",
    "/v1/requests": "engine_control",
    "/v1/cache": "engine_control",
    "/v1/cancel": "engine_control",
    "/v1/orders": "engine_control",
}

_lock = threading.Lock()
_bytes: collections.Counter = collections.Counter()
_messages: collections.Counter = collections.Counter()
_live: weakref.WeakSet = weakref.WeakSet()
_http_connection = connection.HTTPConnection
_encode = messages.encode
_decode = messages.decode


class CountingConnection(_http_connection):
    """An HTTP connection that counts its bytes and requests.

    ``link`` is that of the last request whose path is in ``LINKS``.
    """

    link = "data"

    def request(self, method, url, *args, **kwargs):
        """Sets the link by the path and counts the request, then sends it."""
        for prefix, link in LINKS.items():
            if url.startswith(prefix):
                self.link = link
        with _lock:
            _live.add(self)
            _messages[(self.link, "sent", method)] += 1
        return super().request(method, url, *args, **kwargs)

    def close(self):
        """Adds the bytes of the connection to the counts."""
        with _lock:
            if self in _live:
                _live.discard(self)
                _bytes.update(self.transferred())
        super().close()

    def transferred(self) -> dict[tuple[str, str], int]:
        """Returns the bytes sent and received so far, by link and direction.

        The result is empty for a connection that is not open.
        """
        if self.sock is None:
            return {}
        try:
            info = self.sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        except OSError:
            return {}
        sent, received = struct.unpack_from("=QQ", info, BYTES_OFFSET)
        return {(self.link, "sent"): sent, (self.link, "received"): received}


def _counted_encode(message: messages.Message) -> bytes:
    data = _encode(message)
    _count_message(message, "sent", data)
    return data


def _counted_decode(data: bytes) -> messages.Message | None:
    message = _decode(data)
    if message is not None:
        _count_message(message, "received", data)
    return message


def _count_message(
    message: messages.Message, direction: str, data: bytes
) -> None:
    with _lock:
        _bytes[("peers", direction)] += len(data)
        _bytes[(type(message).__name__, direction)] += len(data)
        _messages[("peers", direction, type(message).__name__)] += 1


class _Collector:
    """Exports the counts with the daemon's metrics."""

    def collect(self):
        """Yields the metric families of bytes and of messages."""
        with _lock:
            sizes = _bytes.copy()
            for each in _live:
                sizes.update(each.transferred())
            numbers = dict(_messages)
        family = metrics_core.GaugeMetricFamily(
            "hemlockreel_probe_bytes", "Bytes.", labels=("link", "direction")
        )
        for labels, value in sizes.items():
            family.add_metric(labels, value)
        yield family
        family = metrics_core.GaugeMetricFamily(
            "hemlockreel_probe_messages",
            "Messages and calls.",
            labels=("link", "direction", "type"),
        )
        for labels, value in numbers.items():
            family.add_metric(labels, value)
        yield family


class _Metrics(metrics.Metrics):
    def __init__(self):
        super().__init__()
        self.registry.register(_Collector())


def main() -> int:
    """Runs the daemon with counting versions of its parts.

    They replace the originals in their modules before the daemon starts.
    """
    connection.HTTPConnection = CountingConnection
    messages.encode = _counted_encode
    messages.decode = _counted_decode
    metrics.Metrics = _Metrics
    return daemon_main.main()


if __name__ == "__main__":
    sys.exit(main())
