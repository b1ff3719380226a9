"""One running daemon: the event loop, its clients and shared services.

The core decides, on the loop's thread; this module performs its actions.
Blocking calls run on thread pools and post their results as events.
"""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import functools
import random
import socket
import threading
import time
import traceback
from typing import Any
from typing import NamedTuple
import uuid

from hemlockreel import actions
from hemlockreel import board as boards
from hemlockreel import core
from hemlockreel import events

from . import caller_sockets
from . import engine_client
from . import hostlist_client
from . import logs
from . import loop
from . import mailbox
from . import metrics
from . import peers
from . import settings
from . import store_client
from . import traces

ENGINE_CALL_THREADS = 8  # for the control path only
STORE_CALL_THREADS = 4
SHUTDOWN_LINGER_S = 0.2  # time to deliver the last messages to peers
EPOCHS_PER_S = 4
EPOCH_START_S = 1_704_067_200  # the year 2024; 31 bits last until 2041


class ExternalClients(NamedTuple):
    """Clients for the calls that the core makes to external systems.

    Each function blocks until the response or a timeout and returns the event
    for the core. ``try_connect`` posts its event itself.
    """

    call_store: Callable[[actions.CallStore], events.StoreResponded]
    call_engine: Callable[[actions.CallEngine], events.EngineResponded]
    read_host_list: Callable[[actions.ReadHostList], events.HostListRead]
    try_connect: Callable[[actions.TryConnect], None] = lambda action: None


def http_clients(config: settings.Settings) -> ExternalClients:
    """Returns the clients of the store, the engines and the host list."""
    return ExternalClients(
        functools.partial(store_client.call, config.store),
        engine_client.control,
        functools.partial(hostlist_client.read, config.host_list),
    )


class Daemon:
    """State and services that the threads of one daemon share.

    ``publish`` is called on the loop's thread after each step. ``exiting`` is
    set when the process shall end, ``failed`` if a core failure is the cause.
    """

    def __init__(
        self,
        config: settings.Settings,
        clients: ExternalClients | None = None,
        controllers: tuple[Any, ...] = core.CONTROLLERS,
        publish: Callable[[boards.Board, float], None] | None = None,
    ):
        self.settings = config
        self._clients = clients or http_clients(config)
        epoch = _new_epoch()
        identity = boards.Identity(
            host=config.listen.peers,
            callers=config.listen.callers,
            zone=config.zone,
            region=config.region,
            epoch=epoch,
            paths=config.listen.paths,
        )
        # The epoch alone is no sufficient seed: daemons that start together
        # share it, and the same jitter would synchronise their actions.
        seed = f"{identity.host}/{epoch}"
        rng = random.Random(seed)
        self.board = boards.Board(identity, config.seeds, rng)
        self.metrics = metrics.Metrics()
        self.traces = traces.Traces(identity.host)
        self.mailboxes = mailbox.Mailboxes()
        self.watcher = caller_sockets.Watcher()
        self.rng = random.Random(f"{seed}/workers")
        self.loop = loop.Loop(
            self.board,
            self._perform,
            self._exit_after_failure,
            controllers,
            publish,
        )
        self.exiting = threading.Event()
        self.failed = False
        self._peers = peers.Peers(config.listen.peers, self.metrics)
        self._engine_pool = futures.ThreadPoolExecutor(
            ENGINE_CALL_THREADS, "engines"
        )
        self._store_pool = futures.ThreadPoolExecutor(
            STORE_CALL_THREADS, "store"
        )
        self._watch_pool = futures.ThreadPoolExecutor(1, "watch")
        self._host_list_pool = futures.ThreadPoolExecutor(1, "hosts")

    def start(self) -> None:
        """Starts the loop and the threads that feed it."""
        self.watcher.start()
        self._peers.start(self.loop.post)
        self.loop.start()

    def stop(self) -> None:
        """Ends the loop, the thread pools and the peer sockets."""
        self.loop.stop()
        time.sleep(SHUTDOWN_LINGER_S)
        for pool in (
            self._engine_pool,
            self._store_pool,
            self._watch_pool,
            self._host_list_pool,
        ):
            pool.shutdown(wait=False, cancel_futures=True)
        self._peers.close()

    def new_id(self) -> str:
        """Returns a unique request id."""
        return uuid.uuid4().hex

    @contextlib.contextmanager
    def track_request(
        self, request_id: str, caller: socket.socket
    ) -> Iterator[mailbox.Mailbox]:
        """Opens the request's mailbox, which stops if the caller disconnects.

        The mailbox is closed and the caller no longer watched at the end of
        the block.
        """
        box = self.mailboxes.open(request_id)
        try:
            self.watcher.watch(caller, box)
            yield box
        finally:
            self.watcher.stop_watching(caller)
            self.mailboxes.close(request_id)
            if box.stopped is not None:
                self.metrics.count("stopped", 1, (box.stopped.reason.value,))

    def _exit_after_failure(self) -> None:
        """Makes the process exit after the core has failed."""
        self.failed = True
        self.exiting.set()

    def _perform(self, action: actions.Action) -> None:
        """Performs an action of the core on the loop's thread."""
        perform(action, self)

    def send(self, action: actions.Send) -> None:
        """Sends a message; one to this daemon is posted to its own loop."""
        if action.to == self.board.identity.host:
            self.loop.post(action.message)
        else:
            self._peers.send(action.to, action.message)

    def reconnect(self, host: str) -> None:
        """Makes the next message to a peer open a new connection."""
        self._peers.reconnect(host)

    def call_store(self, action: actions.CallStore) -> None:
        """Calls the store on a pool thread."""
        # The store holds a watch open; it must not delay other calls.
        is_watch = action.path.startswith("/v1/watch")
        pool = self._watch_pool if is_watch else self._store_pool
        failed = events.StoreResponded(
            action.call_id, store_client.NO_RESPONSE, {}
        )
        self._submit_call(pool, self._clients.call_store, action, failed)

    def call_engine(self, action: actions.CallEngine) -> None:
        """Calls an engine on a pool thread."""
        failed = events.EngineResponded(
            action.call_id, action.address, action.operation, 0, {}
        )
        self._submit_call(
            self._engine_pool, self._clients.call_engine, action, failed
        )

    def try_connect(self, action: actions.TryConnect) -> None:
        """Connects to a replica on a pool thread."""
        self._engine_pool.submit(self._clients.try_connect, action)

    def read_host_list(self, action: actions.ReadHostList) -> None:
        """Reads the host list on a pool thread."""
        failed = events.HostListRead(None)
        self._submit_call(
            self._host_list_pool, self._clients.read_host_list, action, failed
        )

    def _submit_call(
        self,
        pool: futures.Executor,
        call: Callable[[Any], Any],
        action: actions.Action,
        failed: Any,
    ) -> None:
        """Makes a call on a thread of ``pool`` and posts the resulting event.

        The core expects an event for each call. An unexpected exception is
        therefore logged and the event ``failed`` posted.
        """

        def run() -> None:
            try:
                event = call(action)
            except Exception:
                fields = {"trace": traceback.format_exc()}
                logs.write("call_failed", fields)
                event = failed
            self.loop.post(event)

        pool.submit(run)


