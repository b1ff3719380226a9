"""Splits a stream of server-sent events into complete events.

An event is forwarded only when it is complete. Otherwise a replica that fails
in the middle of an event would leave a partial one before those of the next
run.
"""

SEPARATORS = (b"\n\n", b"\r\n\r\n")
MAX_SEPARATOR_BYTES = 4


class Splitter:
    """Collects the bytes of one run's stream.

    ``last_id`` is the id of the last complete event, ``count`` the number of
    complete events, and ``rest`` the bytes of a partial one.

    >>> splitter = Splitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, bytes(splitter.rest)
    ('1', b'id: 2\\nda')
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self.rest = bytearray()
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all events that ``data`` completes."""
        # Only a separator that ends in ``data`` can be new.
        begin = max(0, len(self.rest) - MAX_SEPARATOR_BYTES + 1)
        self.rest += data
        end = 0
        for separator in SEPARATORS:
            found = self.rest.rfind(separator, begin)
            if found >= 0:
                end = max(end, found + len(separator))
        whole = bytes(self.rest[:end])
        del self.rest[:end]
        self.count += sum(whole.count(each) for each in SEPARATORS)
        for line in reversed(whole.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return whole

    def take_back(self, last_id: str, count: int) -> None:
        """Forgets events that were completed but not forwarded."""
        self.last_id, self.count = last_id, count
