"""Hosts of which some can't reach any replica, on a simulated network.

The request handlers run on the thread of the test, and the replicas always
answer those that reach them. All hosts still reach each other.
"""

import itertools

from hemlockreel_daemon import clock
from hemlockreel_daemon import mailbox

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import plain_requests
from hemlockreel_daemon.forwarding import request_handler

from . import crash_rig
from . import forwarding_rig
from . import parts_rig

SERVICE = deployments.Service("lesar", 192)


class _Backends(forwarding_rig.Backends):
    """The replicas as one host sees them."""

    def __init__(self, site: "Site", host: str):
        super().__init__()
        self.on_send = lambda instance, *_: site.connect(host, instance)


class Site:
    """A fleet of hosts with ``servers`` servers of one plain service.

    The hosts of ``cut`` reach no server. ``connects`` lists the connects that
    failed, and ``arrivals`` the hosts that servers got requests from.
    """

    def __init__(self, hosts: int = 13, servers: int = 3):
        self.fleet = parts_rig.Fleet(hosts)
        self.cut: set[str] = set()
        self.connects: list[tuple[str, str]] = []
        self.arrivals: list[str] = []
        self._numbers = itertools.count(1)
        self._servers = tuple(
            forwarding_rig.server(f"s{number}") for number in range(servers)
        )
        listed = instances.InstancesListed(self._servers)
        for host in self.fleet.hosts:
            self.fleet.fabric.post(host, listed)
        self.run(0.1)

    @property
    def hosts(self) -> list[str]:
        """The addresses of all hosts."""
        return self.fleet.hosts

    def run(self, seconds: float) -> None:
        """Lets time pass on the simulated network."""
        self.fleet.fabric.run(seconds)

    def connect(
        self, host: str, instance: instances.Instance
    ) -> interfaces.ResponseHead | interfaces.SendFailure:
        """Sends a request of ``host`` to a server."""
        if host in self.cut:
            self.connects.append((host, instance.id))
            return interfaces.SendFailure(interfaces.Ran.NOT_SENT, "connect")
        self.arrivals.append(host)
        return forwarding_rig.make_response(b"whole")

    def request(self, host: str) -> forwarding_rig.Exchange:
        """Sends a request to ``host`` and returns the response."""
        id = f"r{next(self._numbers)}"
        request = interfaces.CallerRequest(
            id, "GET", f"/{id}", f"/{id}", "a.example", (), b"", 1.0, None, ""
        )
        box = mailbox.Mailbox()
        loop = crash_rig.FabricLoop(self.fleet.fabric, host, box)
        tools = request_handler.Tools(
            forwarding_rig.Daemon(loop),
            _Backends(self, host),
            forwarding_rig.Callers(),
        )
        job = request_handler.Job(
            request, crash_rig.ROUTE, SERVICE, 1, clock.now()
        )
        exchange = forwarding_rig.Exchange()
        plain_requests.PlainHandler(tools, job, exchange, box, id).run()
        return exchange
