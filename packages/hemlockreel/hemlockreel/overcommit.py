"""How much decode memory may be granted before it is free.

A prefill takes a while, and memory that waits for it is idle. The expected
releases during that while may be granted ahead, in part. Grants ahead that
find no memory in time waste their prefill, so the share follows what happens.
"""

from typing import Literal

from . import prediction

MAX_SHARE = 0.9
STEP = 0.02  # rise of the share with each request that found its memory
BACKOFF = 0.5  # factor on the share with each prefill that was wasted
IDLE_GOAL = 0.02  # idle share of memory below which nothing is to be gained


class Overcommit:
    """The share of the expected releases that is granted ahead."""

    def __init__(self, setting: float | Literal["adaptive"]):
        self.setting = setting
        self._idle = prediction.Average(0.0)
        self._learned = 0.0

    @property
    def idle(self) -> float:
        """The mean share of its time that granted memory waits idle."""
        return self._idle.value

    def share(self, pressure: float) -> float:
        """Returns the share to grant ahead, 0 to 1.

        ``pressure`` is 0 without a queue and 1 when the queue is as long as
        the first-token target allows.
        """
        if self.setting != "adaptive":
            return self.setting
        return self._learned * (1.0 - min(1.0, pressure))

    def served(self, idle_s: float, held_s: float) -> None:
        """Notes a request that found its memory in time."""
        if held_s <= 0:
            return
        self._idle.add(idle_s / held_s)
        gain = min(1.0, max(0.0, self.idle - IDLE_GOAL) * 5)
        limit = MAX_SHARE * gain
        self._learned = min(limit, self._learned + STEP)

    def wasted(self) -> None:
        """Notes a prefill whose result was never used."""
        self._learned *= BACKOFF
