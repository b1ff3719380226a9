"""A simulated network of boards in one process, with a simulated clock.

The fabric delivers the ``Send`` actions of the boards with a delay, and drops
messages where a test configures it. Calls to engines and the store are passed
to a function of the test. The fabric does not depend on the content of the
messages.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import random
from typing import Any

from hemlockreel import actions
from hemlockreel import board as boards
from hemlockreel import core
from hemlockreel import events
from hemlockreel import messages

TICK_S = 0.1
DELAY_S = 0.002
REGION = "midt-norge"


class Fabric:
    """Boards by peer address, and the messages in transit between them.

    ``cuts`` holds pairs (sender, receiver) whose messages are dropped,
    ``frozen`` the paused hosts, whose messages are held back until they
    resume. ``call`` returns the event that responds to a host's action, such
    as ``CallEngine`` or ``CallStore``, or ``None``. ``step`` may be replaced
    to run only some controllers of the core.
    """

    def __init__(self, seed: int = 1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.boards: dict[str, boards.Board] = {}
        self.done: dict[str, list[tuple[float, Any]]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.loss = 0.0
        self.delay = DELAY_S
        self.sent_bytes: dict[str, int] = {}
        self.sent: dict[str, list[actions.Send]] = {}
        self.call: Callable[[str, Any], Any] = lambda host, action: None
        self.step: Callable[..., Iterable[actions.Action]] = core.step
        self._queue: list[tuple[float, int, str, Any]] = []
        self._sequence = 0

    def add(
        self,
        host: str,
        zone: str = "trondheim-a",
        seeds: tuple[str, ...] = (),
        epoch: int = 1,
        region: str = REGION,
    ) -> boards.Board:
        """Starts a daemon, replacing any earlier one at the same address."""
        self.kill(host)
        identity = boards.Identity(
            host, f"c{host}", zone, region, epoch, f"p{host}"
        )
        rng = random.Random(self.rng.random())
        self.boards[host] = boards.Board(identity, seeds, rng)
        self.done.setdefault(host, [])
        # A random offset keeps the daemons' ticks from coinciding.
        self._push(self.now + self.rng.random() * TICK_S, host, events.Tick())
        return self.boards[host]

    def kill(self, host: str) -> None:
        """Stops a daemon; messages in transit to it are dropped."""
        self.boards.pop(host, None)
        self._queue = [item for item in self._queue if item[2] != host]
        heapq.heapify(self._queue)

    def cut(self, senders: Any, receivers: Any) -> None:
        """Drops all messages from ``senders`` to ``receivers`` from now on."""
        self.cuts |= {(a, b) for a in senders for b in receivers}

    def post(self, host: str, event: Any) -> None:
        """Queues ``event`` for ``host`` without a delay."""
        self._push(self.now, host, event)

    def run(self, seconds: float) -> None:
        """Advances the clock by ``seconds`` and handles all events due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, host, event = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            if host in self.frozen:
                # After a pause a daemon handles a tick before the messages
                # that have collected in its buffers.
                ticks = isinstance(event, events.Tick)
                wait_s = TICK_S / 20 if ticks else TICK_S
                self._push(self.now + wait_s, host, event)
            elif host in self.boards:
                self._step(host, event)
        self.now = end

    def performed(self, host: str, kind: type) -> list[Any]:
        """Returns the actions of type ``kind`` that ``host`` requested."""
        return [done for _, done in self.done[host] if isinstance(done, kind)]

    def _step(self, host: str, event: Any) -> None:
        if isinstance(event, events.Tick):
            self._push(self.now + TICK_S, host, event)
            # No worker threads handle requests here, so the count is 0.
            self._push(self.now, host, events.CallersCounted(0))
        for action in self.step(self.boards[host], event, self.now):
            if isinstance(action, actions.Send):
                self.send(host, action)
                continue
            self.done[host].append((self.now, action))
            response = self.call(host, action)
            if response is not None:
                self._push(self.now + self.delay, host, response)

    def send(self, sender: str, action: actions.Send) -> None:
        """Sends a message of a host, unless it is lost."""
        self.sent.setdefault(sender, []).append(action)
        if sender == action.to:
            self._push(self.now, sender, action.message)
            return
        size = len(messages.encode(action.message))
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        lost = self.loss and self.rng.random() < self.loss
        if (sender, action.to) not in self.cuts and not lost:
            self._push(self.now + self.delay, action.to, action.message)

    def _push(self, due: float, host: str, event: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (due, self._sequence, host, event))
