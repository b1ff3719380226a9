"""Watches what a process and its connections take of a machine."""

import os
import pathlib
import re
import threading

PERIOD_S = 0.02
LISTEN = 10  # a state in /proc/net/tcp


class Usage:
    """The most that a process has used since the block began.

    ``memory`` is in bytes: the process's own pages and what its connections
    have received on the local ``ports`` and the process has not read yet.
    ``unread`` is the latter alone. ``descriptors`` is the number of open ones.
    ``folder`` is that of the process below /proc.
    """

    def __init__(self, pid: int, ports: tuple[int, ...]):
        self.folder = pathlib.Path(f"/proc/{pid}")
        self._ports = frozenset(ports)
        self.memory = 0
        self.unread = 0
        self.descriptors = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Usage":
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(PERIOD_S):
            try:
                self._look()
            except OSError:
                return

    def _look(self) -> None:
        status = (self.folder / "status").read_text()
        own = re.search(r"VmRSS:\s+(\d+) kB", status)
        if own is None:
            return  # the process has ended
        unread = unread_bytes(self._ports)
        self.memory = max(self.memory, int(own[1]) * 1024 + unread)
        self.unread = max(self.unread, unread)
        open_now = len(os.listdir(self.folder / "fd"))
        self.descriptors = max(self.descriptors, open_now)


def unread_bytes(ports: frozenset[int]) -> int:
    """Returns the bytes that wait to be read at the local ``ports``."""
    total = 0
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in lines:
        fields = line.split(None, 5)
        port = int(fields[1].rpartition(":")[2], 16)
        if port in ports and int(fields[3], 16) != LISTEN:
            total += int(fields[4].partition(":")[2], 16)
    return total
