"""Hosts that send plain requests to servers that some requests crash.

The hosts run on a simulated network, the request handlers on the thread of
the test, and the servers are kept here.
"""

import itertools
from typing import Any

from hemlockreel import actions
from hemlockreel_daemon import clock
from hemlockreel_daemon import mailbox

from hemlockreel.forwarding import blocked_parts
from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel_daemon.forwarding import content_keys
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import plain_requests
from hemlockreel_daemon.forwarding import request_handler

from . import forwarding_rig
from . import parts_rig

RESTART_S = 3.4  # until a server that crashed is back, as another run
COUNTED_CRASHES = 3  # after which the hosts must know a request
ENTRY_S = 2.9  # until the entry of a server that crashed expires
SERVICE = deployments.Service("lesar", 192)
ROUTE = forwarding_rig.ROUTE._replace(
    kind=deployments.RouteKind.IDEMPOTENT,
    generates=False,
    max_attempts=2,
    timeout_s=1.0,
    objective_s=0.15,
)


class FabricLoop(forwarding_rig.Loop):
    """Steps one board of the simulated network, at its time."""

    def __init__(self, fabric: Any, host: str, box: mailbox.Mailbox):
        super().__init__(fabric.boards[host], box)
        self._fabric = fabric
        self._host = host

    def post(self, event: Any) -> None:
        """Steps the board and sends its messages over the network."""
        fabric = self._fabric
        for action in fabric.step(self.board, event, fabric.now):
            if isinstance(action, actions.Reply):
                self.box.put(action.value)
            elif isinstance(action, actions.Send):
                fabric.send(self._host, action)


class Site:
    """A fleet of hosts with ``servers`` servers of one plain service.

    ``bad`` holds the paths that crash each server which begins to run them,
    sent by any caller or only by ``bad_caller``. ``beside`` are those that run
    there at the same time and are cut by each crash. ``crashes`` lists the
    times and paths of the crashes, in order.
    """

    def __init__(self, hosts: int = 13, servers: int = 3):
        self.fleet = parts_rig.Fleet(hosts)
        self.bad: set[str] = set()
        self.bad_caller = ""
        self.beside: tuple[str, ...] = ()
        self.crashes: list[tuple[float, str]] = []
        self._numbers = itertools.count(1)
        self._up = {self._start() for _ in range(servers)}
        self._back_at: list[float] = []
        self._listed_until: dict[instances.Instance, float] = {}
        self.list_servers()

    @property
    def now(self) -> float:
        """The time of the simulated network."""
        return self.fleet.fabric.now

    def _start(self) -> instances.Instance:
        number = next(self._numbers)
        found = forwarding_rig.server(f"s{number}")
        return found._replace(born=number)

    def list_servers(self) -> None:
        """Shows all hosts the servers, and those that crashed just now."""
        listed = instances.InstancesListed((*self._up, *self._listed_until))
        for host in self.fleet.fabric.boards:
            self.fleet.fabric.post(host, listed)
        self.fleet.fabric.run(0.01)

    def run(self, seconds: float) -> None:
        """Lets time pass; servers that crashed come back meanwhile."""
        until = self.now + seconds
        while self.now < until - 1e-6:
            self.fleet.fabric.run(min(0.1, until - self.now))
            back = [at for at in self._back_at if at <= self.now]
            gone = [
                e for e, at in self._listed_until.items() if at <= self.now
            ]
            self._back_at = [at for at in self._back_at if at > self.now]
            self._up |= {self._start() for _ in back}
            for each in gone:
                del self._listed_until[each]
            if back or gone:
                self.list_servers()

    def request(
        self,
        host: str,
        path: str,
        caller: str = "10.9.0.1",
        route: deployments.Route = ROUTE,
    ) -> forwarding_rig.Exchange:
        """Sends a request to ``host`` and returns the response."""
        box = mailbox.Mailbox()
        loop = FabricLoop(self.fleet.fabric, host, box)
        found = self._make_request(path, caller)
        job = request_handler.Job(found, route, SERVICE, 1, clock.now())
        exchange = forwarding_rig.Exchange()
        daemon = forwarding_rig.Daemon(loop)
        tools = request_handler.Tools(daemon, self, forwarding_rig.Callers())
        handler = plain_requests.PlainHandler(
            tools, job, exchange, box, found.id
        )
        handler.run()
        return exchange

    def send(
        self,
        instance: instances.Instance,
        request: interfaces.CallerRequest,
        left_s: float,
        options: interfaces.SendOptions,
        box: mailbox.Mailbox,
    ) -> interfaces.ResponseHead | interfaces.SendFailure:
        """Answers a request, or crashes the server that it is sent to."""
        if instance not in self._up:
            return interfaces.SendFailure(interfaces.Ran.NOT_SENT, "connect")
        if request.path not in self.bad or self.bad_caller not in (
            "",
            request.caller,
        ):
            return forwarding_rig.make_response(b"whole")
        self.crashes.append((self.now, request.path))
        self._up.discard(instance)
        self._cut_beside(instance)
        self._back_at.append(self.now + RESTART_S)
        self._listed_until[instance] = self.now + ENTRY_S
        return interfaces.SendFailure(
            interfaces.Ran.UNKNOWN, "reset", connection_lost=True
        )

    def _cut_beside(self, instance: instances.Instance) -> None:
        """Breaks off what runs at ``instance``, sent by other hosts."""
        hosts = list(self.fleet.fabric.boards)
        for number, path in enumerate(self.beside):
            request = self._make_request(path, "10.9.0.2")
            broken = blocked_parts.RunBroken(
                "lesar",
                request.id,
                instance.id,
                instance.born,
                content_keys.find(request),
                0.0,
            )
            self.fleet.fabric.post(hosts[number % len(hosts)], broken)

    def _make_request(
        self, path: str, caller: str
    ) -> interfaces.CallerRequest:
        id = f"r{next(self._numbers)}"
        return interfaces.CallerRequest(
            id, "GET", path, path, "a.example", (), b"", 1.0, None, "", caller
        )

    def late_arrivals(self, path: str) -> int:
        """Returns how often ``path`` crashed a server after the third crash.

        Hosts have the time that the platform gives them to agree.
        """
        crashes = [at for at, found in self.crashes if found == path]
        if len(crashes) < COUNTED_CRASHES:
            return 0
        known_at = crashes[COUNTED_CRASHES - 1] + parts_rig.SETTLED_S
        return sum(at > known_at for at in crashes)
