"""The retry budget of an entry.

Retries are limited to a share of the first tries, so that a fault that fails
many requests at once does not multiply the load on the remaining replicas. A
small reserve lets an entry with little traffic retry too.
"""

RETRIES_PER_FIRST_TRY = 0.1
MAX_SAVED_RETRIES = 10.0  # also the initial reserve


class RetryBudget:
    """Counts first tries against retries.

    >>> budget = RetryBudget()
    >>> [budget.try_spend() for _ in range(11)].count(True)
    10
    """

    def __init__(self):
        self._left = MAX_SAVED_RETRIES

    def record_first_try(self) -> None:
        """Adds the share of a first try to the budget."""
        self._left = min(self._left + RETRIES_PER_FIRST_TRY, MAX_SAVED_RETRIES)

    def try_spend(self) -> bool:
        """Uses one retry; returns whether there was one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
