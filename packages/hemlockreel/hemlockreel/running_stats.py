"""Running averages and peaks that the policy predicts with."""

import math


class MovingAverage:
    """An exponentially weighted mean of samples.

    ``gain`` is the weight of a new sample. Until enough samples are known the
    plain mean is used, so that the first guess fades quickly.
    """

    def __init__(self, value: float, gain: float = 0.05):
        self.value = value
        self.gain = gain
        self._count = 1

    def add(self, sample: float, weight: float = 1.0) -> None:
        """Takes in a sample; ``weight`` multiplies its influence."""
        self._count += 1
        gain = max(self.gain, 1 / self._count)
        self.value += min(1.0, gain * weight) * (sample - self.value)


class DecayingRate:
    """The mean of amounts per second, with a time constant in seconds."""

    def __init__(self, time_constant_s: float):
        self.time_constant_s = time_constant_s
        self._sum = 0.0
        self._at = 0.0
        self._since: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Takes in an amount at ``now``."""
        if self._since is None:
            self._since = now
        self._decay(now)
        self._sum += amount

    def get(self, now: float) -> float:
        """Returns the amount per second.

        A generator that is younger than its time constant divides by its age
        in the same weighting, so that the first seconds are not too low.
        """
        if self._since is None:
            return 0.0
        self._decay(now)
        age = max(now - self._since, 1.0)
        seen = self.time_constant_s * (
            1 - math.exp(-age / self.time_constant_s)
        )
        return self._sum / seen

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._sum *= math.exp(-elapsed / self.time_constant_s)
        self._at = max(self._at, now)


class WindowedPeak:
    """The largest value over the last one to two windows of ``window_s``."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._starts_at = -math.inf
        self._previous = 0.0
        self._current = 0.0

    def record(self, value: float, now: float) -> None:
        """Takes in a value that holds from ``now``."""
        self._advance_window(value, now)
        self._current = max(self._current, value)

    def get(self, value: float, now: float) -> float:
        """Returns the peak; ``value`` is the one that holds now."""
        self._advance_window(value, now)
        return max(self._previous, self._current, value)

    def _advance_window(self, value: float, now: float) -> None:
        elapsed = now - self._starts_at
        if elapsed < self.window_s:
            return
        recent = elapsed < 2 * self.window_s
        self._previous = self._current if recent else value
        self._current = value
        self._starts_at = now
