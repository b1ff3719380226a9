"""Running averages, rates and peaks of a stream of samples."""

import math


class MovingAverage:
    """An exponentially weighted mean of samples.

    ``gain`` is the weight of a new sample. The first samples are averaged
    with equal weights, so that the initial value fades quickly.
    """

    def __init__(self, value: float, gain: float = 0.05):
        self.value = value
        self.gain = gain
        self._count = 1

    def add(self, sample: float, weight: float = 1.0) -> None:
        """Adds a sample; ``weight`` multiplies its influence."""
        self._count += 1
        gain = max(self.gain, 1 / self._count)
        self.value += min(1.0, gain * weight) * (sample - self.value)


class DecayingRate:
    """An exponentially decaying mean of amounts per second."""

    def __init__(self, time_constant_s: float):
        self.time_constant_s = time_constant_s
        self._sum = 0.0
        self._at = 0.0
        self._since: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at ``now``."""
        if self._since is None:
            self._since = now
        self._decay(now)
        self._sum += amount

    def get(self, now: float) -> float:
        """Returns the amount per second.

        Shortly after the first amount, the sum is divided by the weight of
        the time since then, so that the first rates are not too low.
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
        """Records a value that holds from ``now`` on."""
        self._advance_window(value, now)
        self._current = max(self._current, value)

    def get(self, value: float, now: float) -> float:
        """Returns the peak; ``value`` is the present value."""
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
