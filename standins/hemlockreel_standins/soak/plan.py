"""Generates the schedule of faults from a seed.

Faults begin at random intervals and may overlap. The same seed always gives
the same plan.
"""

import enum
import random
from typing import NamedTuple

WARM_UP_S = 3.0  # load without faults before the first one
MEAN_INTERVAL_S = 1.2  # between the starts of two series of faults
MAX_SERIES_LENGTH = 4  # faults of one kind that start one after another
SERIES_GAP_S = 0.7


class Kind(enum.Enum):
    """The kinds of faults and of planned operations.

    Those whose name begins with ``REPLICA`` are applied to a replica.
    """

    HOST_KILLED = "host_killed"
    HOST_FROZEN = "host_frozen"
    HOST_STOPPED = "host_stopped"  # a planned stop, then a restart
    HOST_RELOADED = "host_reloaded"
    STORE_LINK = "store_link"  # between one host and the store
    STORE_DOWN = "store_down"
    STORE_BUSY = "store_busy"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    REPLICA_LINK = "replica_link"
    REPLICA_FAILS = "replica_fails"
    REPLICA_LEAVES = "replica_leaves"  # is replaced, drains and stops
    REPLICA_LOST = "replica_lost"
    ROUTE_MOVED = "route_moved"
    ALL_KILLED = "all_killed"
    STORE_RESTORED = "store_restored"  # from a copy some seconds old
    PART_CRASHES = "part_crashes"  # prompts with a part that crashes engines
    REPLICA_LIMITED = "replica_limited"  # names how many requests it takes
    REQUEST_CRASHES = "request_crashes"  # one request crashes what runs it
    SOFTWARE_RELEASED = "software_released"  # engines get a newer version
    CUT_OFF = "cut_off"  # some hosts lose their links to all replicas


# The relative frequency of each kind. Killing all hosts is rare, since it
# hides the effects of other faults for some seconds.
WEIGHTS = dict.fromkeys(Kind, 1.0) | {
    Kind.ALL_KILLED: 0.3,
    Kind.PART_CRASHES: 0.5,
    Kind.REQUEST_CRASHES: 0.5,
    Kind.HOST_STOPPED: 2.0,
    Kind.ROUTE_MOVED: 2.0,
}
MAX_DURATION_S = {
    Kind.HOST_FROZEN: 4.0,
    Kind.STORE_LINK: 5.0,
    Kind.STORE_DOWN: 5.0,
    Kind.STORE_BUSY: 3.0,
    Kind.REPLICA_LINK: 4.0,
    Kind.REPLICA_FAILS: 4.0,
    Kind.STORE_RESTORED: 5.0,
    Kind.PART_CRASHES: 16.0,
    Kind.REPLICA_LIMITED: 16.0,
    Kind.REQUEST_CRASHES: 16.0,
    Kind.CUT_OFF: 10.0,
}
# What must hold some seconds after these begin needs longer faults.
MIN_DURATION_S = {
    Kind.PART_CRASHES: 12.0,
    Kind.REPLICA_LIMITED: 8.0,
    Kind.REQUEST_CRASHES: 12.0,
    Kind.CUT_OFF: 5.0,
}
LATER_KINDS = (
    Kind.STORE_RESTORED,
    Kind.PART_CRASHES,
    Kind.REPLICA_LIMITED,
    Kind.REQUEST_CRASHES,
    Kind.SOFTWARE_RELEASED,
    Kind.CUT_OFF,
)
CUT_MODES = ("cut", "refused", "new_refused")
LINK_MODES = ("delayed", "reset", "silent", "no_requests", "no_answers")
REPLICA_MODES = (
    "no_bytes",
    "garbage",
    "silent",
    "not_run",
    "own_torn",
    "paused",
    "endless",
    "endless_body",
    "dribble",
)


class Choices(NamedTuple):
    """The kinds of faults and the modes of failing replicas in a plan."""

    kinds: tuple[Kind, ...] = tuple(Kind)
    replica_modes: tuple[str, ...] = REPLICA_MODES


ALL_CHOICES = Choices()
# A plan follows from its seed and these. Seeds that failed before the later
# kinds existed are played with the earlier ones.
EARLIER_CHOICES = Choices(
    tuple(kind for kind in Kind if kind not in LATER_KINDS),
    REPLICA_MODES[:5],
)


class Step(NamedTuple):
    """A fault: ``index`` selects its target, and ``how`` the variant."""

    at_s: float
    kind: Kind
    index: int
    for_s: float = 0.0
    how: str = ""


def make(
    seed: int,
    seconds: float,
    hosts: int,
    replicas: int,
    choices: Choices = ALL_CHOICES,
) -> list[Step]:
    """Returns the faults of a run, sorted by their start.

    After the warm-up, series of faults begin for ``seconds``. Later faults of
    the last series may begin after that.

    >>> make(1, 20.0, 3, 6) == make(1, 20.0, 3, 6)
    True
    """
    rng = random.Random(seed)
    last_s = WARM_UP_S + seconds
    steps = []
    at_s = WARM_UP_S
    while at_s < last_s:
        weights = [WEIGHTS[kind] for kind in choices.kinds]
        kind = rng.choices(choices.kinds, weights)[0]
        for turn in range(
            rng.choice((1, 1, 1, rng.randint(2, MAX_SERIES_LENGTH)))
        ):
            begins_s = at_s + turn * SERIES_GAP_S
            step = _make_step(rng, begins_s, kind, hosts, replicas)
            if step.kind is Kind.REPLICA_FAILS:
                step = step._replace(how=rng.choice(choices.replica_modes))
            steps.append(step)
        at_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    return sorted(steps, key=lambda step: step.at_s)


def _make_step(
    rng: random.Random, at_s: float, kind: Kind, hosts: int, replicas: int
) -> Step:
    of_replica = kind.name.startswith("REPLICA")
    index = rng.randrange(replicas if of_replica else hosts)
    for_s = rng.uniform(
        MIN_DURATION_S.get(kind, 0.3), MAX_DURATION_S.get(kind, 0.3)
    )
    how = ""
    if kind in (Kind.STORE_LINK, Kind.REPLICA_LINK):
        how = rng.choice(LINK_MODES)
    if kind is Kind.CUT_OFF:
        how = rng.choice(CUT_MODES)
    return Step(
        at_s, kind, index, for_s if kind in MAX_DURATION_S else 0.0, how
    )
