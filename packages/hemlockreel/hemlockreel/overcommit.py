"""How much decode memory may be granted before it is free.

A prefill takes a while, and memory that waits for it is idle. The expected
releases during that while may be granted ahead, in part. A grant ahead that
finds no memory in time wastes its prefill, so the adaptive share is bounded
by a budget: prefills that were used earn it, and wasted ones spend it.
"""

from typing import Literal

from . import running_stats

MAX_ADAPTIVE_SHARE = 0.5
IDLE_TARGET = 0.02  # idle share of memory below which nothing is to be gained
IDLE_GAIN = 10.0  # rise of the share with the idle share above the goal
WASTE_BUDGET = 0.005  # share of the prefilled tokens that may be wasted
MAX_CREDIT_TOKENS = 20_000.0


class Overcommit:
    """The share of the expected releases that is granted ahead."""

    def __init__(self, setting: float | Literal["adaptive"]):
        self.setting = setting
        self._idle = running_stats.MovingAverage(0.0)
        self._credit_tokens = 0.0

    @property
    def mean_idle_share(self) -> float:
        """The mean share of its time that granted memory waits idle."""
        return self._idle.value

    def share(self, pressure: float, prompt_tokens: int) -> float:
        """Returns the share to grant ahead, 0 to 1.

        ``pressure`` is 0 without a queue and 1 when the queue is as long as
        the first-token target allows. The budget must cover the prompt.
        """
        if self.setting != "adaptive":
            return self.setting
        if self._credit_tokens < prompt_tokens:
            return 0.0
        gain = IDLE_GAIN * (self.mean_idle_share - IDLE_TARGET)
        share = min(MAX_ADAPTIVE_SHARE, max(0.0, gain))
        return share * (1.0 - min(1.0, pressure))

    def record_used(
        self, prompt_tokens: int, idle_s: float, held_s: float
    ) -> None:
        """Notes a request that found its memory in time."""
        earned = self._credit_tokens + WASTE_BUDGET * prompt_tokens
        self._credit_tokens = min(MAX_CREDIT_TOKENS, earned)
        if held_s > 0:
            self._idle.add(idle_s / held_s)

    def record_wasted(self, prompt_tokens: int) -> None:
        """Notes a prefill whose result was never used."""
        self._credit_tokens -= prompt_tokens
