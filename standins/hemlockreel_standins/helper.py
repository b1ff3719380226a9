"""Helpers for the core's tests, shared by all packages."""

import random
from typing import Any

from hemlockreel import acceptance
from hemlockreel import actions
from hemlockreel import board
from hemlockreel import configuration
from hemlockreel import core
from hemlockreel import events
from hemlockreel import replicas
from hemlockreel import replication

HOST = "127.0.0.1:9000"
REGION = "midt-norge"
ZONE = "trondheim-a"


def make_board(host: str = HOST, zone: str = ZONE, seed: int = 1):
    """Returns an empty board for the daemon at ``host``."""
    identity = board.Identity(host, host, zone, REGION, 7)
    return board.Board(identity, (), random.Random(seed))


def make_host_list(
    *roles: replicas.Role, service: str = "lesar", first_port=9100
):
    """Returns a host list event with one replica per role."""
    hosts = tuple(
        replicas.Replica(
            f"127.0.0.1:{first_port + index}", service, ZONE, REGION, role
        )
        for index, role in enumerate(roles)
    )
    return events.HostListRead(hosts)


def configure(made: board.Board, **declared: dict[str, Any]) -> None:
    """Publishes and installs objects given by kind, name and value."""
    items = {
        acceptance.object_key(kind, name): acceptance.Declared(1, value)
        for kind, named in declared.items()
        for name, value in named.items()
    }
    known = replication.get_document(made, configuration.DOCUMENT_NAME)
    revision = acceptance.merged_revision(known) + 1
    document = acceptance.merge(known, items, revision)
    list(replication.publish(made, configuration.DOCUMENT_NAME, document, 0.0))
    list(configuration.install(made, document))


def run(made: board.Board, event: Any, now: float) -> list[actions.Action]:
    """Steps ``made`` with ``event`` and returns the resulting actions.

    Messages that the daemon sends to itself are handled at once and are not
    returned.
    """
    rest = [event]
    seen = []
    while rest:
        for action in core.step(made, rest.pop(0), now):
            own = made.identity.host
            if isinstance(action, actions.Send) and action.to == own:
                rest.append(action.message)
            else:
                seen.append(action)
    return seen


def of_type(found: list[Any], kind: type) -> list[Any]:
    """Returns the actions of type ``kind``."""
    return [action for action in found if isinstance(action, kind)]
