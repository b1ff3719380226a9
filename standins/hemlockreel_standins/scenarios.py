"""Scenarios for a simulated shard: faults, bursts, daily load, role changes.

A function that returns a ``Prepare``, or is one, schedules its events before
the simulation runs.
"""

from collections.abc import Callable
import random

from hemlockreel import ledger
from hemlockreel import role_balance

from . import bench
from . import workload

FAULT_S = 60.0  # duration of a fault
BALANCE_PERIOD_S = 5.0
ROLE_CHANGE_S = 1.0
DAY_S = 900.0  # duration of a simulated day
PEAK_POSITIONS = (0.3, 0.5, 0.8)  # time of the peak as a share of the day
Prepare = Callable[[bench.Simulation], None]


def _first_address(simulation: bench.Simulation, role: str) -> str:
    """Returns the address of the first engine of ``role``."""
    for address, engine in simulation.engines.items():
        if engine.role == role:
            return address
    raise LookupError(role)


def engine_dies(role: str, at: float) -> Prepare:
    """Stops an engine at ``at`` and restarts it after ``FAULT_S``."""

    def prepare(simulation: bench.Simulation) -> None:
        address = _first_address(simulation, role)
        simulation.schedule(at, simulation.kill, address)
        simulation.schedule(at + FAULT_S, simulation.restart, address)

    return prepare


def engine_slows(role: str, factor: float, at: float) -> Prepare:
    """Slows an engine by ``factor`` for ``FAULT_S``."""

    def prepare(simulation: bench.Simulation) -> None:
        address = _first_address(simulation, role)
        simulation.schedule(at, simulation.set_slow_factor, address, factor)
        simulation.schedule(
            at + FAULT_S, simulation.set_slow_factor, address, 1.0
        )

    return prepare


def links_slow(share: float, at: float) -> Prepare:
    """Limits all links to ``share`` of their rate for ``FAULT_S``."""

    def prepare(simulation: bench.Simulation) -> None:
        simulation.schedule(at, simulation.set_link_share, share)
        simulation.schedule(at + FAULT_S, simulation.set_link_share, 1.0)

    return prepare


def balance_roles(simulation: bench.Simulation) -> None:
    """Changes roles as the shard's load suggests, one at a time.

    A retiring engine takes no new request and changes its role once idle.
    """
    simulation.schedule(BALANCE_PERIOD_S, _propose_role_change, simulation)


def _propose_role_change(simulation: bench.Simulation) -> None:
    simulation.schedule(
        simulation.now + BALANCE_PERIOD_S, _propose_role_change, simulation
    )
    policy = simulation.policy
    if not isinstance(policy, ledger.Ledger):
        return
    proposal = role_balance.propose_role_change(
        policy.shard_load(simulation.now)
    )
    if proposal is not None:
        policy.set_retiring(frozenset({proposal.address}))
        simulation.schedule(
            simulation.now, _change_when_idle, simulation, proposal
        )


def _change_when_idle(
    simulation: bench.Simulation, proposal: role_balance.RoleChange
) -> None:
    if not simulation.is_idle(proposal.address):
        simulation.schedule(
            simulation.now + 0.5, _change_when_idle, simulation, proposal
        )
        return
    simulation.schedule(
        simulation.now + ROLE_CHANGE_S,
        _apply_role_change,
        simulation,
        proposal,
    )


def _apply_role_change(
    simulation: bench.Simulation, proposal: role_balance.RoleChange
) -> None:
    simulation.set_role(proposal.address, proposal.role)
    simulation.tally.counts["role changes"] += 1
    simulation.policy.set_retiring(frozenset())


def burst(
    profile: workload.Profile,
    load: float,
    start: float,
    end: float,
    seed: int,
    **fixed: str,
) -> list[workload.Call]:
    """Returns calls that arrive in addition to the steady load.

    ``load`` is a multiple of the profile's capacity; ``fixed`` sets the
    ``organisation`` or ``klass`` of all these calls.
    """
    source = workload.Source(profile, seed + 1000)
    rng = random.Random(seed + 1000)
    rate = load * workload.capacity(profile)
    return [
        _mark_extra(source.draw(at, **fixed))
        for at in workload.arrivals(rate, start, end, rng)
    ]


def _mark_extra(call: workload.Call) -> workload.Call:
    return call._replace(request_id=f"extra-{call.request_id}")


def draw_day(
    profile: workload.Profile,
    rate: float,
    end: float,
    position: float,
    seed: int,
) -> list[workload.Call]:
    """Returns the calls of a day that peaks with ``rate`` at ``position``.

    ``rate`` is in calls per second, ``position`` a share of the day.
    """
    source = workload.Source(profile, seed)
    rng = random.Random(seed)
    calls = []
    for at in workload.arrivals(rate, 0.0, end, rng):
        if rng.random() < workload.load_share(at, end, position):
            calls.append(source.draw(at))
    return calls
