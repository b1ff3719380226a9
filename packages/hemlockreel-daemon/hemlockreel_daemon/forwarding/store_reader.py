"""Reads one kind of objects from the store and then watches its changes.

The core decides whether this host reads at all; see
:mod:`hemlockreel.forwarding.store_fanout`.
"""

from collections.abc import Callable
import random
import threading
import time
import traceback
from typing import Any

from hemlockreel import store_era

from hemlockreel.forwarding import store_fanout

from .. import clock
from .. import logs
from . import interfaces

# A watch of an unresponsive store blocks until its end. It and the call after
# it must end within the time for which the platform still counts the store as
# disturbed, so the watch is shorter by this margin.
WATCH_MARGIN_S = 0.8
MIN_WATCH_S = 0.5
DEFAULT_SETTLED_S = 3.0  # if the settings have no value
# Changes in quick succession, as when all replicas register, are read with one
# call, since each call has a price.
MIN_CALL_PERIOD_S = 0.3
FIRST_PAUSE_S = 0.1  # after a call without a response; doubles
MAX_PAUSE_S = 1.0


class Reader:
    """A thread that reads the objects of ``kind``.

    For each response, ``convert(found, whole)`` returns the events that are
    passed to ``post``; ``whole`` is set for a full read. ``on_lost`` is called
    after each call without a response. ``settled_s`` is the time after a
    disturbance of the store within which all changes during it must be known.
    """

    def __init__(
        self,
        store: interfaces.Store,
        kind: store_fanout.ObjectKind,
        convert: Callable[[interfaces.StoreObjects, bool], list[Any]],
        post: Callable[[Any], None],
        on_lost: Callable[[], None],
        settled_s: float = DEFAULT_SETTLED_S,
    ):
        self._watch_s = max(MIN_WATCH_S, settled_s - WATCH_MARGIN_S)
        self._store = store
        self._kind = kind
        self._convert = convert
        self._post = post
        self._on_lost = on_lost
        self._revision: int | None = None
        self._era = 0
        self._pause_s = FIRST_PAUSE_S
        self._is_available = True
        self._called_at = -MIN_CALL_PERIOD_S
        self._plan = store_fanout.ReadPlan()
        self._may_read = threading.Event()
        self._may_read.set()

    def set_plan(self, plan: store_fanout.ReadPlan) -> None:
        """Sets the plan that applies from the next call on."""
        self._plan = plan
        if plan.reads_store:
            self._may_read.set()
        else:
            self._may_read.clear()

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(
            target=self._run, name=f"read-{self._kind.value}", daemon=True
        ).start()

    def _run(self) -> None:
        while True:
            self._may_read.wait()
            try:
                self.step()
            except Exception:
                # Without its thread, a host would follow the store no more.
                logs.write("reader_failed", {"trace": traceback.format_exc()})
                self._handle_failure(
                    interfaces.StoreFailure("the reader failed")
                )

    def step(self) -> None:
        """Makes one call and posts the events of its response."""
        wait_before_call_s = self._called_at + MIN_CALL_PERIOD_S - clock.now()
        if wait_before_call_s > 0:
            time.sleep(wait_before_call_s)
        self._called_at = clock.now()
        self._catch_up()
        whole = self._revision is None
        if whole:
            found = self._store.read(self._kind)
        else:
            wait_s = self._plan.watch_s or self._watch_s
            found = self._store.watch(self._kind, self._revision, wait_s)
        if found.era:
            self._post(store_era.EraSeen(found.era))
        if isinstance(found, interfaces.StoreFailure):
            self._handle_failure(found)
            return
        if not whole and found.era != self._era:
            self._handle_restore(found.era)
            return
        if not self._is_available:
            logs.write("store_regained", {"kind": self._kind.value})
        self._is_available = True
        self._pause_s = FIRST_PAUSE_S
        if isinstance(found, interfaces.HistoryExpired):
            logs.write("store_history_gone", {"since": self._revision})
            self._revision = None
            return
        self._revision, self._era = found.as_of, found.era
        for event in self._convert(found, whole):
            self._post(event)

    def _catch_up(self) -> None:
        """Continues from what broadcasts of other hosts have covered."""
        plan = self._plan
        if plan.era > self._era:
            self._era = plan.era
            self._revision = plan.from_revision or None
        elif plan.era == self._era and self._revision is not None:
            self._revision = max(self._revision, plan.from_revision)

    def _handle_restore(self, era: int) -> None:
        """Drops changes that are relative to a revision of another era.

        The store may even accept that revision, as it gives out revisions
        again after it was restored.
        """
        fields = {"kind": self._kind.value, "since": self._revision}
        logs.write(
            "store_restored", {**fields, "before": self._era, "era": era}
        )
        self._revision = None

    def _handle_failure(self, found: interfaces.StoreFailure) -> None:
        if self._is_available:
            fields = {"kind": self._kind.value, "detail": found.detail}
            logs.write("store_lost", fields)
        self._is_available = False
        # The next watch may lack changes of the meantime, so all is read
        # again.
        self._revision = None
        self._on_lost()
        # The jitter keeps hosts from calling at the same time.
        pause_s = max(self._pause_s, found.retry_after_s)
        time.sleep(pause_s * random.uniform(0.7, 1.3))
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
