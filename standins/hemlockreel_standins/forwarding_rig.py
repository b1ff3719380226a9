"""A test rig that runs the forwarding request handlers without a network.

The core steps on the thread of the test, and the replicas are functions.
"""

from collections.abc import Callable
from typing import Any

from hemlockreel import actions
from hemlockreel import core
from hemlockreel_daemon import clock
from hemlockreel_daemon import mailbox
from hemlockreel_daemon import metrics

from hemlockreel.forwarding import deployments
from hemlockreel.forwarding import instances
from hemlockreel.forwarding import organisations
from hemlockreel_daemon.forwarding import generation
from hemlockreel_daemon.forwarding import interfaces
from hemlockreel_daemon.forwarding import plain_requests
from hemlockreel_daemon.forwarding import request_handler

from . import helper

KEY = "key"
SHARES = (deployments.WeightedService("lesar", 1.0),)
ROUTE = deployments.Route(
    name="assess",
    host="a.example",
    prefix="/assess/",
    kind=deployments.RouteKind.STREAM,
    shares=SHARES,
    timeout_s=14.0,
    objective_s=0.9,
    generates=True,
)
DEMAND = interfaces.Demand(5000, 2000, 2000)
ENGINE = deployments.EngineConfig(16, 114_000, 2.0, 0.5, 6.0)
SERVICE = deployments.Service("lesar", 320, ENGINE)


class Loop:
    """Steps the core synchronously and puts its replies into the mailbox."""

    def __init__(self, board: Any, box: mailbox.Mailbox):
        self.board = board
        self.box = box
        self.seen: list[Any] = []

    def post(self, event: Any) -> None:
        """Steps the forwarding controllers with ``event``."""
        self.seen.append(event)
        now = clock.now()
        for action in core.step(
            self.board, event, now, core.FORWARDING_CONTROLLERS
        ):
            if isinstance(action, actions.Reply):
                self.box.put(action.value)
            elif (
                isinstance(action, actions.Send)
                and action.to == self.board.identity.host
            ):
                self.post(action.message)

    def query(self, function):
        """Returns ``function(board)``."""
        return function(self.board)


class Daemon:
    """The parts of a daemon that request handlers use."""

    def __init__(self, loop: Loop):
        self.loop = loop
        self.metrics = metrics.Metrics()
        self.rng = loop.board.rng


class Exchange:
    """Records the response to one request.

    With ``gone`` the caller has disconnected, and all writes fail.
    """

    def __init__(self, gone: bool = False):
        self.gone = gone
        self.status: int | None = None
        self.headers: tuple[tuple[str, str], ...] = ()
        self.body = b""
        self.was_aborted = False

    @property
    def has_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self.status is not None

    def reply(self, status, headers, body):
        """Records a complete response."""
        self.start(status, headers)
        self.body = body
        return True

    def start(self, status, headers):
        """Records the head of a response."""
        assert self.status is None, "a second response was started"
        self.status = status
        self.headers = tuple(headers)
        return not self.gone

    def send(self, data):
        """Records a part of the body."""
        self.body += data
        return not self.gone

    def abort(self):
        """Records that the connection was aborted."""
        self.was_aborted = True


class Response:
    """A replica's response body; an exception among the chunks is raised."""

    def __init__(self, *chunks: bytes | Exception):
        self._chunks = list(chunks)

    def read1(self, most=0, decode_content=False):
        """Returns the next chunk, ``b""`` at the end."""
        chunk = self._chunks.pop(0) if self._chunks else b""
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def read(self, decode_content=False):
        """Returns all chunks."""
        return b"".join(iter(self.read1, b""))


class Opened:
    """An open response without a connection."""

    def __init__(self, *chunks: bytes | Exception):
        self.response = Response(*chunks)
        self.sock = self
        self.closed = False
        self.waits: list[float] = []

    def read_body(self):
        """Returns the whole body."""
        return self.response.read()

    def set_limits(self, seconds, size):
        """Records the time limit for the next bytes."""
        self.waits.append(seconds)

    def shutdown(self, how):
        """Does nothing, since there is no connection."""

    def close(self):
        """Records that the connection was closed."""
        self.closed = True


def make_response(
    *chunks: bytes | Exception, status: int = 200
) -> interfaces.ResponseHead:
    """Returns a response head with ``chunks`` as its body."""
    return interfaces.ResponseHead(status, (("X-Own", "1"),), Opened(*chunks))


def make_send_failure(detail: str = "status 503") -> interfaces.SendFailure:
    """Returns the failure of a replica that did not run the request."""
    return interfaces.SendFailure(interfaces.Ran.NOT_RUN, detail)