def _new_epoch() -> int:
    """Returns a 31-bit number that increases from run to run."""
    return int((time.time() - EPOCH_START_S) * EPOCHS_PER_S) & (2**31 - 1)


@functools.singledispatch
def perform(action: Any, daemon: Daemon) -> None:
    """Performs one action of the core."""
    raise TypeError(f"no such action: {action!r}")


@perform.register
def _send(action: actions.Send, daemon: Daemon) -> None:
    daemon.send(action)


@perform.register
def _reconnect(action: actions.Reconnect, daemon: Daemon) -> None:
    daemon.reconnect(action.to)


@perform.register
def _reply(action: actions.Reply, daemon: Daemon) -> None:
    daemon.mailboxes.deliver(action.request_id, action.value)


@perform.register
def _call_store(action: actions.CallStore, daemon: Daemon) -> None:
    daemon.call_store(action)


@perform.register
def _read_host_list(action: actions.ReadHostList, daemon: Daemon) -> None:
    daemon.read_host_list(action)


@perform.register
def _call_engine(action: actions.CallEngine, daemon: Daemon) -> None:
    daemon.call_engine(action)


@perform.register
def _try_connect(action: actions.TryConnect, daemon: Daemon) -> None:
    daemon.try_connect(action)


@perform.register
def _count(action: actions.Count, daemon: Daemon) -> None:
    daemon.metrics.count(action.name, action.amount, action.labels)


@perform.register
def _log(action: actions.Log, daemon: Daemon) -> None:
    logs.write(action.event, action.fields)


@perform.register
def _span(action: actions.Span, daemon: Daemon) -> None:
    daemon.traces.record(
        action.name,
        action.traceparent,
        action.end_s - action.start_s,
        action.attributes,
    )


@perform.register
def _exit(action: actions.Exit, daemon: Daemon) -> None:
    daemon.exiting.set()
