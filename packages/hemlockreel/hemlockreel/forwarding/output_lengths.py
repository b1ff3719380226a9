"""Predicts the number of output tokens of a response, to reserve memory.

Most responses are far shorter than their limit, and memory reserved for the
full limit would stay unused. The model is log-normal: the output is
distributed around a typical share of the limit, and the caller's estimate
around the output. Both distributions are learned per service from complete
responses, starting from a prior that weighs as much as a few responses.
"""

import math
from typing import NamedTuple

PRIOR_SHARE = 0.5  # of the output limit; the median before any response
PRIOR_DEVIATION = 0.5  # standard deviation of the natural logarithm
PRIOR_WEIGHT = 8.0  # in responses
DECAY = 0.98  # of the weight of older responses, at each new one
# A reservation covers the median plus this many standard deviations. More is
# not needed, as the sum over a replica's requests varies less than each one.
MARGIN_DEVIATIONS = 1.2


class WeightedSums(NamedTuple):
    """Weighted sums over the logarithms of observed ratios."""

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0


class State:
    """The learned distributions, by service.

    ``output_shares`` are sums over log(output / limit), ``estimate_errors``
    over log(estimate / output).
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
    """Learns from a complete response of ``output`` tokens.

    ``estimated_output`` is the caller's estimate, or ``max_output`` if it
    gave none.
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
    """Returns the number of output tokens to reserve memory for.

    The typical share of the limit and the caller's estimate are weighted by
    their inverse variances.

    >>> tokens_to_reserve(State(), "s", 1000, 1000) < 1000
    True
    >>> low = tokens_to_reserve(State(), "s", 1000, 100)
    >>> low < tokens_to_reserve(State(), "s", 1000, 900)
    True
    """
    if max_output <= 0:
        return 0
    mean, deviation = _mean_and_deviation(
        state.output_shares.get(service, WeightedSums()), math.log(PRIOR_SHARE)
    )
    weight = 1 / deviation**2
    value = weight * (mean + math.log(max_output))
    if 0 < estimated_output != max_output:
        bias, error_deviation = _mean_and_deviation(
            state.estimate_errors.get(service, WeightedSums()), 0.0
        )
        weight += 1 / error_deviation**2
        value += (math.log(estimated_output) - bias) / error_deviation**2
    log_output = value / weight + MARGIN_DEVIATIONS / math.sqrt(weight)
    return min(max_output, math.ceil(math.exp(log_output)))


def _add(
    sums_by_service: dict[str, WeightedSums], service: str, value: float
) -> None:
    known = sums_by_service.get(service, WeightedSums())
    sums_by_service[service] = WeightedSums(
        DECAY * known.weight + 1,
        DECAY * known.total + value,
        DECAY * known.squares + value * value,
    )


def _mean_and_deviation(
    known: WeightedSums, prior: float
) -> tuple[float, float]:
    """Returns the mean and standard deviation, including the prior.

    A variance below 0.01 is raised to it.
    """
    weight = known.weight + PRIOR_WEIGHT
    mean = (known.total + PRIOR_WEIGHT * prior) / weight
    prior_squares = prior * prior + PRIOR_DEVIATION**2
    squares = (known.squares + PRIOR_WEIGHT * prior_squares) / weight
    return mean, math.sqrt(max(squares - mean * mean, 0.01))
