"""Mailboxes, on which a worker thread waits for the loop."""

import queue
from typing import Any


class Mailboxes:
    """One mailbox for each request that a worker carries."""

    def __init__(self):
        self._boxes: dict[str, queue.SimpleQueue] = {}

    def open(self, request_id: str) -> queue.SimpleQueue:
        """Makes the mailbox of ``request_id``."""
        box = self._boxes[request_id] = queue.SimpleQueue()
        return box

    def close(self, request_id: str) -> None:
        """Forgets the mailbox; what comes for it later is dropped."""
        self._boxes.pop(request_id, None)

    def tell(self, request_id: str, value: Any) -> bool:
        """Puts ``value`` into a mailbox; false when nobody waits."""
        box = self._boxes.get(request_id)
        if box is None:
            return False
        box.put(value)
        return True
