"""How many tokens an answer will have, as far as it can be known before.

The max_output that an answer may have says little about how long it will be, and
memory reserved for it lies idle. Lengths are taken to spread evenly on a
logarithmic scale around a typical share of the max_output, and the caller's
estimate around the length. Both spreads are learned from answers that ended;
until then a prior stands in, with the weight of some answers.
"""

import math
from typing import NamedTuple

PRIOR_SHARE = 0.5  # of the max_output output, the median without any knowledge
PRIOR_DEVIATION = 0.5  # of the natural logarithm
PRIOR_WEIGHT = 8.0  # in answers
DECAY = 0.98  # weight of older answers when a new one ends
# How far above the median a reservation reaches, in standard deviations. The
# sum over a replica's requests varies less than each of them.
MARGIN_DEVIATIONS = 1.2


class WeightedSums(NamedTuple):
    """Weighted sums over values of a logarithm."""

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0


class State:
    """What was learned, by service.

    ``shares`` are of the output in the max_output, ``errors`` of the estimate in
    the output.
    """

    def __init__(self):
        self.output_shares: dict[str, WeightedSums] = {}
        self.estimate_errors: dict[str, WeightedSums] = {}


def record_output(
    state: State,
    service: str,
    max_output: int,
    estimated_output: int,
    output: int,
) -> None:
    """Takes in a whole answer of ``output`` tokens.

    ``estimated_output`` is the caller's estimate, equal to ``max_output`` if it gave none.
    """
    if output <= 0 or max_output <= 0:
        return
    _add(state.output_shares, service, math.log(output / max_output))
    if 0 < estimated_output != max_output:
        _add(
            state.estimate_errors, service, math.log(estimated_output / output)
        )


def tokens_to_reserve(
    state: State, service: str, max_output: int, estimated_output: int
) -> int:
    """Returns how many tokens of output to reserve memory for.

    >>> reserve(State(), "s", 1000, 1000) < 1000
    True
    >>> reserve(State(), "s", 1000, 100) < reserve(State(), "s", 1000, 900)
    True
    """
    if max_output <= 0:
        return 0
    middle, spread = _mean_and_deviation(
        state.output_shares.get(service, WeightedSums()), math.log(PRIOR_SHARE)
    )
    weight = 1 / spread**2
    value = weight * (middle + math.log(max_output))
    if 0 < estimated_output != max_output:
        bias, error = _mean_and_deviation(
            state.estimate_errors.get(service, WeightedSums()), 0.0
        )
        weight += 1 / error**2
        value += (math.log(estimated_output) - bias) / error**2
    reached = value / weight + MARGIN_DEVIATIONS / math.sqrt(weight)
    return min(max_output, math.ceil(math.exp(reached)))


def _add(spreads: dict[str, WeightedSums], service: str, value: float) -> None:
    known = spreads.get(service, WeightedSums())
    spreads[service] = WeightedSums(
        DECAY * known.weight + 1,
        DECAY * known.total + value,
        DECAY * known.squares + value * value,
    )


def _mean_and_deviation(
    known: WeightedSums, prior: float
) -> tuple[float, float]:
    """Returns mean and standard deviation, the prior included."""
    weight = known.weight + PRIOR_WEIGHT
    mean = (known.total + PRIOR_WEIGHT * prior) / weight
    about_prior = prior * prior + PRIOR_DEVIATION**2
    squares = (known.squares + PRIOR_WEIGHT * about_prior) / weight
    return mean, math.sqrt(max(squares - mean * mean, 0.01))