class Backends:
    """Replicas whose responses are functions that a test may replace.

    ``sent`` lists the operations sent to each replica: ``prefill``, ``decode``
    with the source of the prefill result, ``hold`` (reserve memory), ``drop``
    (release a reservation) and ``free`` (free a prefill result). ``waits``
    lists the timeouts for a prefill or for the response head of a decode,
    ``deadlines`` the time left for each decode.
    """

    def __init__(self):
        self.sent: list[tuple[str, str, str]] = []
        self.waits: list[tuple[str, float]] = []
        self.deadlines: list[float] = []
        self.on_send: Callable[..., Any] = lambda *_: make_response(
            b"id: 1\n\n"
        )
        self.on_prefill: Callable[..., Any] = self._read
        self.on_hold: Callable[..., Any] = lambda *_: "hold"

    def _read(self, instance, request):
        source = f"{instance.address}/handle"
        return interfaces.PrefillResult(
            "handle", source, request.demand.prompt, instance.id
        )

    def send(self, instance, request, left_s, options, box):
        """Sends a request."""
        self.sent.append(("decode", instance.id, options.source))
        wait_s = (
            left_s
            if options.head_timeout_s is None
            else options.head_timeout_s
        )
        self.waits.append(("decode", wait_s))
        self.deadlines.append(left_s)
        return self.on_send(instance, options, box)

    def set_observer(self, observe):
        """Ignores the observer, as tests post the events themselves."""

    def set_connector(self, connect):
        """Ignores the connector, as there are no connections."""

    def close_idle(self):
        """Does nothing, since there are no connections."""

    def prefill(self, instance, request, left_s, box):
        """Runs the prefill of a request."""
        self.sent.append(("prefill", instance.id, ""))
        self.waits.append(("prefill", left_s))
        return self.on_prefill(instance, request)

    def reserve(self, instance, tokens, ttl_s):
        """Reserves memory for ``tokens`` tokens."""
        self.sent.append(("hold", instance.id, str(tokens)))
        return self.on_hold(instance, tokens)

    def release_reservation(self, instance, reservation_id):
        """Releases a reservation."""
        self.sent.append(("drop", instance.id, reservation_id))

    def free_prefill_result(self, instance, handle):
        """Frees the memory of a prefill result."""
        self.sent.append(("free", instance.id, handle))

    def count(self, *kinds: str) -> int:
        """Returns how many operations of ``kinds`` were sent."""
        return sum(kind in kinds for kind, _, _ in self.sent)


class Callers:
    """Encodes the headers of refusals."""

    def refusal_headers(self, request_id, status, retry_after_s):
        """Returns ``Retry-After`` as the only header."""
        return (("Retry-After", str(retry_after_s)),)


class Rig:
    """A host that handles one request at a time."""

    def __init__(self, *listed: instances.Instance):
        self.board = helper.make_board()
        self.box = mailbox.Mailbox()
        self.loop = Loop(self.board, self.box)
        self.backends = Backends()
        self.loop.post(instances.InstancesListed(listed))

    def handle_request(
        self,
        route: deployments.Route = ROUTE,
        service: deployments.Service = SERVICE,
        demand: interfaces.Demand | None = DEMAND,
        deadline_s: float = 14.0,
        gone: bool = False,
        resume_after: str = "",
        resumes: str = "",
        organisation: organisations.Organisation | None = None,
    ) -> Exchange:
        """Handles one request and returns the recorded response.

        With ``resume_after`` it resumes a stream that ``resumes`` began. It
        counts towards the cap of ``organisation``.
        """
        self.box = self.loop.box = mailbox.Mailbox()
        request = interfaces.CallerRequest(
            "id", "POST", "/assess/1", "/assess/1", "a.example", (), b"",
            deadline_s, demand, resume_after, resumes=resumes,
        )  # fmt: skip
        job = request_handler.Job(
            request, route, service, 1, clock.now(), organisation
        )
        tools = request_handler.Tools(
            Daemon(self.loop), self.backends, Callers()
        )
        exchange = Exchange(gone)
        kind = (
            generation.GenerationHandler
            if service.engine
            else plain_requests.PlainHandler
        )
        kind(tools, job, exchange, self.box, KEY).serve()
        return exchange


def engine(name: str, stage: str, zone: str = helper.ZONE):
    """Returns a listed engine."""
    stages = instances.Stage
    return instances.Instance(
        name, "lesar", f"{name}:1", zone, 16, stage=stages(stage)
    )


def server(name: str, zone: str = helper.ZONE):
    """Returns a listed replica of a plain service."""
    return instances.Instance(name, "lesar", f"{name}:1", zone, 6)
