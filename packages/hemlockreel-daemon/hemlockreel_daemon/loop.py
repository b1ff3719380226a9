"""The event loop: the only thread that runs the core and owns the board."""

from collections.abc import Callable
import queue
import threading
import time
import traceback
from typing import Any

from hemlockreel import actions
from hemlockreel import board as boards
from hemlockreel import configuration
from hemlockreel import core
from hemlockreel import drain
from hemlockreel import events

from . import clock
from . import logs

TICK_S = 0.1


class Loop:
    """Runs the core on one event after another.

    Other threads don't access the board. They read ``configuration`` and
    ``closed`` (new requests are refused), which are replaced as a whole after
    each step; ``publish`` may export more.
    """

    def __init__(
        self,
        board: boards.Board,
        perform: Callable[[actions.Action], None],
        fail: Callable[[], None],
        controllers: tuple[Any, ...] = core.CONTROLLERS,
        publish: Callable[[boards.Board, float], None] | None = None,
    ):
        self._publish = publish
        self._controllers = controllers
        self._board = board
        self._perform = perform
        self._fail = fail
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run_guarded, name="loop", daemon=True
        )
        self.configuration: configuration.Configuration | None = None
        self.closed = False

    def post(self, event: Any) -> None:
        """Queues an event; may be called from any thread."""
        self._events.put(event)

    def start(self) -> None:
        """Starts the loop's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the loop after the current event."""
        self._stopping = True

    def query(self, function: Callable[[boards.Board], Any]) -> Any:
        """Returns ``function(board)``, computed on the loop's thread.

        Raises :class:`queue.Empty` if the loop doesn't respond within 5 s, and
        what ``function`` raises. A function that fails is an error of its
        caller and does not end the loop.
        """
        results: queue.SimpleQueue = queue.SimpleQueue()
        self.post(_Query(function, results))
        value, error = results.get(timeout=5.0)
        if error is not None:
            raise error
        return value

    def _run_guarded(self) -> None:
        """Runs the loop; makes the process exit if the core raises.

        The board may be inconsistent after an exception.
        """
        try:
            self._run()
        except Exception:
            logs.write("loop_failed", {"trace": traceback.format_exc()})
            self._fail()

    def _run(self) -> None:
        next_tick = clock.now()
        while not self._stopping:
            wait = next_tick - clock.now()
            try:
                event = self._events.get(timeout=max(wait, 0.0))
            except queue.Empty:
                event = events.Tick(time.time())
                next_tick = clock.now() + TICK_S
            if isinstance(event, _Query):
                event.results.put(self._answer(event))
                continue
            self._step(event)
            if clock.now() >= next_tick:
                self._step(events.Tick(time.time()))
                next_tick = clock.now() + TICK_S

    def _answer(self, query: "_Query") -> tuple[Any, Exception | None]:
        """Returns the result of a query, or what it raised."""
        try:
            return query.function(self._board), None
        except Exception as error:
            logs.write("query_failed", {"trace": traceback.format_exc()})
            return None, error

    def _step(self, event: Any) -> None:
        now = clock.now()
        for action in core.step(self._board, event, now, self._controllers):
            self._perform(action)
        self.configuration = configuration.current(self._board)
        self.closed = drain.is_closed(self._board, now)
        if self._publish is not None:
            self._publish(self._board, now)


class _Query:
    """A function to call on the board, and the queue for its result."""

    def __init__(self, function, results):
        self.function = function
        self.results = results
