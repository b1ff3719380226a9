"""The progress of a request to a model over all of its runs."""

from hemlockreel.forwarding import instances

from . import interfaces


class Progress:
    """The progress of one request.

    ``events`` counts the events that were sent to the caller,
    ``last_event_id`` is the id of the last and ``first_event_at`` the time of
    the first one. ``reached_ids`` lists the decode replicas that received the
    request, in order. ``longest_pause_s`` is the longest
    time between two events so far. ``deliveries`` counts the attempts that
    reached replicas of both stages; each one after the first takes a retry
    from the budget. ``refused_runs`` counts the runs that a replica refused.
    ``was_prefilled`` is set once a prefill replica has processed the prompt,
    ``may_have_prefilled`` if one may have without an answer, and
    ``decode_prefills`` if the decode replica does the prefill from now on.

    ``media_type`` is that of the response that the caller gets, ``None`` until
    it has begun.

    ``prefill_result`` is a result of ``prefill_instance``, received at
    ``prefill_result_at``, that no decode replica has fetched yet.
    """

    def __init__(self, last_id: str):
        self._first_id = last_id or "0"
        self.last_event_id = last_id
        self.events = 0
        self.media_type: str | None = None
        self.first_event_at: float | None = None
        self.longest_pause_s = 0.0
        self._last_event_at = 0.0
        self._run_first_event_at: float | None = None
        self.reached_ids: tuple[str, ...] = ()
        self.deliveries = 0
        self.refused_runs = 0
        self.was_prefilled = False
        self.may_have_prefilled = False
        self.decode_prefills = False
        self.prefill_result: interfaces.PrefillResult | None = None
        self.prefill_result_at = 0.0
        self.prefill_instance: instances.Instance | None = None

    @property
    def counts_events(self) -> bool:
        """Whether the ids of the events sent so far number them."""
        first, last = self._first_id, self.last_event_id
        return (
            self.events > 0
            and first.isdecimal()
            and last.isdecimal()
            and int(last) - int(first) == self.events
        )

    def begin_run(self) -> None:
        """Notes that the request is about to be sent to a replica."""
        self._run_first_event_at = None

    def written_s(self, now: float) -> float:
        """Returns the time since the first event of the last run."""
        first_at = self._run_first_event_at
        return 0.0 if first_at is None else now - first_at

    def note_event(self, now: float) -> bool:
        """Notes the time of an event; returns whether it is the first."""
        if self._run_first_event_at is None:
            self._run_first_event_at = now
        if self.first_event_at is None:
            self.first_event_at = self._last_event_at = now
            return True
        pause_s = now - self._last_event_at
        self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_at = now
        return False
