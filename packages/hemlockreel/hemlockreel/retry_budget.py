"""The retry budget of an entry.

Retries are a share of the first tries, so that a fault that fails many
requests at once does not multiply the load on what is left. A small reserve
lets a quiet entry retry too.
"""

RETRIES_PER_FIRST_TRY = 0.1  # retries per first try
MAX_SAVED_RETRIES = 10.0  # retries that may be saved up


class RetryBudget:
    """Counts first tries against retries.

    >>> budget = RetryBudget()
    >>> [budget.try_spend() for _ in range(11)].count(True)
    10
    """

    def __init__(self):
        self._left = MAX_SAVED_RETRIES

    def record_first_try(self) -> None:
        """Notes a first try."""
        self._left = min(self._left + RETRIES_PER_FIRST_TRY, MAX_SAVED_RETRIES)

    def try_spend(self) -> bool:
        """Uses up one retry; false when none is left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
