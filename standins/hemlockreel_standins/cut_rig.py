"""Hosts of which some can't reach any replica, on a simulated network.

The request handlers run on the thread of the test, and the replicas always
answer those that reach them. All hosts still reach each other.
"""

import itertools
import threading
from typing import Any

from hemlockreel import actions
from hemlockreel_daemon import clock
from hemlockreel_daemon import mailbox

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import reachability
from hemlockreel_daemon.forwarding import connector
from hemlockreel_daemon.forwarding import dialing
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import plain_requests
from hemlockreel_daemon.forwarding import request_handler

from . import crash_rig
from . import forwarding_rig
from . import parts_rig

SERVICE = deployments.Service("lesar", 192)


class _Dial:
    """The outcome of connecting, which takes no time here."""

    def __init__(self, outcome: dialing.Outcome | None, via: str = ""):
        self.outcome = outcome
        self.via = via
        self.detail = "unreached" if outcome is dialing.Outcome.REFUSED else ""

    def take(self) -> "_Dial":
        """Returns this as the connection."""
        return self

    def close(self) -> None:
        """Does nothing, as there is no connection."""


class _Dialer:
    """Connects as one host of ``site`` can."""

    def __init__(self, site: "Site", host: str):
        self._site = site
        self._host = host

    def direct(self, instance: instances.Instance) -> _Dial:
        """Connects to a server, or hangs or fails while the host is cut."""
        site = self._site
        if self._host not in site.cut and instance.id not in site.down:
            return _Dial(dialing.Outcome.OPEN)
        site.connects.append((self._host, instance.id))
        return _Dial(None if site.hangs else dialing.Outcome.FAILED)

    def path(
        self,
        helper: tuple[str, str],
        instance: instances.Instance,
        wait_s: float,
        brief: bool,
    ) -> _Dial:
        """Asks another host, which looks at its own board."""
        site, (_, via) = self._site, helper
        site.paths.append((self._host, via))
        found = reachability.find_for_path(
            site.fleet.fabric.boards[via],
            instance.id,
            instance.born,
            site.now,
        )
        if isinstance(found, str):
            return _Dial(dialing.Outcome.REFUSED, via)
        if via in site.cut or instance.id in site.down:
            site.connects.append((via, instance.id))
            failed = reachability.DirectFailed(instance.id, instance.service)
            site.fleet.fabric.post(via, failed)
            return _Dial(dialing.Outcome.REFUSED, via)
        reached = reachability.DirectReached(instance.id, instance.service)
        site.fleet.fabric.post(via, reached)
        return _Dial(dialing.Outcome.OPEN, via)

    def wait(self, dials: list[_Dial], seconds: float) -> _Dial | None:
        """Returns the first dial that has ended."""
        return next((e for e in dials if e.outcome is not None), None)


class Site:
    """A fleet of hosts with ``servers`` servers of one plain service.

    The hosts of ``cut`` reach no server, and nobody those of ``down``.
    Connects there hang if ``hangs`` is set, else they are refused.
    ``connects`` lists the direct ones that failed, ``paths`` the hosts that
    asked for a path with those that they asked, and ``arrivals`` the hosts
    whose requests reached a server, with the host that carried them.
    """

    def __init__(self, hosts: int = 13, servers: int = 3):
        self.fleet = parts_rig.Fleet(hosts)
        self.cut: set[str] = set()
        self.down: set[str] = set()
        self.hangs = True
        self.connects: list[tuple[str, str]] = []
        self.paths: list[tuple[str, str]] = []
        self.arrivals: list[tuple[str, str]] = []
        self.second_ways = threading.BoundedSemaphore(
            connector.MAX_SECOND_WAYS
        )
        self.fleet.fabric.call = self._call
        self._numbers = itertools.count(1)
        self._servers = tuple(
            forwarding_rig.server(f"s{number}") for number in range(servers)
        )
        listed = instances.InstancesListed(self._servers)
        for host in self.fleet.hosts:
            self.fleet.fabric.post(host, listed)
        self.run(0.1)

    @property
    def now(self) -> float:
        """The time of the simulated network."""
        return self.fleet.fabric.now

    @property
    def hosts(self) -> list[str]:
        """The addresses of all hosts."""
        return self.fleet.hosts

    def run(self, seconds: float) -> None:
        """Lets time pass on the simulated network."""
        self.fleet.fabric.run(seconds)

    def _connector(
        self, host: str, loop: crash_rig.FabricLoop
    ) -> connector.Connector:
        found = connector.Connector(
            loop.post, loop.query, _Dialer(self, host), lambda: self.now
        )
        seen = loop.board.state(reachability.State)
        found.helped, found.watched = seen.helped, seen.watched
        found.second_ways = self.second_ways
        return found

    def _call(self, host: str, action: Any) -> None:
        """Makes the tries that a host makes by itself."""
        if isinstance(action, actions.TryConnect):
            loop = self._loop(host, mailbox.Mailbox())
            self._connector(host, loop).try_connect(action.instance, 0.0)

    def _loop(self, host: str, box: mailbox.Mailbox) -> crash_rig.FabricLoop:
        return crash_rig.FabricLoop(self.fleet.fabric, host, box)

    def send(
        self,
        host: str,
        loop: crash_rig.FabricLoop,
        instance: instances.Instance,
    ) -> interfaces.ResponseHead | interfaces.SendFailure:
        """Sends a request of ``host`` to a server."""
        try:
            way = self._connector(host, loop).connect(instance, 0.0)
        except ConnectionError as error:
            return interfaces.SendFailure(interfaces.Ran.NOT_SENT, str(error))
        self.arrivals.append((host, way.via))
        return forwarding_rig.make_response(b"whole")

    def request(self, host: str) -> forwarding_rig.Exchange:
        """Sends a request to ``host`` and returns the response."""
        id = f"r{next(self._numbers)}"
        request = interfaces.CallerRequest(
            id, "GET", f"/{id}", f"/{id}", "a.example", (), b"", 1.0, None, ""
        )
        box = mailbox.Mailbox()
        loop = self._loop(host, box)
        backends = forwarding_rig.Backends()
        backends.on_send = lambda instance, *_: self.send(host, loop, instance)
        tools = request_handler.Tools(
            forwarding_rig.Daemon(loop), backends, forwarding_rig.Callers()
        )
        job = request_handler.Job(
            request, crash_rig.ROUTE, SERVICE, 1, clock.now()
        )
        exchange = forwarding_rig.Exchange()
        plain_requests.PlainHandler(tools, job, exchange, box, id).run()
        return exchange
