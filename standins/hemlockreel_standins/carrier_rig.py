"""A test double of the daemon for its request handlers.

It needs no network and no event loop.
"""

from collections.abc import Iterator
import contextlib
import itertools
import math
import types
from typing import Any

from hemlockreel import claims
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel_daemon import mailbox
from hemlockreel_daemon import metrics

CLAIM_S = 60.0  # how long a claim is valid


class Daemon:
    """A daemon whose loop grants each attempt and each claim at once.

    The supply of backend servers is unlimited: ``decode-1``, ``decode-2`` and
    so on, likewise for ``prefill`` and ``server``.

    ``excluded`` lists the replicas that each attempt excludes, ``ended`` the
    finished attempts, ``claims`` the requested claims and ``outcomes`` the
    outcomes recorded for them. ``clock`` returns the time from which a claim's
    validity is counted. Attempts after the first ``grants`` are refused.
    """

    def __init__(self, clock: Any = None):
        self.box = mailbox.Mailbox()
        self.metrics = metrics.Metrics()
        self.loop = self
        self.traces = self
        self.rng = types.SimpleNamespace(random=lambda: 0.0)
        self.excluded: list[tuple[str, ...]] = []
        self.ended: list[events.RequestFinished] = []
        self.claims: list[events.ClaimRequested] = []
        self.outcomes: list[Any] = []
        self.grants = math.inf
        self._clock = clock

    @contextlib.contextmanager
    def track_request(
        self, request_id: str, caller: Any
    ) -> Iterator[mailbox.Mailbox]:
        """Yields the mailbox of the only request."""
        yield self.box

    @contextlib.contextmanager
    def span(self, name: str, parent: str, **fields: Any) -> Iterator[str]:
        """Yields an empty span id and records nothing."""
        yield ""

    def post(self, event: Any) -> None:
        """Handles an event in place of the loop."""
        if isinstance(event, events.CompletionRequested):
            self._grant(event, _pick("decode", event), _pick("prefill", event))
        elif isinstance(event, events.CallRequested):
            self._grant(event, _pick("server", event))
        elif isinstance(event, events.ClaimRequested):
            self.claims.append(event)
            until = self._clock() + CLAIM_S
            self.box.put(claims.Claimed(event.request_id, until))
        elif isinstance(event, events.ClaimFinished):
            self.outcomes.append(event.outcome)
        elif isinstance(event, events.RequestFinished):
            self.ended.append(event)

    def _grant(self, event: Any, replica: str, prefill: str = "") -> None:
        self.excluded.append(event.excluded)
        if len(self.excluded) > self.grants:
            self.box.put(outcomes.not_run(outcomes.Reason.OVERLOADED, 1.0))
            return
        self.box.put(
            messages.Grant(
                sender="owner",
                epoch=1,
                request_id=event.request_id,
                attempt=event.attempt,
                grant_id=1,
                replica=replica,
                prefill=prefill,
            )
        )


def _pick(kind: str, event: Any) -> str:
    """Returns the first backend server of ``kind`` that is not excluded."""
    names = (f"{kind}-{number}" for number in itertools.count(1))
    return next(name for name in names if name not in event.excluded)
