"""Links of single hosts to the replicas, so that some hosts can be cut off.

All hosts of a site learn the addresses of replicas from the same store. A host
behind :class:`Links` gets a view of it that shows a link of its own in place
of each replica, and nothing else in between.
"""

import copy
import pathlib
import threading
from typing import Any

from . import platform_site
from . import platform_store
from . import server
from .soak import link

REPLICAS_PATH = platform_store.OBJECTS_PATH + "servers"


class Links(server.StandIn):
    """One host's view of a store, and its links to the replicas shown there.

    ``store_address`` is the address of the view. The mode applies to all
    links, also to those of replicas that are listed later.
    """

    def __init__(self, store: platform_store.Store):
        super().__init__()
        self._store = store
        self._links: dict[str, link.Link] = {}
        self._mode = link.Mode.WHOLE
        self._links_lock = threading.Lock()
        self.store_address = server.start(self)

    def handle(self, request: server.Request) -> server.Response:
        """Returns the store's response, with this host's addresses."""
        response = self._store.handle(request)
        if not request.path.startswith(REPLICAS_PATH) or response.drop:
            return response
        return response._replace(body=self._show(response.body))

    def set(self, mode: link.Mode) -> None:
        """Changes the mode of all links of this host."""
        with self._links_lock:
            self._mode = mode
            for each in self._links.values():
                each.set(mode)

    def close(self) -> None:
        """Closes all links."""
        self.closing.set()
        with self._links_lock:
            for each in self._links.values():
                each.close()

    def _show(self, body: Any) -> Any:
        if not isinstance(body, dict) or "as_of" not in body:
            return body
        found = copy.deepcopy(body)
        listed = [each["object"] for each in found.get("events", ())]
        for each in [*found.get("items", ()), *listed]:
            entry = each["specification"]
            entry["address"] = self._address(entry["address"])
        return found

    def _address(self, address: str) -> str:
        with self._links_lock:
            if self.closing.is_set():
                return address
            found = self._links.get(address)
            if found is None:
                found = self._links[address] = link.Link(address)
                found.set(self._mode)
            return found.address


class LinkedSite(platform_site.Site):
    """A site whose daemons know each other and have links of their own."""

    def __init__(self, folder: pathlib.Path, daemons: int):
        super().__init__(folder, 0)
        self.links: list[Links] = []
        for number in range(daemons):
            links = Links(self.store)
            self.links.append(links)
            seeds = tuple(
                each.listen["control_plane"] for each in self.daemons
            )
            self.daemons.append(
                platform_site.Daemon(
                    folder, links.store_address, number, seeds
                )
            )

    def close(self) -> None:
        """Kills the daemons, and closes the store and the links."""
        super().close()
        for each in self.links:
            each.close()
