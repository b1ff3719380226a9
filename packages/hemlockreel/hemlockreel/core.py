"""The core's one entry point: an event in, a list of actions out.

There is no socket, thread, clock or global random generator below this
module. The daemon calls :func:`step` from its one loop thread.
"""

from collections.abc import Sequence
from typing import Any

from . import actions
from . import board as boards
from . import claims
from . import configuration
from . import configuration_reader
from . import configuration_status
from . import drain
from . import entry
from . import feeds
from . import hosts
from . import leader
from . import loads
from . import membership
from . import owner
from . import probes
from . import region
from . import registration
from . import renewal
from . import shard_reports
from . import takeover

# Membership goes first, so that the others see the table after this event.
CONTROLLERS = (
    membership,
    probes,
    feeds,
    hosts,
    configuration_reader,
    configuration,
    configuration_status,
    renewal,
    takeover,
    owner,
    loads,
    shard_reports,
    leader,
    region,
    registration,
    entry,
    claims,
    drain,
)


def step(
    board: boards.Board, event: Any, now: float
) -> Sequence[actions.Action]:
    """Lets each controller handle ``event`` at ``now`` (seconds, monotonic).

    An event that no controller knows yields no actions.
    """
    done: list[actions.Action] = []
    for controller in CONTROLLERS:
        done.extend(controller.handle(event, board, now))
    return done
