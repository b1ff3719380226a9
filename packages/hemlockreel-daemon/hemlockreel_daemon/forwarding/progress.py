"""What a request to a model has been through, over all of its runs."""

from hemlockreel.forwarding import instances

from . import interfaces


class Progress:
    """The record of one request.

    ``last_id`` is the id of the last event that the caller got, ``events``
    their number, ``first_at`` the time of the first one. ``reached`` lists
    the decode replicas that the request came to, in order, ``arrivals``
    counts those at replicas of both stages: each one beyond the first needs
    the budget of repeats. ``resends`` counts the runs that a replica refused.
    ``prompt_read`` tells whether a prefill replica has read the prompt once,
    ``read_here`` that the decode replica reads it from now on.

    ``prefilled`` is a result of ``reader`` at ``prefilled_at`` that no decode
    replica has taken yet.
    """

    def __init__(self, last_id: str):
        self.last_event_id = last_id
        self.events = 0
        self.first_event_at: float | None = None
        self.reached_ids: tuple[str, ...] = ()
        self.deliveries = 0
        self.refused_runs = 0
        self.was_prefilled = False
        self.decode_prefills = False
        self.prefill_result: interfaces.PrefillResult | None = None
        self.prefill_result_at = 0.0
        self.prefill_instance: instances.Instance | None = None
