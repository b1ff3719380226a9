"""Messages between daemons over pynng, without delivery guarantee.

Sending never blocks; a message that can't be sent is counted and dropped.
"""

from collections.abc import Callable
import math
import threading
import time
from typing import Any

import pynng

from hemlockreel import messages

SEND_BUFFER_MESSAGES = 256  # per peer, while it is not connected
RECEIVE_TIMEOUT_MS = 500
RECONNECT_MAX_MS = 1000
MIN_RECONNECT_INTERVAL_S = 2.0  # between two connections to a peer
# The list of all replicas after a restore is the largest message, with some
# 100 bytes a replica. A peer that sends more is disconnected.
MAX_MESSAGE_BYTES = 2**20
IDLE_TIMEOUT_S = 120.0  # without a message, then the connection is closed


class Peers:
    """The sockets of one daemon: one to receive, one to send to each peer."""

    def __init__(self, address: str, metrics: Any):
        self._metrics = metrics
        self._closing = threading.Event()
        self._inbox = pynng.Pull0(
            listen=f"tcp://{address}",
            recv_timeout=RECEIVE_TIMEOUT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._outboxes: dict[str, pynng.Push0] = {}
        self._last_used_at: dict[str, float] = {}
        self._dialled_at: dict[str, float] = {}

    def start(self, post: Callable[[Any], None]) -> None:
        """Starts a thread that passes each received message to ``post``."""
        threading.Thread(
            target=self._receive, args=(post,), name="peers", daemon=True
        ).start()

    def send(self, to: str, message: messages.Message) -> None:
        """Sends without blocking; counts a message that can't be sent."""
        outbox = self._outboxes.get(to)
        if outbox is None:
            outbox = self._outboxes[to] = self._dial(to)
            self._close_idle()
        self._last_used_at[to] = time.monotonic()
        try:
            outbox.send(messages.encode(message), block=False)
        except pynng.NNGException:
            self._metrics.count("lost_messages")

    def reconnect(self, to: str) -> None:
        """Closes the connection to a peer; the next message opens a new one.

        Messages that the old one has not delivered yet are lost. A connection
        younger than :data:`MIN_RECONNECT_INTERVAL_S` is kept.
        """
        age_s = time.monotonic() - self._dialled_at.get(to, -math.inf)
        if to in self._outboxes and age_s >= MIN_RECONNECT_INTERVAL_S:
            self._close_connection(to)

    def _close_idle(self) -> None:
        """Closes unused connections, such as those to removed hosts."""
        before = time.monotonic() - IDLE_TIMEOUT_S
        for to, used_at in list(self._last_used_at.items()):
            if used_at < before:
                self._close_connection(to)

    def _close_connection(self, to: str) -> None:
        self._outboxes.pop(to).close()
        del self._last_used_at[to]
        del self._dialled_at[to]

    def close(self) -> None:
        """Closes all sockets."""
        self._closing.set()
        for outbox in self._outboxes.values():
            outbox.close()
        self._inbox.close()

    def _dial(self, to: str) -> pynng.Push0:
        outbox = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._dialled_at[to] = time.monotonic()
        outbox.dial(f"tcp://{to}", block=False)
        return outbox

    def _receive(self, post: Callable[[Any], None]) -> None:
        while not self._closing.is_set():
            try:
                data = self._inbox.recv()
            except pynng.Timeout:
                continue
            except RuntimeError:
                # pynng raises this on an empty message.
                self._metrics.count("broken_messages")
                continue
            except pynng.NNGException:
                return
            message = messages.decode(data)
            if message is None:
                self._metrics.count("broken_messages")
            else:
                post(message)
