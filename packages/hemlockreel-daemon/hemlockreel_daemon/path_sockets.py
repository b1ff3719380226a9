"""The two ends of a path: a connection to a replica through another host.

The host that asks for a path sends one JSON line that names the replica, and
the other answers with one that says whether it has connected. From then on
the bytes to the replica follow as they are. Those from the replica come in
frames, so that the end of its connection can be told from a reset and from
the loss of the path itself: a response may end with its connection, and only
an ordered end makes it complete.
"""

import contextlib
import select
import socket
import struct
from typing import Any

import msgspec

from . import bounded_sockets
from . import clock
from . import tcp_states

HEADER = struct.Struct("!I")  # the length of a frame, or one of the marks
END = 0  # the replica closed its connection
RESET = 0xFFFFFFFF  # the replica reset its connection
MAX_FRAME_BYTES = 64 * 1024
MAX_LINE_BYTES = 1024
OPEN = "open"


class PathRequest(msgspec.Struct, frozen=True):
    """Asks for a connection to one run of a replica within ``wait_ms``.

    It is for a caller's request, or for short calls one after the other if it
    is ``brief``.
    """

    replica: str
    born: int
    wait_ms: int
    brief: bool = False


class PathReply(msgspec.Struct, frozen=True):
    """Tells whether the path is ``open``, or why it isn't."""

    status: str


_request_decoder = msgspec.json.Decoder(PathRequest)
_reply_decoder = msgspec.json.Decoder(PathReply)


def encode(line: PathRequest | PathReply) -> bytes:
    """Returns the line for a request or a reply."""
    return msgspec.json.encode(line) + b"\n"


def decode_request(line: bytes) -> PathRequest | None:
    """Returns the request in ``line``, ``None`` if it is none."""
    try:
        return _request_decoder.decode(line)
    except msgspec.MsgspecError:
        return None


def decode_reply(line: bytes) -> PathReply | None:
    """Returns the reply in ``line``, ``None`` if it is none."""
    try:
        return _reply_decoder.decode(line)
    except msgspec.MsgspecError:
        return None


class PathLost(TimeoutError):
    """The path ended, which says nothing about the replica."""


class PathSocket(bounded_sockets.BoundedSocket):
    """The end of an open path at the host that uses it.

    It reads and writes the bytes of the replica. ``via`` is the peer address
    of the host that carries them.
    """

    def __init__(self, connected: socket.socket, via: str):
        super().__init__(connected)
        self.via = via
        self._left_in_frame = 0
        self._has_ended = False

    def recv_into(self, buffer: Any, nbytes: int = 0, *flags: int) -> int:
        """Reads bytes of the replica; 0 at the end of its connection.

        Raises :class:`ConnectionResetError` if the replica reset it, and
        :class:`PathLost` if the path broke.
        """
        view = memoryview(buffer)
        if not self._left_in_frame and not self._has_ended:
            self._begin_frame()
        if self._has_ended:
            self._check_end()
            return 0
        most = min(nbytes or len(view), len(view), self._left_in_frame)
        count = self._read(view[:most])
        self._left_in_frame -= count
        return count

    def sendall(self, *arguments: Any) -> None:
        """Writes bytes for the replica; raises :class:`PathLost`."""
        try:
            super().sendall(*arguments)
        except ConnectionError as error:
            raise PathLost(f"the path broke: {error}") from error

    def _read(self, view: memoryview) -> int:
        try:
            count = super().recv_into(view)
        except ConnectionError as error:
            raise PathLost(f"the path broke: {error}") from error
        if not count:
            raise PathLost("the path ended within a response")
        return count

    def _begin_frame(self) -> None:
        header = bytearray(HEADER.size)
        filled = 0
        while filled < len(header):
            filled += self._read(memoryview(header)[filled:])
        (size,) = HEADER.unpack(header)
        if size == RESET:
            raise ConnectionResetError("the replica reset its connection")
        if size > MAX_FRAME_BYTES:
            raise PathLost("the path carries no frames")
        self._left_in_frame = size
        self._has_ended = size == END


