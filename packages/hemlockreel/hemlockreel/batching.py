"""Learns how many sequences a decode engine can run within its token target.

The time between tokens grows about linearly with the batch size. The two
coefficients are fitted to the finished requests by weighted least squares.
"""

SAMPLE_DECAY = 0.9  # factor on the weight of older samples per new one
PRIOR_SAMPLE_WEIGHT = 0.3
TARGET_SHARE = 0.95  # share of the target that the mean interval may take
MIN_SLOPE_S = 1e-5


class BatchModel:
    """Models the time between tokens of one engine by its batch size.

    ``target_s`` is the pool's target between tokens and ``limit`` its largest
    batch. Two prior samples, 30 % of the target for one sequence and 90 % for
    a full batch, let a new engine start with the full batch. They keep a
    weight in the fit, so that it stays determined when all batches are equal.
    """

    def __init__(self, target_s: float, limit: int):
        self.target_s = target_s
        self.limit = limit
        self._sums = [0.0, 0.0, 0.0, 0.0, 0.0]
        for batch_size in (1.0, float(limit)):
            share = 0.3 + 0.6 * (batch_size - 1) / max(limit - 1, 1)
            self._add_sample(batch_size, share * target_s, PRIOR_SAMPLE_WEIGHT)
        self._prior_sums = list(self._sums)

    def add(self, batch_size: float, token_interval_s: float) -> None:
        """Adds a request's mean batch size and mean time between tokens."""
        self._sums = [
            SAMPLE_DECAY * old + (1 - SAMPLE_DECAY) * prior
            for old, prior in zip(self._sums, self._prior_sums, strict=True)
        ]
        self._add_sample(batch_size, token_interval_s, 1.0)

    def max_batch_size(self) -> int:
        """Returns the largest batch within the target, 0 if there is none."""
        base_s, slope_s = self._fit()
        fits = (TARGET_SHARE * self.target_s - base_s) / slope_s
        return max(0, min(self.limit, int(fits)))

    def token_interval_s(self, batch_size: float) -> float:
        """Returns the expected time between tokens at ``batch_size``."""
        base_s, slope_s = self._fit()
        return base_s + slope_s * batch_size

    def _add_sample(
        self, batch_size: float, token_interval_s: float, weight: float
    ) -> None:
        terms = (
            1.0,
            batch_size,
            token_interval_s,
            batch_size * batch_size,
            batch_size * token_interval_s,
        )
        self._sums = [
            old + weight * term
            for old, term in zip(self._sums, terms, strict=True)
        ]

    def _fit(self) -> tuple[float, float]:
        """Returns the fitted time without sequences and time per sequence."""
        count, batches, intervals, squares, products = self._sums
        spread = count * squares - batches * batches
        slope_s = (count * products - batches * intervals) / max(spread, 1e-9)
        slope_s = max(slope_s, MIN_SLOPE_S)
        return (intervals - slope_s * batches) / count, slope_s
