"""What happens to a shard during a run: faults, floods and role changes."""

from collections.abc import Callable
import random

from hemlockreel import ledger
from hemlockreel import role_balance

from . import bench
from . import workload

FAULT_S = 60.0  # length of a fault
BALANCE_PERIOD_S = 5.0
ROLE_CHANGE_S = 1.0
DAY_S = 900.0  # a day is played this much shorter
PEAKS = (0.3, 0.5, 0.8)  # where in the day the peak lies
Prepare = Callable[[bench.Bench], None]


def _address(made: bench.Bench, role: str) -> str:
    """Returns the first engine of ``role``."""
    for address, engine in made.engines.items():
        if engine.role == role:
            return address
    raise LookupError(role)


def engine_dies(role: str, at: float) -> Prepare:
    """Ends an engine, and starts it anew after a while."""

    def prepare(made: bench.Bench) -> None:
        address = _address(made, role)
        made.at(at, made.kill, address)
        made.at(at + FAULT_S, made.revive, address)

    return prepare


def engine_slows(role: str, factor: float, at: float) -> Prepare:
    """Makes an engine slow for a while."""

    def prepare(made: bench.Bench) -> None:
        address = _address(made, role)
        made.at(at, made.slow, address, factor)
        made.at(at + FAULT_S, made.slow, address, 1.0)

    return prepare


def links_slow(share: float, at: float) -> Prepare:
    """Gives the links a share of their rate for a while."""

    def prepare(made: bench.Bench) -> None:
        made.at(at, made.limit_links, share)
        made.at(at + FAULT_S, made.limit_links, 1.0)

    return prepare


def balanced(made: bench.Bench) -> None:
    """Changes roles as the ledger's load proposes, one at a time."""
    made.at(BALANCE_PERIOD_S, _balance, made)


def _balance(made: bench.Bench) -> None:
    made.at(made.now + BALANCE_PERIOD_S, _balance, made)
    policy = made.policy
    if not isinstance(policy, ledger.Ledger):
        return
    proposal = role_balance.propose_role_change(policy.shard_load(made.now))
    if proposal is not None:
        policy.set_retiring(frozenset({proposal.address}))
        made.at(made.now, _change_when_idle, made, proposal)


def _change_when_idle(
    made: bench.Bench, proposal: role_balance.RoleChange
) -> None:
    if not made.idle(proposal.address):
        made.at(made.now + 0.5, _change_when_idle, made, proposal)
        return
    made.at(made.now + ROLE_CHANGE_S, _change, made, proposal)


def _change(made: bench.Bench, proposal: role_balance.RoleChange) -> None:
    made.set_role(proposal.address, proposal.role)
    made.tally.counts["role changes"] += 1
    made.policy.set_retiring(frozenset())


def burst(
    profile: workload.Profile,
    load: float,
    start: float,
    end: float,
    seed: int,
    **drawn: str,
) -> list[workload.Call]:
    """Returns calls that come in addition to the steady load.

    ``drawn`` fixes their ``organisation`` or ``klass``.
    """
    source = workload.Source(profile, seed + 1000)
    rng = random.Random(seed + 1000)
    rate = load * workload.capacity(profile)
    return [
        _renamed(source.draw(at, **drawn))
        for at in workload.arrivals(rate, start, end, rng)
    ]


def _renamed(call: workload.Call) -> workload.Call:
    return call._replace(request_id=f"extra-{call.request_id}")


def evening(
    profile: workload.Profile,
    rate: float,
    end: float,
    position: float,
    seed: int,
) -> list[workload.Call]:
    """Returns the calls of a day whose peak has ``rate`` at ``position``."""
    source = workload.Source(profile, seed)
    rng = random.Random(seed)
    calls = []
    for at in workload.arrivals(rate, 0.0, end, rng):
        if rng.random() < workload.evening(at, end, position):
            calls.append(source.draw(at))
    return calls