class Carrier:
    """Carries the bytes of one path between its user and the replica.

    A side is read only while nothing waits to be written to the other one, so
    a slow reader slows its writer down. ``to_replica`` and ``from_replica``
    count the bytes carried.

    The end of a replica that has not taken all bytes for it, or had not when
    it began to write, is passed on as a reset: it can't be the end of a
    response to them.
    """

    def __init__(self, user: socket.socket, replica: socket.socket):
        self._user = user
        self._replica = replica
        self._for_user = bytearray()
        self._for_replica = bytearray()
        self._has_ended = False
        self._is_early = False
        self._has_new = False  # bytes for the replica since its last ones
        self.to_replica = 0
        self.from_replica = 0

    def run(self, ends_at: float) -> None:
        """Returns once either side has ended, at ``ends_at`` at the latest."""
        for sock in (self._user, self._replica):
            sock.setblocking(False)
        with contextlib.suppress(OSError):
            while not self._has_ended or self._for_user:
                left_s = ends_at - clock.now()
                if left_s <= 0 or not self._step(left_s):
                    return

    def _step(self, wait_s: float) -> bool:
        """Waits for bytes and carries them; false if the user is gone."""
        poll = select.poll()
        poll.register(self._user, _mask(self._for_replica, self._for_user))
        if not self._has_ended:
            mask = _mask(self._for_user, self._for_replica)
            poll.register(self._replica, mask)
        found = dict(poll.poll(wait_s * 1000))
        from_user = found.get(self._user.fileno(), 0)
        from_replica = found.get(self._replica.fileno(), 0)
        if from_user & select.POLLOUT:
            del self._for_user[: _send(self._user, self._for_user)]
        if from_replica & select.POLLOUT:
            del self._for_replica[: _send(self._replica, self._for_replica)]
        if from_user & ~select.POLLOUT and not self._read_user():
            return False
        if from_replica & ~select.POLLOUT:
            self._read_replica()
        return True

    def _read_user(self) -> bool:
        try:
            data = self._user.recv(MAX_FRAME_BYTES)
        except BlockingIOError:
            return True
        self._for_replica += data
        self._has_new = True
        self.to_replica += len(data)
        return bool(data)

    def _read_replica(self) -> None:
        try:
            data = self._replica.recv(MAX_FRAME_BYTES)
        except BlockingIOError:
            return
        except ConnectionError:
            self._for_user += HEADER.pack(RESET)
            self._has_ended = True
            return
        if self._has_new or not data:
            self._has_new = self._has_untaken()
            self._is_early = self._is_early or self._has_new
        self._has_ended = not data
        if not data and (
            self._is_early or tcp_states.was_reset(self._replica)
        ):
            self._for_user += HEADER.pack(RESET)
            return
        self._for_user += HEADER.pack(len(data)) + data
        self.from_replica += len(data)

    def _has_untaken(self) -> bool:
        """Returns whether the replica lacks bytes that the user has sent."""
        return bool(
            self._for_replica
            or tcp_states.untaken_bytes(self._replica)
            or tcp_states.unread_bytes(self._user)
        )


def _mask(waiting: bytearray, own: bytearray) -> int:
    """Returns what to poll a side for, of which ``waiting`` was read."""
    return (0 if waiting else select.POLLIN) | (select.POLLOUT if own else 0)


def _send(sock: socket.socket, data: bytearray) -> int:
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0


def read_line(sock: socket.socket, until: float) -> bytes:
    """Returns the first line, empty if there is none in time."""
    line = bytearray()
    while not line.endswith(b"\n") and len(line) < MAX_LINE_BYTES:
        sock.settimeout(max(0.001, until - clock.now()))
        try:
            # One byte at a time, as the bytes after it are not for us.
            byte = sock.recv(1)
        except OSError:
            return b""
        if not byte:
            return b""
        line += byte
    return bytes(line)
