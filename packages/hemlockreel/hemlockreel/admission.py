"""Admission at an entry, before a request is sent to any owner.

An entry refuses requests over their organisation's quota and retries over
the retry budget.
"""

import collections

from . import board as boards
from . import configuration
from . import declared_objects
from . import messages
from . import outcomes
from . import retry_budget

RETRY_AFTER_S = 1.0


class State:
    """The requests in flight by organisation, and the retry budget."""

    def __init__(self):
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.budget = retry_budget.RetryBudget()


def quota(board: boards.Board, organisation: str) -> declared_objects.Quota:
    """Returns the share and the limits of ``organisation``."""
    active = configuration.current(board)
    if active is None:
        return declared_objects.Quota()
    return active.quotas.get(organisation, declared_objects.Quota())


def max_wait_s(priority_class: str, pool: declared_objects.ModelPool) -> float:
    """Returns the longest wait of a request of a class, in seconds.

    An empty ``priority_class`` means the default class of the pool.
    """
    if (priority_class or pool.default_class) == "deferrable":
        return pool.deferrable_wait_s
    return pool.first_token_ms / 1000


def refusal(
    board: boards.Board, request: messages.AdmissionRequest
) -> outcomes.Refused | None:
    """Returns the refusal of a request, ``None`` if it is admitted.

    A first try adds to the retry budget and a retry uses it.
    """
    state = board.state(State)
    limit = quota(board, request.organisation).max_in_flight
    if state.in_flight[request.organisation] >= limit:
        return outcomes.not_run(outcomes.Reason.QUOTA, RETRY_AFTER_S)
    if request.attempt == 1:
        state.budget.record_first_try()
    elif not state.budget.try_spend():
        return outcomes.not_run(outcomes.Reason.OVERLOADED, RETRY_AFTER_S)
    return None


def count_request(board: boards.Board, organisation: str) -> None:
    """Counts a request of ``organisation``."""
    board.state(State).in_flight[organisation] += 1


def uncount_request(board: boards.Board, organisation: str) -> None:
    """Removes a counted request that has finished."""
    in_flight = board.state(State).in_flight
    in_flight[organisation] -= 1
    if not in_flight[organisation]:
        del in_flight[organisation]
