"""Asks for a place at a replica, in the order that all hosts share.

See :mod:`hemlockreel.forwarding.shared_placement`. Without an answer the
request goes by this host's own view.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from hemlockreel import outcomes

from hemlockreel.forwarding import instances
from hemlockreel.forwarding import shared_placement

from .. import clock
from . import request_handler

# Of the latency objective: how long an answer is awaited.
ANSWER_SHARE = 0.1
MIN_ANSWER_S = 0.02  # a message each way between availability zones
# A request that waits for room asks again, in case an answer was lost.
REPEAT_S = 0.25
MAX_ROUNDS = 4  # of places at replicas that this host can't use


class Place:
    """The place of one attempt of a request, until :meth:`end`.

    ``succeeded`` is set once the replica has done what the place is for.
    """

    def __init__(
        self,
        handler: request_handler.RequestHandler,
        stage: instances.Stage,
    ):
        self._handler = handler
        self._stage = stage
        self._key = f"{handler.key}.{handler.next_place()}"
        self._tokens = 0
        self._is_known = False
        self.succeeded = False
        self._refused = ""
        self._is_full = False
        self._unusable: tuple[str, ...] = ()

    def choose(
        self,
        found: Sequence[instances.Instance],
        until: float,
        tokens: int = 0,
        exclude: tuple[str, ...] = (),
    ) -> instances.Instance | outcomes.Refused | None:
        """Returns the replica of ``found`` that the request should go to.

        It waits until ``until`` for one with room for ``tokens``. Returns
        ``None`` if this host has to decide by itself. Replicas in ``exclude``
        are not among them.
        """
        self._unusable = (*self._unusable, *exclude)
        self._tokens = tokens
        by_id = {each.id: each for each in found}
        for _ in range(MAX_ROUNDS):
            answer = self._ask(until)
            if answer is None or isinstance(answer, outcomes.Refused):
                return answer
            if not answer.replicas:
                return None
            chosen = answer.replicas[0]
            if chosen in by_id:
                return by_id[chosen]
            self.reject(chosen, is_full=False)
        return None

    def reject(self, id: str, is_full: bool) -> None:
        """Notes that a replica could not be used.

        It ``is_full`` if it said so itself.
        """
        self._refused, self._is_full = id, is_full
        if not is_full:
            self._unusable += (id,)

    def use(self, id: str, tokens: int = 0) -> None:
        """Notes at which replica the request is."""
        self._tokens = tokens
        self._is_known = True
        job = self._handler.job
        self._handler.post(
            shared_placement.PlaceUsed(
                self._key,
                id,
                job.service.name,
                self._stage,
                self._tokens,
                job.request.organisation,
            )
        )

    def end(self) -> None:
        """Gives the place back, if there is one."""
        if self._is_known:
            self._is_known = False
            self._handler.post(
                shared_placement.PlaceEnded(self._key, self.succeeded)
            )

    def _ask(
        self, until: float
    ) -> shared_placement.Answer | outcomes.Refused | None:
        """Returns the replicas, the refusal, or ``None`` without an answer."""
        handler = self._handler
        service = handler.job.service.name
        silent_s = max(
            MIN_ANSWER_S, ANSWER_SHARE * handler.job.route.objective_s
        )
        while True:
            self._post(max(0.0, until - clock.now()))
            answer = handler.receive_place(silent_s)
            if answer is None:
                handler.post(
                    shared_placement.PlaceUnanswered(service, self._stage)
                )
                return None
            if _is_queued(answer):
                left_s = until - clock.now() + silent_s
                answer = handler.receive_place(max(0.0, min(REPEAT_S, left_s)))
            if isinstance(answer, outcomes.Refused):
                return answer
            if answer is None or _is_queued(answer):
                if clock.now() >= until:
                    return handler.out_of_room(0.0)
                continue
            if answer.replicas is None:
                return handler.out_of_room(answer.after_s or 0.0)
            return answer

    def _post(self, wait_s: float) -> None:
        handler = self._handler
        job = handler.job
        self._is_known = True
        handler.post(
            shared_placement.PlaceRequested(
                handler.key,
                self._key,
                handler.next_place(),
                job.service.name,
                self._stage,
                self._tokens,
                job.priority,
                job.request.organisation,
                wait_s,
                _join(handler.tried, self._unusable),
                self._refused,
                self._is_full,
            )
        )
        self._refused, self._is_full = "", False


def _is_queued(
    answer: shared_placement.Answer | outcomes.Refused | None,
) -> bool:
    return (
        isinstance(answer, shared_placement.Answer)
        and answer.replicas is None
        and answer.after_s is None
    )


def _join(*ids: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted({each for some in ids for each in some}))
