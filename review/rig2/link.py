"""A proxy that stands on the way of one channel, and can reset it."""

import contextlib
import socket
import struct
import threading


class Link:
    """Forwards channels to ``target``; a context manager."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._ends = []
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._listener.close()

    def reset(self):
        """Resets both ends of all channels."""
        for each in self._ends:
            with contextlib.suppress(OSError):
                each.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
                each.shutdown(socket.SHUT_RD)
            with contextlib.suppress(OSError):
                each.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target)
                self._ends += [near, far]
                for pair in ((near, far), (far, near)):
                    threading.Thread(
                        target=self._pump, args=pair, daemon=True
                    ).start()

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
