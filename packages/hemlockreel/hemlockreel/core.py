"""The entry point of the core: :func:`step` maps an event to actions.

The core uses no sockets, threads, clocks or global random generators, so a
test can replay any course of events. The daemon calls :func:`step` from its
single loop thread and carries out the returned actions.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
from typing import Any

from . import actions
from . import board as boards
from . import claims
from . import configuration
from . import configuration_reader
from . import configuration_status
from . import drain
from . import engine_polling
from . import entry
from . import host_list
from . import leader
from . import membership
from . import owner
from . import probes
from . import process_pauses
from . import region_controller
from . import registration
from . import renewal
from . import replication
from . import shard_reports
from . import store_era
from . import takeover
from .forwarding import active_deployment
from .forwarding import block_records
from .forwarding import blocked_parts
from .forwarding import graceful_shutdown
from .forwarding import instance_updates
from .forwarding import organisation_news
from .forwarding import reachability
from .forwarding import replica_limits
from .forwarding import replica_pace
from .forwarding import replica_pauses
from .forwarding import replica_selection
from .forwarding import shared_placement
from .forwarding import stage_assignment
from .forwarding import store_fanout
from .forwarding import stream_records
from .forwarding import stream_versions
from .forwarding import usage_caps
from .forwarding import usage_lending

# The order matters: membership runs before the controllers that use its table,
# so that they see the table as updated by the same event.
CONTROLLERS = (
    process_pauses,
    membership,
    probes,
    replication,
    host_list,
    configuration_reader,
    configuration,
    configuration_status,
    renewal,
    takeover,
    owner,
    engine_polling,
    shard_reports,
    leader,
    region_controller,
    registration,
    entry,
    claims,
    drain,
)


# For a platform whose replicas account for their own memory: there are no
# shard owners, no claims and no declared objects.
FORWARDING_CONTROLLERS = (
    process_pauses,
    membership,
    probes,
    store_era,
    active_deployment,
    instance_updates,
    store_fanout,
    organisation_news,
    reachability,
    replica_pauses,
    replica_limits,
    usage_lending,
    usage_caps,
    replica_pace,
    blocked_parts,
    block_records,
    stream_versions,
    stream_records,
    replica_selection,
    shared_placement,
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
    """Returns the actions of all controllers for ``event``, in their order.

    ``now`` is in seconds on a monotonic clock. An event that no controller
    handles yields no actions.
    """
    result: list[actions.Action] = []
    for handler in _handlers(type(event), controllers):
        result.extend(handler(event, board, now))
    return result


@functools.cache
def _handlers(
    kind: type, controllers: tuple[Any, ...]
) -> tuple[Callable[..., Any], ...]:
    """Returns the functions that handle events of type ``kind``, in order.

    The result is cached, since most controllers handle few types: calling
    every controller for every event took half of the time of a step.
    """
    chosen = (
        _find_handler(controller.handle, kind) for controller in controllers
    )
    return tuple(handler for handler in chosen if handler is not None)


def _find_handler(handle: Any, kind: type) -> Callable[..., Any] | None:
    """Returns the function that ``handle`` dispatches ``kind`` to, if any.

    A ``handle`` that is a plain function receives every event.
    """
    if not hasattr(handle, "dispatch"):
        return handle
    found = handle.dispatch(kind)
    return None if found is handle.dispatch(object) else found
