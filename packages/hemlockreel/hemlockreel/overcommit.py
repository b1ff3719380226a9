"""How much decode memory may be granted before it is free.

Memory that is reserved at the start of a prefill is idle until the prefill is
done. Part of the releases that are expected by then may be granted in advance
instead. If the memory is not released in time, the prefill is wasted, so the
adaptive share is limited by a budget of tokens: used prefills add to it and
wasted ones are deducted.
"""

from typing import Literal

from . import running_stats

MAX_ADAPTIVE_SHARE = 0.5
IDLE_TARGET = 0.02  # idle share of memory up to which nothing is overcommitted
IDLE_GAIN = 10.0  # overcommitted share per idle share above the target
WASTE_BUDGET = 0.005  # share of the prefilled tokens that may be wasted
MAX_CREDIT_TOKENS = 20_000.0


class Overcommit:
    """The share of the expected releases that is granted in advance.

    ``setting`` is a fixed share, or ``"adaptive"``.
    """

    def __init__(self, setting: float | Literal["adaptive"]):
        self.setting = setting
        self._idle = running_stats.MovingAverage(0.0)
        self._credit_tokens = 0.0

    @property
    def mean_idle_share(self) -> float:
        """The mean share of its time that granted memory is idle."""
        return self._idle.value

    def share(self, pressure: float, prompt_tokens: int) -> float:
        """Returns the share to grant in advance, 0 to 1.

        ``pressure`` is the queue's wait over the first-token target. The
        adaptive share falls to 0 as it rises to 1, and is 0 if the budget does
        not cover the prompt.
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
        """Records a request that got its memory in time.

        It held the memory for ``held_s``, of which ``idle_s`` until the first
        token.
        """
        earned = self._credit_tokens + WASTE_BUDGET * prompt_tokens
        self._credit_tokens = min(MAX_CREDIT_TOKENS, earned)
        if held_s > 0:
            self._idle.add(idle_s / held_s)

    def record_wasted(self, prompt_tokens: int) -> None:
        """Records a prefill whose result was not used."""
        self._credit_tokens -= prompt_tokens
