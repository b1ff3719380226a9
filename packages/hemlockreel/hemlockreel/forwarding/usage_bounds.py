"""How the room above a usage cap is divided between what may exceed it.

The platform allows the sum over all hosts to exceed a cap somewhat. That room
covers what hosts hold at once, lenders that begin anew, and hosts that reach
no lender. The shares add up to less than the whole, so the bound holds even
if all of this happens within one window. Amounts are in the unit of the cap.
"""

from typing import NamedTuple

from . import organisations

LENDERS = 3  # one that is silent leaves more than organisations usually use
# A lender's part of the burst must hold a large request, which no lender else
# could ever lend: a long prompt with the longest answer.
LARGE_COST = {
    organisations.Unit.REQUESTS: 1.0,
    organisations.Unit.TOKENS: 24_576.0,
}

# Shares of the room above the cap. A tenth is left for requests that are sent
# some time after they were allowed.
EXTRA_BURST_SHARE = 0.1
LEASE_SHARE = 0.2
SPARE_SHARE = 0.2
ALONE_BURST_SHARE = 0.15
ALONE_RATE_SHARE = 0.1  # in each window
START_SHARE = 0.1
OWED_SHARE = 0.05
MAX_LEASE_S = 1.5


class UsageLimits(NamedTuple):
    """How far usage may exceed the caps, from the platform's settings.

    In any ``window_s`` an organisation may use its cap times ``1 + overage``
    plus ``slack``, which is in the unit of its cap.
    """

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0


def allowed(limits: UsageLimits, cap: organisations.UsageCap) -> float:
    """Returns the most that all hosts together may send in one window."""
    granted = cap.rate * limits.window_s + cap.burst
    return granted * (1 + limits.overage) + limits.slack


def room(limits: UsageLimits, cap: organisations.UsageCap) -> float:
    """Returns how far one window may exceed the cap.

    >>> room(UsageLimits(8.0, 0.1, 100.0), organisations.UsageCap(10.0, 20.0))
    110.0
    """
    granted = cap.rate * limits.window_s + cap.burst
    return granted * limits.overage + limits.slack


def lenders(limits: UsageLimits, cap: organisations.UsageCap) -> int:
    """Returns between how many hosts the cap is divided, if there are more.

    Each can lend a large request, if all together can.

    >>> limits, tokens = UsageLimits(slack=120e3), organisations.Unit.TOKENS
    >>> [
    ...     lenders(limits, organisations.UsageCap(rate, rate, tokens))
    ...     for rate in (5e3, 29e3, 112e3)
    ... ]
    [1, 2, 3]
    """
    most = depth(limits, cap) + owed(limits, cap)
    return min(LENDERS, max(1, int(most / LARGE_COST[cap.unit])))


def depth(limits: UsageLimits, cap: organisations.UsageCap) -> float:
    """Returns the most that all lenders together can have in hand."""
    return cap.burst + EXTRA_BURST_SHARE * room(limits, cap)


def owed(limits: UsageLimits, cap: organisations.UsageCap) -> float:
    """Returns the most that all lenders together can have lent too much.

    A full one lends a request above its part of the depth.
    """
    return OWED_SHARE * room(limits, cap)


def start(limits: UsageLimits, cap: organisations.UsageCap) -> float:
    """Returns what the lenders have in hand when all begin anew.

    Their predecessors may just have lent all that they had.
    """
    return START_SHARE * room(limits, cap)


def lease_s(limits: UsageLimits, cap: organisations.UsageCap) -> float:
    """Returns how long a host may hold what it was lent, in seconds."""
    return min(MAX_LEASE_S, LEASE_SHARE * room(limits, cap) / cap.rate)


def spare(
    limits: UsageLimits, cap: organisations.UsageCap, hosts: int
) -> float:
    """Returns what each of ``hosts`` may keep in hand without a lease.

    It is 0 if that isn't enough for even a small request.
    """
    share = SPARE_SHARE * room(limits, cap) / max(1, hosts)
    return share if share >= cap.cost(None) else 0.0


def alone(
    limits: UsageLimits, cap: organisations.UsageCap, hosts: int
) -> tuple[float, float]:
    """Returns the depth and rate of a host that reaches no lender."""
    share = room(limits, cap) / max(1, hosts)
    most = ALONE_RATE_SHARE * share / limits.window_s
    return ALONE_BURST_SHARE * share, min(cap.rate / max(1, hosts), most)
