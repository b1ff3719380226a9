"""The core's one entry point: an event in, a list of actions out.

There is no socket, thread, clock or global random generator below this
module. The daemon calls :func:`step` from its one loop thread.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
from typing import Any

from . import absence
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
from .forwarding import active_deployment
from .forwarding import graceful_shutdown
from .forwarding import instance_updates
from .forwarding import replica_selection
from .forwarding import stage_assignment
from .forwarding import store_fanout

# Membership goes before the others, so that they see its table after this
# event.
CONTROLLERS = (
    absence,
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


# Where the platform's replicas keep the ledger of their memory themselves,
# nothing is owned, claimed or declared as an object.
FORWARDING_CONTROLLERS = (
    absence,
    membership,
    probes,
    active_deployment,
    instance_updates,
    store_fanout,
    replica_selection,
    leader,
    stage_assignment,
    graceful_shutdown,
)


def step(
    board: boards.Board,
    event: Any,
    now: float,
    controllers: tuple[Any, ...] = CONTROLLERS,
) -> Sequence[actions.Action]:
    """Lets each controller handle ``event`` at ``now`` (seconds, monotonic).

    An event that no controller knows yields no actions.
    """
    done: list[actions.Action] = []
    for handler in _handlers(type(event), controllers):
        done.extend(handler(event, board, now))
    return done


@functools.cache
def _handlers(
    kind: type, controllers: tuple[Any, ...]
) -> tuple[Callable[..., Any], ...]:
    """Returns the functions that handle events of type ``kind``, in order.

    Most controllers know few types, and asking each of them for every event
    took half of the time of a step.
    """
    chosen = (_choose(each.handle, kind) for each in controllers)
    return tuple(handler for handler in chosen if handler is not None)


def _choose(handle: Any, kind: type) -> Callable[..., Any] | None:
    """Returns what ``handle`` does with ``kind``, ``None`` for nothing.

    A controller whose ``handle`` is a plain function wants every event.
    """
    if not hasattr(handle, "dispatch"):
        return handle
    found = handle.dispatch(kind)
    return None if found is handle.dispatch(object) else found
